package controltest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

func (f *fleet) publish(t *testing.T, i int) (model.Version, time.Time) {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	doc := policy.Document{Kind: policy.KindService, Name: fmt.Sprint("s", i%77), Spec: json.RawMessage(fmt.Sprintf(`{"deadline":"%ds"}`, i+1))}
	res, err := operator.Propose(ctx, f.log, operator.Proposal{Documents: []policy.Document{doc}})
	require.NoError(t, err)
	return res.Version, time.Now()
}

// delays returns how long after it was accepted each daemon had a version, and
// requires that all have it.
func (f *fleet) delays(t *testing.T, v model.Version, accepted time.Time) []time.Duration {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, len(f.nodes), len(f.inForceAt[v]), "daemons with version %d", v)
	var out []time.Duration
	for _, at := range f.inForceAt[v] {
		out = append(out, at.Sub(accepted))
	}
	return out
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Bounds of the control plane, at any size measured here.
const (
	maxBytesPerSecond   = 19 << 10 // a second and daemon, both directions
	maxReadsPerSecond   = 300      // a second, of all daemons
	maxAppendsPerSecond = 10       // a second, of all daemons
	maxTimeToForce      = 3 * time.Second
)

// TestIdleCost measures what the control plane spends when nothing happens.
// Bytes are those of rounds with the heads of messages, at the daemon that
// starts and at the one that answers.
func TestIdleCost(t *testing.T) {
	for _, size := range []int{10, 30, mediumFleet, largestFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				const seconds = 60
				used := cpuTime(t)
				messages, _ := f.network.Traffic()
				reads, writes, bytes := f.logReads.Load(), f.logAppends.Load(), f.sentBytes()
				time.Sleep(seconds * time.Second)
				after, _ := f.network.Traffic()
				perDaemon := float64(seconds * size)
				t.Logf("%d daemons, a second: %.0f bytes and %.2f messages a daemon, %.1f reads and %.2f appends in all; %.0f us of CPU a daemon",
					size, float64(f.sentBytes()-bytes)/perDaemon, float64(after-messages)/perDaemon, float64(f.logReads.Load()-reads)/seconds,
					float64(f.logAppends.Load()-writes)/seconds, float64((cpuTime(t)-used).Microseconds())/perDaemon)
				require.Less(t, float64(f.sentBytes()-bytes)/perDaemon, float64(maxBytesPerSecond))
				require.Less(t, (f.logReads.Load()-reads)/seconds, int64(maxReadsPerSecond))
				require.Less(t, (f.logAppends.Load()-writes)/seconds, int64(maxAppendsPerSecond))
			})
		})
	}
}

func (f *fleet) sentBytes() int64 { return f.sentBytesOf(f.nodes) }

func (f *fleet) sentBytesOf(nodes []*node) int64 {
	var n int64
	for _, x := range nodes {
		n += x.exchanger.TotalBytes()
	}
	return n
}

// TestTimeUntilInForce measures how long after it was accepted a change is in force
// at each daemon.
func TestTimeUntilInForce(t *testing.T) {
	for _, c := range []struct {
		name  string
		size  int
		fault func(f *fleet, on bool)
		// within bounds the 99th percentile; maxTimeToForce bounds the largest.
		within time.Duration
	}{
		{"healthy", 10, func(*fleet, bool) {}, time.Second},
		{"healthy", mediumFleet, func(*fleet, bool) {}, time.Second},
		{"healthy", largestFleet, func(*fleet, bool) {}, time.Second},
		{"log answers in 1 s", mediumFleet, func(f *fleet, on bool) {
			f.log.SetFaults(recordlog.Faults{Latency: logLatency(on, time.Second)})
		}, 3 * time.Second},
		{"log down 100 ms after", mediumFleet, func(f *fleet, on bool) {
			f.log.SetFaults(recordlog.Faults{Latency: logLatency(false, 0), Down: on})
		}, 3 * time.Second},
		{"a zone cut off from the log", mediumFleet, func(f *fleet, on bool) { f.disconnectLog(zone(1), on) }, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(c.name, " ", c.size), func(t *testing.T) {
			runWithFleet(t, c.size, func(t *testing.T, f *fleet) {
				var all []time.Duration
				down := c.name == "log down 100 ms after"
				for i := range samples / c.size {
					if !down {
						c.fault(f, true)
					}
					time.Sleep(time.Duration(4000+37*i) * time.Millisecond)
					v, accepted := f.publish(t, i)
					if down {
						time.Sleep(100 * time.Millisecond)
						c.fault(f, true)
					}
					time.Sleep(maxTimeToForce)
					synctest.Wait()
					c.fault(f, false)
					if down && len(f.timesInForce(v)) == 0 {
						continue // nobody had read it before the log went down
					}
					all = append(all, f.delays(t, v, accepted)...)
				}
				slices.Sort(all)
				require.NotEmpty(t, all)
				t.Logf("%s, %d daemons, %d samples: p50 %v, p99 %v, max %v", c.name, c.size, len(all),
					percentile(all, 0.5), percentile(all, 0.99), all[len(all)-1])
				require.LessOrEqual(t, percentile(all, 0.99), c.within)
				require.LessOrEqual(t, all[len(all)-1], maxTimeToForce)
			})
		})
	}
}

func (f *fleet) timesInForce(v model.Version) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForceAt[v]
}

func logLatency(slow bool, d time.Duration) time.Duration {
	if slow {
		return d
	}
	return 5 * time.Millisecond
}

func percentile(d []time.Duration, p float64) time.Duration {
	return d[min(len(d)-1, int(float64(len(d))*p))].Round(time.Millisecond)
}

// TestRecoveryAfterAMassRestart measures how long until all daemons see all
// upstreams and have the configuration again after five sixths of them were
// replaced. With the log down the others find them.
func TestRecoveryAfterAMassRestart(t *testing.T) {
	for name, c := range map[string]struct {
		faults recordlog.Faults
		within time.Duration
	}{
		"healthy":  {recordlog.Faults{Latency: 5 * time.Millisecond}, 5 * time.Second},
		"log down": {recordlog.Faults{Down: true}, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, largestFleet, func(t *testing.T, f *fleet) {
				v, _ := f.publish(t, 1)
				time.Sleep(5 * time.Second)
				restarted := largestFleet * 5 / 6
				for i := range restarted {
					f.kill(i)
				}
				time.Sleep(time.Second)
				f.log.SetFaults(c.faults)
				reads, writes := f.logReads.Load(), f.logAppends.Load()
				survivors := f.sentBytesOf(f.nodes[restarted:])
				for i := range restarted {
					f.start(i)
				}
				took := f.waitFor(t, c.within, func() bool { return f.allAtVersion(v) && f.allSeeAll() })
				t.Logf("%s, %d of %d daemons restarted: whole after %v with %d reads and %d appends, %d KB a restarted daemon, %d KB a survivor",
					name, restarted, largestFleet, took, f.logReads.Load()-reads, f.logAppends.Load()-writes,
					f.sentBytesOf(f.nodes[:restarted])/int64(restarted)/1024, (f.sentBytesOf(f.nodes[restarted:])-survivors)/int64(largestFleet-restarted)/1024)
				require.Less(t, f.logAppends.Load()-writes, int64(restarted/2), "the log is written in batches")
			})
		})
	}
}

func (f *fleet) allAtVersion(v model.Version) bool {
	for _, n := range f.nodes {
		if c := n.store.Current(); c == nil || c.Version != v {
			return false
		}
	}
	return true
}

// TestDrainingReachesEveryDaemon measures how long a draining upstream still
// looks eligible anywhere, with the log down.
func TestDrainingReachesEveryDaemon(t *testing.T) {
	for _, size := range []int{10, mediumFleet, largestFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				f.log.SetFaults(recordlog.Faults{Down: true})
				var all []time.Duration
				for i := range 5 {
					time.Sleep(3 * time.Second)
					u, _ := f.nodes[i].registry.Upstreams("s")
					own := u[slices.IndexFunc(u, func(v model.Upstream) bool { return v.Daemon == f.nodes[i].ID })]
					f.nodes[i].registry.Announce(member.Event{Upstream: own, State: member.Draining}, 0)
					all = append(all, f.waitFor(t, 2*time.Second, func() bool { return f.countDraining(own.ID) == size }))
				}
				slices.Sort(all)
				t.Logf("%d daemons: known to the last of them after %v at best, %v at worst", size, all[0], all[len(all)-1])
			})
		})
	}
}

// TestDeadDaemonIsRemovedEverywhere measures how long until every daemon leaves out one
// that was killed, and until it is back in every view after its restart.
func TestDeadDaemonIsRemovedEverywhere(t *testing.T) {
	for _, size := range []int{10, mediumFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				dead := f.nodes[size-1]
				f.kill(size - 1)
				alive := &fleet{nodes: f.nodes[:size-1]}
				gone := f.waitFor(t, 15*time.Second, func() bool { return alive.countConsideringDead(dead.ID) == size-1 })
				f.start(size - 1)
				back := f.waitFor(t, 15*time.Second, f.allSeeAll)
				t.Logf("%d daemons: left out everywhere after %v, back everywhere %v after its start", size, gone, back)
			})
		})
	}
}

func (f *fleet) countConsideringDead(id model.DaemonID) int {
	count := 0
	for _, n := range f.nodes {
		if n.registry.Health(id) == member.Dead {
			count++
		}
	}
	return count
}

func (f *fleet) countDraining(id model.UpstreamID) int {
	count := 0
	for _, n := range f.nodes {
		ups, _ := n.registry.Upstreams("s")
		for _, u := range ups {
			if u.ID == id && u.Draining {
				count++
			}
		}
	}
	return count
}
