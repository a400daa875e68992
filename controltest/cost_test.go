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

// publish publishes change number i, which sets the deadline of one of 77 services. It
// returns the version that the change produced and the time of the change's acceptance.
func (f *fleet) publish(t *testing.T, i int) (model.Version, time.Time) {
	t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	doc := policy.Document{Kind: policy.KindService, Name: fmt.Sprint("s", i%77), Spec: json.RawMessage(fmt.Sprintf(`{"deadline":"%ds"}`, i+1))}
	res, err := operator.Propose(ctx, f.log, operator.Proposal{Documents: []policy.Document{doc}})
	require.NoError(t, err)
	return res.Version, time.Now()
}

// delays returns, for each daemon, the time from the acceptance of a version until
// the daemon put the version in force. It requires that all daemons have put the
// version in force.
func (f *fleet) delays(t *testing.T, v model.Version, acceptedAt time.Time) []time.Duration {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	require.Equal(t, len(f.nodes), len(f.inForceAt[v]), "daemons with version %d", v)
	var out []time.Duration
	for _, inForceTime := range f.inForceAt[v] {
		out = append(out, inForceTime.Sub(acceptedAt))
	}
	return out
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Bounds for the control plane. They apply to every number of daemons tested.
const (
	maxBytesPerSecond   = 19 << 10 // per daemon, sent and received
	maxReadsPerSecond   = 300      // of all daemons together
	maxAppendsPerSecond = 10       // of all daemons together
	maxTimeUntilInForce = 3 * time.Second
)

// TestIdleCost measures the cost of the control plane while nothing changes, and
// requires that the bytes of exchange rounds, the reads and the appends stay within the
// bounds above. The bytes include message headers. Each message counts twice: at the
// daemon that starts the round and at the responder. CPU time is only logged.
func TestIdleCost(t *testing.T) {
	for _, size := range []int{10, 30, mediumFleetSize, largestFleetSize} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				const seconds = 60
				cpuBefore := cpuTime(t)
				messagesBefore, _ := f.network.Traffic()
				readsBefore, appendsBefore, bytesBefore := f.logReads.Load(), f.logAppends.Load(), f.exchangedBytes()
				time.Sleep(seconds * time.Second)
				messagesAfter, _ := f.network.Traffic()
				daemonSeconds := float64(seconds * size)
				t.Logf("%d daemons, a second: %.0f bytes and %.2f messages a daemon, %.1f reads and %.2f appends in all; %.0f us of CPU a daemon",
					size, float64(f.exchangedBytes()-bytesBefore)/daemonSeconds, float64(messagesAfter-messagesBefore)/daemonSeconds, float64(f.logReads.Load()-readsBefore)/seconds,
					float64(f.logAppends.Load()-appendsBefore)/seconds, float64((cpuTime(t)-cpuBefore).Microseconds())/daemonSeconds)
				require.Less(t, float64(f.exchangedBytes()-bytesBefore)/daemonSeconds, float64(maxBytesPerSecond))
				require.Less(t, (f.logReads.Load()-readsBefore)/seconds, int64(maxReadsPerSecond))
				require.Less(t, (f.logAppends.Load()-appendsBefore)/seconds, int64(maxAppendsPerSecond))
			})
		})
	}
}

func (f *fleet) exchangedBytes() int64 { return f.exchangedBytesOf(f.nodes) }

func (f *fleet) exchangedBytesOf(nodes []*node) int64 {
	var total int64
	for _, node := range nodes {
		total += node.exchanger.TotalBytes()
	}
	return total
}

// TestTimeUntilInForce measures the time from the acceptance of a change until each
// daemon has put the change in force, without faults and with faults of the log. It
// requires that the 99th percentile and the maximum stay within bounds.
func TestTimeUntilInForce(t *testing.T) {
	for _, c := range []struct {
		name  string
		size  int
		fault func(f *fleet, on bool)
		// maxP99 bounds the 99th percentile of the times. maxTimeUntilInForce
		// bounds their maximum.
		maxP99 time.Duration
	}{
		{"healthy", 10, func(*fleet, bool) {}, time.Second},
		{"healthy", mediumFleetSize, func(*fleet, bool) {}, time.Second},
		{"healthy", largestFleetSize, func(*fleet, bool) {}, time.Second},
		{"log responds after 1 s", mediumFleetSize, func(f *fleet, on bool) {
			f.log.SetFaults(recordlog.Faults{Latency: logLatency(on, time.Second)})
		}, 3 * time.Second},
		{"log down 100 ms after the change", mediumFleetSize, func(f *fleet, on bool) {
			f.log.SetFaults(recordlog.Faults{Latency: logLatency(false, 0), Down: on})
		}, 3 * time.Second},
		{"one zone disconnected from the log", mediumFleetSize, func(f *fleet, on bool) { f.disconnectLog(zone(1), on) }, 3 * time.Second},
	} {
		t.Run(fmt.Sprint(c.name, " ", c.size), func(t *testing.T) {
			runWithFleet(t, c.size, func(t *testing.T, f *fleet) {
				var allDelays []time.Duration
				logGoesDown := c.name == "log down 100 ms after the change"
				for i := range samplesPerCase / c.size {
					if !logGoesDown {
						c.fault(f, true)
					}
					time.Sleep(time.Duration(4000+37*i) * time.Millisecond)
					v, acceptedAt := f.publish(t, i)
					if logGoesDown {
						time.Sleep(100 * time.Millisecond)
						c.fault(f, true)
					}
					time.Sleep(maxTimeUntilInForce)
					synctest.Wait()
					c.fault(f, false)
					if logGoesDown && len(f.inForceTimes(v)) == 0 {
						continue // no daemon had read the change before the log went down
					}
					allDelays = append(allDelays, f.delays(t, v, acceptedAt)...)
				}
				slices.Sort(allDelays)
				require.NotEmpty(t, allDelays)
				t.Logf("%s, %d daemons, %d samples: p50 %v, p99 %v, max %v", c.name, c.size, len(allDelays),
					percentile(allDelays, 0.5), percentile(allDelays, 0.99), allDelays[len(allDelays)-1])
				require.LessOrEqual(t, percentile(allDelays, 0.99), c.maxP99)
				require.LessOrEqual(t, allDelays[len(allDelays)-1], maxTimeUntilInForce)
			})
		})
	}
}

func (f *fleet) inForceTimes(v model.Version) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.inForceAt[v]
}

func logLatency(slow bool, slowLatency time.Duration) time.Duration {
	if slow {
		return slowLatency
	}
	return 5 * time.Millisecond
}

// percentile returns the p-quantile of durations in ascending order, rounded to
// milliseconds; p is from 0 to 1.
func percentile(sorted []time.Duration, p float64) time.Duration {
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p))].Round(time.Millisecond)
}

// TestRecoveryAfterAMassRestart restarts five sixths of the daemons. It requires that
// all daemons have the configuration and see all upstreams again within a bound, and
// that there are fewer appends than half of the restarted daemons. A restarted daemon
// knows no peers. While the log is down, the restarted daemon depends on the daemons
// that were not restarted to contact it.
func TestRecoveryAfterAMassRestart(t *testing.T) {
	for name, c := range map[string]struct {
		faults recordlog.Faults
		within time.Duration
	}{
		"healthy":  {recordlog.Faults{Latency: 5 * time.Millisecond}, 5 * time.Second},
		"log down": {recordlog.Faults{Down: true}, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, largestFleetSize, func(t *testing.T, f *fleet) {
				v, _ := f.publish(t, 1)
				time.Sleep(5 * time.Second)
				restartedCount := largestFleetSize * 5 / 6
				for i := range restartedCount {
					f.kill(i)
				}
				time.Sleep(time.Second)
				f.log.SetFaults(c.faults)
				readsBefore, appendsBefore := f.logReads.Load(), f.logAppends.Load()
				survivorBytesBefore := f.exchangedBytesOf(f.nodes[restartedCount:])
				for i := range restartedCount {
					f.start(i)
				}
				recoveryTime := f.waitFor(t, c.within, func() bool { return f.allAtVersion(v) && f.allUpstreamsSeenByAll() })
				t.Logf("%s, %d of %d daemons restarted: recovered after %v with %d reads and %d appends, %d KB a restarted daemon, %d KB a survivor",
					name, restartedCount, largestFleetSize, recoveryTime, f.logReads.Load()-readsBefore, f.logAppends.Load()-appendsBefore,
					f.exchangedBytesOf(f.nodes[:restartedCount])/int64(restartedCount)/1024, (f.exchangedBytesOf(f.nodes[restartedCount:])-survivorBytesBefore)/int64(largestFleetSize-restartedCount)/1024)
				require.Less(t, f.logAppends.Load()-appendsBefore, int64(restartedCount/2), "events are appended in batches")
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

// TestDrainingReachesEveryDaemon requires that, while the log is down, all daemons know
// within two seconds that an upstream is draining, and logs the measured times.
func TestDrainingReachesEveryDaemon(t *testing.T) {
	for _, size := range []int{10, mediumFleetSize, largestFleetSize} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				f.log.SetFaults(recordlog.Faults{Down: true})
				var propagationTimes []time.Duration
				for i := range 5 {
					time.Sleep(3 * time.Second)
					upstreams, _ := f.nodes[i].registry.Upstreams("s")
					localUpstream := upstreams[slices.IndexFunc(upstreams, func(v model.Upstream) bool { return v.Daemon == f.nodes[i].ID })]
					f.nodes[i].registry.Announce(member.Event{Upstream: localUpstream, State: member.Draining}, 0)
					propagationTimes = append(propagationTimes, f.waitFor(t, 2*time.Second, func() bool { return f.countDraining(localUpstream.ID) == size }))
				}
				slices.Sort(propagationTimes)
				t.Logf("%d daemons: known to all daemons after %v at best, %v at worst", size, propagationTimes[0], propagationTimes[len(propagationTimes)-1])
			})
		})
	}
}

// TestDeadDaemonIsRemovedEverywhere stops a daemon and requires that all others consider
// it dead within 15 seconds. Then it restarts the daemon and requires that all daemons
// see the daemon's upstream again within 15 seconds.
func TestDeadDaemonIsRemovedEverywhere(t *testing.T) {
	for _, size := range []int{10, mediumFleetSize} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				killed := f.nodes[size-1]
				f.kill(size - 1)
				survivors := &fleet{nodes: f.nodes[:size-1]}
				removalDelay := f.waitFor(t, 15*time.Second, func() bool { return survivors.countConsideringDead(killed.ID) == size-1 })
				f.start(size - 1)
				rejoinDelay := f.waitFor(t, 15*time.Second, f.allUpstreamsSeenByAll)
				t.Logf("%d daemons: considered dead everywhere after %v, seen everywhere %v after its restart", size, removalDelay, rejoinDelay)
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
