package configuration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// runWithFleet starts a fleet of nodeCount daemons in virtual time, runs a test on it, and
// stops it.
func runWithFleet(t *testing.T, nodeCount int, test func(t *testing.T, f *fleet)) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(t, ctx, nodeCount)
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

func TestAcceptedChangeIsInForceEverywhereInTime(t *testing.T) {
	const size = 60
	for name, c := range map[string]struct {
		fault func(f *fleet)
		// wantDaemonCount is the number of daemons at which the change must be in
		// force after maxDelay.
		wantDaemonCount int
		maxDelay        time.Duration
	}{
		"healthy":                    {func(*fleet) {}, size, time.Second},
		"log slow":                   {func(f *fleet) { f.log.SetFaults(recordlog.Faults{Latency: time.Second}) }, size, 3 * time.Second},
		"zone disconnected from log": {func(f *fleet) { f.disconnectLog(zone(1), true) }, size, 3 * time.Second},
		"zone partitioned":           {func(f *fleet) { f.partitionZone(zone(1), true) }, size * 4 / 5, 3 * time.Second},
		"all but one zone disconnected from log": {func(f *fleet) {
			for i := range zoneCount - 1 {
				f.disconnectLog(zone(i), true)
			}
		}, size, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, size, func(t *testing.T, f *fleet) {
				f.publish("first")
				time.Sleep(20 * time.Second)
				c.fault(f)
				time.Sleep(20 * time.Second)
				published := f.publish("second")
				acceptedAt := time.Now()
				time.Sleep(c.maxDelay)
				synctest.Wait()
				require.Equal(t, c.wantDaemonCount, f.countInForce(published.Version))
				require.LessOrEqual(t, percentile(f.delays(published.Version, acceptedAt), 1), c.maxDelay)
			})
		})
	}
}

func TestPeersSpreadChangeWhenLogFailsAfterFirstRead(t *testing.T) {
	runWithFleet(t, 60, func(t *testing.T, f *fleet) {
		f.publish("first")
		time.Sleep(20 * time.Second)
		published := f.publish("second")
		for f.countInForce(published.Version) == 0 {
			time.Sleep(time.Millisecond)
		}
		f.log.SetFaults(recordlog.Faults{Down: true})
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, 60, f.countInForce(published.Version), "the daemon that had read the change relayed it")
	})
}

func TestPartitionedZoneKeepsServingAndCatchesUp(t *testing.T) {
	runWithFleet(t, 50, func(t *testing.T, f *fleet) {
		f.publish("first")
		time.Sleep(20 * time.Second)
		f.partitionZone(zone(2), true)
		time.Sleep(time.Minute)
		published := f.publish("second")
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 40, f.countInForce(published.Version))
		require.Equal(t, 10, f.countInForce(1), "the partitioned zone keeps serving its version")
		f.partitionZone(zone(2), false)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		require.Equal(t, 50, f.countInForce(published.Version))
	})
}

func TestStartDuringLogOutageServesPeersVersionButIsNotCaughtUp(t *testing.T) {
	runWithFleet(t, 20, func(t *testing.T, f *fleet) {
		for i := range 70 {
			f.publish(fmt.Sprint("s", i))
		}
		time.Sleep(20 * time.Second)
		f.log.SetFaults(recordlog.Faults{Down: true})
		n := f.nodes[7]
		f.kill(n)
		f.start(n)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		status := n.store.Status()
		require.EqualValues(t, 70, n.store.Current().Version)
		require.False(t, status.CaughtUp)
		require.NotEmpty(t, status.LogError)
		f.log.SetFaults(recordlog.Faults{})
		time.Sleep(20 * time.Second)
		synctest.Wait()
		require.True(t, n.store.Status().CaughtUp)
		require.Empty(t, n.store.Status().LogError)
	})
}

func TestTrimmedLogWithoutCoveringCheckpointRecoversFromPeers(t *testing.T) {
	runWithFleet(t, 6, func(t *testing.T, f *fleet) {
		f.publish("first")
		time.Sleep(10 * time.Second)
		staleCheckpoint, err := f.nodes[0].store.State().Checkpoint()
		require.NoError(t, err)
		f.publish("second")
		time.Sleep(10 * time.Second)
		f.memory.Trim(recordlog.StreamConfig, 2)
		// staleCheckpoint stands for the checkpoint of a daemon that was paused
		// after it had encoded the checkpoint and before it appended it. The state
		// of staleCheckpoint does not include all of the trimmed records.
		_, err = f.log.Append(t.Context(), recordlog.StreamConfig, [][]byte{staleCheckpoint})
		require.NoError(t, err)

		newStore := configuration.NewStore(configuration.Options{Log: f.log, IsLogReader: func() bool { return false }})
		newStore.Poll(t.Context())
		require.Nil(t, newStore.Current(), "a checkpoint that does not cover the dropped records must not be restored")
		require.False(t, newStore.Status().CaughtUp)
		topic, peerTopic := newStore.Topic(), f.nodes[0].store.Topic()
		require.NoError(t, topic.Apply(peerTopic.Delta(topic.Digest(), 1<<20)))
		require.EqualValues(t, 2, newStore.Current().Version)
		newStore.Poll(t.Context())
		require.True(t, newStore.Status().CaughtUp)

		// A new daemon needs no peer once the log has a checkpoint whose state
		// includes the dropped records.
		time.Sleep(2 * time.Minute)
		withoutPeers := configuration.NewStore(configuration.Options{Log: f.log})
		withoutPeers.Poll(t.Context())
		require.EqualValues(t, 2, withoutPeers.Current().Version)
	})
}

func TestLogThatLostRecordsIsNotApplied(t *testing.T) {
	ctx := t.Context()
	_, err := operator.Propose(ctx, &recordlog.Memory{}, proposal("x"))
	require.NoError(t, err)
	log := &replaceableLog{Log: &recordlog.Memory{}}
	for i := range 2 {
		_, err = operator.Propose(ctx, log, proposal(fmt.Sprint("s", i)))
		require.NoError(t, err)
	}
	s := configuration.NewStore(configuration.Options{Log: log})
	s.Poll(ctx)
	require.EqualValues(t, 2, s.Current().Version)
	log.Log = &recordlog.Memory{}
	_, err = operator.Propose(ctx, log, proposal("other"))
	require.NoError(t, err)
	s.Poll(ctx)
	require.EqualValues(t, 2, s.Current().Version)
	require.Contains(t, s.Status().LogError, "ends before")
}

// replaceableLog forwards to its Log field, which a test can set to another log.
type replaceableLog struct{ recordlog.Log }

func TestConcurrentProposalsReportTheWinner(t *testing.T) {
	for name, faults := range map[string]recordlog.Faults{
		"healthy":                           {Latency: 5 * time.Millisecond},
		"responses lost":                    {Latency: 5 * time.Millisecond, LoseReplies: 2},
		"appended twice":                    {Latency: 5 * time.Millisecond, Duplicate: 2},
		"responses lost and appended twice": {Latency: 5 * time.Millisecond, LoseReplies: 2, Duplicate: 2},
		"slow and responses lost":           {Latency: time.Second, LoseReplies: 2},
	} {
		t.Run(name, func(t *testing.T) {
			runWithFleet(t, 10, func(t *testing.T, f *fleet) {
				f.publish("first")
				f.log.SetFaults(faults)
				ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
				defer cancel()
				var results [2]operator.Result
				var errs [2]error
				var wg sync.WaitGroup
				for i := range 2 {
					wg.Go(func() { results[i], errs[i] = operator.Propose(ctx, f.log, proposal(fmt.Sprint("race-", i))) })
				}
				wg.Wait()
				winner, loser := 0, 1
				if errs[0] != nil {
					winner, loser = 1, 0
				}
				require.NoError(t, errs[winner])
				require.Equal(t, config.Accepted, results[winner].Decision)
				require.EqualValues(t, 2, results[winner].Version)
				var superseded *operator.SupersededError
				require.ErrorAs(t, errs[loser], &superseded)
				require.Equal(t, fmt.Sprint("op-race-", winner), superseded.By)
				require.Equal(t, results[winner].ChangeID, superseded.ByChange)
				require.Len(t, superseded.Differences, 1, "the changes that the losing proposal would still make")
				f.log.SetFaults(recordlog.Faults{})
				time.Sleep(5 * time.Second)
				synctest.Wait()
				require.Equal(t, 10, f.countInForce(2))
			})
		})
	}
}

// TestPairsOfFaultsNeverRestoreAnOlderVersion injects random pairs of faults
// while operators publish changes and daemons restart. No daemon may go back to
// an older version, and in the end all daemons must have the same one.
func TestPairsOfFaultsNeverRestoreAnOlderVersion(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runWithFleet(t, 30, func(t *testing.T, f *fleet) {
				rng := newRand(seed)
				var staleCheckpoint []byte
				var staleNextOffset uint64
				faults := []func(on bool){
					func(on bool) { f.log.SetFaults(recordlog.Faults{Down: on}) },
					func(on bool) { f.log.SetFaults(recordlog.Faults{LoseReplies: 3, Duplicate: 2}) },
					func(on bool) { f.partitionZone(zone(int(seed)%zoneCount), on) },
					func(on bool) { f.disconnectLog(zone(3), on) },
					func(bool) { n := f.nodes[rng.IntN(30)]; f.kill(n); f.start(n) },
					func(on bool) { f.network.SetUnresponsive(f.nodes[4].ID, on) },
					func(on bool) {
						if on {
							state := f.nodes[0].store.State()
							staleCheckpoint, _ = state.Checkpoint()
							staleNextOffset = state.Next
							return
						}
						if staleNextOffset > 0 {
							_, _ = f.memory.Append(f.ctx, recordlog.StreamConfig, [][]byte{staleCheckpoint})
						}
					},
					func(on bool) {
						if b, err := f.memory.Read(f.ctx, recordlog.StreamConfig, 1<<40, 1); err == nil && on {
							f.memory.Trim(recordlog.StreamConfig, b.Next-min(b.Next, 2))
						}
					},
				}
				f.publish("start")
				time.Sleep(5 * time.Second)
				var pendingProposals sync.WaitGroup
				for round := range 12 {
					firstFault, secondFault := faults[rng.IntN(len(faults))], faults[rng.IntN(len(faults))]
					firstFault(true)
					secondFault(true)
					pendingProposals.Go(func() {
						ctx, cancel := context.WithTimeout(f.ctx, 8*time.Second)
						defer cancel()
						_, _ = operator.Propose(ctx, f.log, proposal(fmt.Sprint("s", seed, "-", round)))
					})
					time.Sleep(time.Duration(1+rng.IntN(10)) * time.Second)
					firstFault(false)
					secondFault(false)
				}
				pendingProposals.Wait()
				f.log.SetFaults(recordlog.Faults{})
				time.Sleep(40 * time.Second)
				synctest.Wait()
				want := f.nodes[0].store.Status()
				require.Greater(t, want.Version, model.Version(3), "changes were accepted")
				for _, n := range f.nodes {
					status := n.store.Status()
					require.Equal(t, want.Chain, status.Chain, "%s", n.ID)
					require.False(t, status.Conflict)
				}
				require.Equal(t, 30, f.countInForce(want.Version))
			})
		})
	}
}

func TestInvalidDocumentsAreNeverAccepted(t *testing.T) {
	log := &recordlog.Memory{}
	unknownFieldChange := config.Change{ID: "x", Put: map[config.DocumentKey]json.RawMessage{"Service/a": json.RawMessage(`{"kind":"Service","name":"a","spec":{"dead_line":"2s"}}`)}}
	misnamedChange := config.Change{ID: "y", Put: map[config.DocumentKey]json.RawMessage{"Service/b": json.RawMessage(`{"kind":"Service","name":"a","spec":{}}`)}}
	for _, c := range []config.Change{unknownFieldChange, misnamedChange} {
		record, _, err := config.EncodeChange(c)
		require.NoError(t, err)
		_, err = log.Append(t.Context(), recordlog.StreamConfig, [][]byte{record})
		require.NoError(t, err)
	}
	s := configuration.NewStore(configuration.Options{Log: log})
	s.Poll(t.Context())
	require.Nil(t, s.Current())
	view, err := operator.NewView(t.Context(), log)
	require.NoError(t, err)
	require.Equal(t, config.Invalid, view.Entries()[0].Decision)
	require.ErrorContains(t, view.Entries()[0].Problem, "dead_line")
	require.Equal(t, config.Invalid, view.Entries()[1].Decision)
}

// BenchmarkApplyRecords measures how long a state machine that validates like a daemon
// takes to apply 10,000 changes, which replace the documents of 77 services in turn.
func BenchmarkApplyRecords(b *testing.B) {
	const changes, services = 10_000, 77
	records := make([][]byte, changes)
	for i := range records {
		name := fmt.Sprint("s", i%services)
		raw := json.RawMessage(fmt.Sprintf(`{"kind":"Service","name":"%s","labels":{"mesh":"fyn"},"spec":{"deadline":"%dms"}}`, name, 100+i))
		var err error
		records[i], _, err = config.EncodeChange(config.Change{ID: fmt.Sprint("change-", i), Base: model.Version(i),
			Author: "operator", Put: map[config.DocumentKey]json.RawMessage{config.DocumentKey("Service/" + name): raw}})
		require.NoError(b, err)
	}
	for b.Loop() {
		machine := configuration.NewStateMachine()
		for i, r := range records {
			machine.ApplyRecord(uint64(i), r)
		}
		require.EqualValues(b, changes, machine.Version())
	}
}
