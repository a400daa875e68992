package owner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/recordlog"
	"github.com/dottereltiller/dottereltiller/wire"
)

func TestCrashOfAnOwnerMakesItsKeysUnknown(t *testing.T) {
	d := deploy(t, 3, time.Minute)
	crashed := d.nodes[2]
	usedKey, unusedKey := d.keyOwnedBy(crashed), d.keyOwnedBy(crashed)
	require.Equal(t, outcome.Answered, d.nodes[0].submit(usedKey, "", "x", testTimeout).outcome.Kind)
	crashed.kill()
	ownerLost := outcome.UnknownBecause(outcome.ReasonKeyOwnerLost)
	require.Equal(t, ownerLost, d.nodes[0].submit(usedKey, "", "x", testTimeout).outcome)
	require.Equal(t, ownerLost, d.nodes[0].submit(unusedKey, "", "x", testTimeout).outcome, "the owner may have run the request before its crash")
	crashed.restart()
	d.waitFor("the new incarnation has read the log", func() bool { return crashed.caughtUp.Load() })
	require.Equal(t, ownerLost, d.nodes[0].submit(usedKey, "", "x", 3*time.Second).outcome, "a new incarnation does not own the keys of the old one")
	require.Equal(t, 1, d.executionCount(usedKey))
	for range 200 {
		k, hasLiveOwner := d.nodes[0].NewKey()
		interval, _ := d.nodes[0].lookup(k)
		require.True(t, hasLiveOwner)
		require.NotEqual(t, crashed.id, interval.Owner.Daemon, "NewKey returns no keys of a lost owner")
	}
}

func TestDrainHandsClaimsOver(t *testing.T) {
	d := deploy(t, 3, time.Minute)
	draining := d.nodes[2]
	usedKey, unusedKey := d.keyOwnedBy(draining), d.keyOwnedBy(draining)
	first := d.nodes[0].submit(usedKey, "", "x", testTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, draining.Drain(ctx))
	draining.kill()
	retry := d.nodes[0].submit(usedKey, "", "x", testTimeout)
	require.True(t, retry.replayed, "%+v after %+v", retry, first)
	require.Equal(t, first.body, retry.body)
	require.Equal(t, outcome.Answered, d.nodes[1].submit(unusedKey, "", "x", testTimeout).outcome.Kind)
	require.Equal(t, 1, d.executionCount(usedKey))
	require.Equal(t, 1, d.executionCount(unusedKey))
	draining.restart()
}

func TestDrainWaitsForExecutionsInFlight(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	finishExecution := make(chan struct{})
	d.setHandler(func(c *wire.Call) *wire.Result {
		d.countExecution(c)
		<-finishExecution
		return textResult("slow")
	})
	key := d.keyOwnedBy(d.nodes[1])
	submitted := make(chan submitResult, 1)
	go func() { submitted <- d.nodes[0].submit(key, "", "x", testTimeout) }()
	d.waitFor("the execution has started", func() bool { return d.executionCount(key) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- d.nodes[1].Drain(context.Background()) }()
	d.waitFor("the claim table is sealed", func() bool { d.nodes[1].mu.Lock(); defer d.nodes[1].mu.Unlock(); return d.nodes[1].table.IsSealed() })
	close(finishExecution)
	require.NoError(t, <-drained)
	require.Equal(t, "slow", (<-submitted).body)
	retry := d.nodes[0].submit(key, "", "x", testTimeout)
	require.Equal(t, "slow", retry.body)
	require.True(t, retry.replayed)
	require.Equal(t, 1, d.executionCount(key))
}

// failingMessenger is a Messenger that delivers a number of messages and fails to deliver
// all later ones.
type failingMessenger struct {
	Messenger
	// remaining is the number of messages that are still delivered.
	remaining atomic.Int64
}

func (m *failingMessenger) HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	if m.remaining.Add(-1) < 0 {
		return nil, context.DeadlineExceeded
	}
	return m.Messenger.HandOver(ctx, to, req)
}

func TestInterruptedHandoverNeverRunsAKeyTwice(t *testing.T) {
	for deliverable := range 3 {
		t.Run(fmt.Sprintf("after %d messages", deliverable), func(t *testing.T) {
			d := deploy(t, 2, time.Minute)
			draining := d.nodes[1]
			messenger := &failingMessenger{Messenger: d}
			messenger.remaining.Store(int64(deliverable))
			draining.opts.Messenger = messenger
			key := d.keyOwnedBy(draining)
			d.nodes[0].submit(key, "", "x", testTimeout)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			err := draining.Drain(ctx)
			draining.kill()
			r := d.nodes[0].submit(key, "", "x", testTimeout)
			require.Equal(t, 1, d.executionCount(key))
			if deliverable < 2 {
				require.ErrorIs(t, err, ErrNoSuccessor)
				require.Equal(t, outcome.UnknownBecause(outcome.ReasonKeyOwnerLost), r.outcome)
			} else {
				require.NoError(t, err)
				require.True(t, r.replayed)
			}
			draining.restart()
		})
	}
}

func TestGrantsSurviveLostRepliesAndDuplicateAppends(t *testing.T) {
	d := deploy(t, 3, time.Second)
	for _, f := range []recordlog.Faults{{LoseReplies: 100}, {Duplicate: 100}, {Latency: 20 * time.Millisecond}} {
		d.log.SetFaults(f)
		endBefore := d.endOfLog()
		d.waitFor("grants are renewed despite the fault", func() bool { return d.endOfLog() > endBefore+6 })
		for range 10 {
			key, live := d.nodes[0].NewKey()
			require.True(t, live)
			require.Equal(t, outcome.Answered, d.nodes[1].submit(key, "", "x", testTimeout).outcome.Kind)
			require.Equal(t, 1, d.executionCount(key))
		}
	}
}

// endOfLog returns the offset after the newest record of the grants stream.
func (d *deployment) endOfLog() recordlog.Offset {
	b, err := d.memory.Read(d.t.Context(), recordlog.StreamGrants, 0, 1)
	require.NoError(d.t, err)
	return b.Next
}

func TestLogOutageLongerThanAGrant(t *testing.T) {
	d := deploy(t, 2, time.Second)
	d.log.SetFaults(recordlog.Faults{Down: true})
	key := d.keyOwnedBy(d.nodes[1])
	require.Equal(t, outcome.Answered, d.nodes[0].submit(key, "", "x", testTimeout).outcome.Kind, "the grants still cover the key")
	var lastGranted claims.Stamp
	for r := range claims.Range(testRanges) {
		frontier, _ := d.nodes[0].ledger.Frontier(r)
		lastGranted = max(lastGranted, frontier)
	}
	d.waitFor("all grants have ended", func() bool { return d.nodes[0].currentTimestamp() > lastGranted })
	ungrantedKey := claims.NewKey(d.nodes[0].currentTimestamp(), [10]byte{9: 1})
	require.Equal(t, outcome.ReasonKeyNotOwned, d.nodes[0].submit(ungrantedKey, "", "x", testTimeout).outcome.Reason)
	newKey, live := d.nodes[0].NewKey()
	require.True(t, live, "NewKey uses timestamps that the grants cover")
	require.Equal(t, outcome.Answered, d.nodes[1].submit(newKey, "", "x", testTimeout).outcome.Kind)
	require.Equal(t, "done "+key.String(), d.nodes[0].submit(key, "", "x", testTimeout).body)
	d.log.SetFaults(recordlog.Faults{})
	require.Eventually(t, func() bool {
		return d.nodes[0].submit(ungrantedKey, "", "x", testTimeout).outcome.Kind == outcome.Answered
	}, testTimeout, 10*time.Millisecond, "the key can be executed after the outage")
	require.Equal(t, 1, d.executionCount(ungrantedKey))
}

func TestNewDaemonOnTrimmedLogNeedsACheckpoint(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	newNode := d.nodes[1]
	key := d.keyOwnedBy(d.nodes[0])
	newNode.kill()
	d.memory.Trim(recordlog.StreamGrants, d.endOfLog())
	newNode.restart()
	r := newNode.submit(key, "", "x", 3*time.Second)
	require.Equal(t, outcome.ReasonKeyNotOwned, r.outcome.Reason, "without a checkpoint the daemon does not know the owners")
	d.appendCheckpoint()
	d.waitFor("the checkpoint is applied", func() bool { _, ownership := newNode.lookup(key); return ownership == claims.Owned })
	require.Equal(t, outcome.Answered, newNode.submit(key, "", "x", testTimeout).outcome.Kind)
	require.Equal(t, 1, d.executionCount(key))
}

// appendCheckpoint appends a checkpoint of the first node's ledger to the log.
func (d *deployment) appendCheckpoint() {
	n := d.nodes[0]
	n.mu.Lock()
	rec := claims.Record{Checkpoint: n.ledger.Checkpoint()}
	n.mu.Unlock()
	_, err := d.memory.Append(d.t.Context(), recordlog.StreamGrants, [][]byte{rec.Encode()})
	require.NoError(d.t, err)
}

func TestCheckpointIsAppendedWhenDue(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	endBefore := d.endOfLog()
	for _, n := range d.nodes {
		n.mu.Lock()
		n.lastCheckpointRead = time.Now().Add(-DefaultCheckpointInterval - time.Second)
		n.mu.Unlock()
	}
	d.waitFor("a checkpoint is appended", func() bool { return d.endOfLog() > endBefore })
	b, err := d.memory.Read(t.Context(), recordlog.StreamGrants, endBefore, 1)
	require.NoError(t, err)
	rec, err := claims.DecodeRecord(b.Records[0].Data)
	require.NoError(t, err)
	require.NotNil(t, rec.Checkpoint)
}

// TestNewDaemonSearchesBackwardsForACheckpoint requires that a new daemon finds the
// newest checkpoint without reading the whole log. The search window is the number of
// newest records that the daemon reads. In one case the checkpoint is within the first
// window, in the other case the window has to grow.
func TestNewDaemonSearchesBackwardsForACheckpoint(t *testing.T) {
	for name, recordsSince := range map[string]int{"in the first window": 3, "in a larger window": 60} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 2, time.Minute)
			newNode := d.nodes[1]
			key := d.keyOwnedBy(d.nodes[0])
			newNode.kill()
			for range 400 {
				_, err := d.memory.Append(t.Context(), recordlog.StreamGrants, [][]byte{{0}})
				require.NoError(t, err)
			}
			d.appendCheckpoint()
			for range recordsSince {
				_, err := d.memory.Append(t.Context(), recordlog.StreamGrants, [][]byte{{0}})
				require.NoError(t, err)
			}
			newNode.Service = New(Options{Self: newNode.id, Log: d.log, Ranges: testRanges, Candidates: d.ids})
			newNode.searchWindow = 4
			newNode.readGrants(t.Context())
			_, ownership := newNode.lookup(key)
			require.Equal(t, claims.Owned, ownership)
			nextOffset := newNode.ledger.Next()
			require.EqualValues(t, d.endOfLog(), nextOffset)
			require.LessOrEqual(t, newNode.searchWindow, recordlog.Offset(4*windowGrowth*windowGrowth), "search window of %d records", newNode.searchWindow)
			newNode.restart()
		})
	}
}

// TestRollingRestartUnderLoad drains and restarts every daemon while callers
// submit each key twice, through different daemons. Every submission must get
// the response of the only execution of its key.
func TestRollingRestartUnderLoad(t *testing.T) {
	const daemons = 4
	d := deploy(t, daemons, 2*time.Second)
	// nodeInUse holds a lock for each node. A submission through a node holds the
	// read lock of that node, and a restart of the node holds the write lock.
	var nodeInUse [daemons]sync.RWMutex
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sentCount atomic.Int64
	wrongResults := make(chan submitResult, 1)
	for i := range 8 {
		wg.Go(func() {
			for turn := i; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				var key claims.Key
				for attempt := range 2 {
					// A caller does not send to a daemon that is being
					// restarted.
					node := (turn + attempt) % daemons
					nodeInUse[node].RLock()
					if attempt == 0 {
						key, _ = d.nodes[node].NewKey()
					}
					r := d.nodes[node].submit(key, "", "x", testTimeout)
					nodeInUse[node].RUnlock()
					sentCount.Add(1)
					if r.outcome.Kind != outcome.Answered || r.body != "done "+key.String() || d.executionCount(key) != 1 {
						select {
						case wrongResults <- r:
						default:
						}
					}
				}
			}
		})
	}
	for i, n := range d.nodes {
		sentBefore := sentCount.Load()
		d.waitFor("callers keep submitting", func() bool { return sentCount.Load() > sentBefore+50 })
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		require.NoError(t, n.Drain(ctx))
		cancel()
		nodeInUse[i].Lock()
		n.kill()
		n.restart()
		d.waitFor("the new incarnation has read the log", func() bool { return n.caughtUp.Load() })
		nodeInUse[i].Unlock()
	}
	close(stop)
	wg.Wait()
	select {
	case r := <-wrongResults:
		require.Fail(t, "a keyed request got no response or the wrong one", "%+v", r)
	default:
	}
	t.Logf("%d submissions over a rolling restart of %d daemons", sentCount.Load(), daemons)
}

// TestCrashUnderLoadAffectsOnlyKeysOfThatOwner stops one of four owners under load. Until
// the key ranges of the stopped owner have other owners, it requires that each submission
// is answered and executed once, unless the key belongs to the stopped owner: then the
// outcome may be unknown. Callers get half of their keys from daemons and generate the
// other half themselves.
func TestCrashUnderLoadAffectsOnlyKeysOfThatOwner(t *testing.T) {
	const daemons, callers = 4, 8
	d := deploy(t, daemons, 2*time.Second)
	crashed := d.nodes[daemons-1]
	crashedIncarnation := crashed.Incarnation()
	stop := make(chan struct{})
	// sentCounts counts the submissions and unknownCounts counts the submissions with an unknown
	// outcome, in index 0 for keys from daemons, in index 1 for keys generated by
	// callers.
	var sentCounts, unknownCounts [2]atomic.Int64
	var unexpectedResult atomic.Pointer[submitResult]
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for turn := i; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				n := d.nodes[turn%(daemons-1)]
				source := turn / 7 % 2
				key, _ := n.NewKey()
				if source == 1 {
					key = randomKey(n.currentTimestamp())
				}
				r := n.submit(key, "", "x", testTimeout)
				sentCounts[source].Add(1)
				interval, _ := n.lookup(key)
				switch {
				case r.outcome.Kind == outcome.Answered && d.executionCount(key) == 1:
				case r.outcome.Reason == outcome.ReasonKeyOwnerLost && interval.Owner.Incarnation == crashedIncarnation:
					unknownCounts[source].Add(1)
				default:
					unexpectedResult.Store(&r)
				}
			}
		})
	}
	d.waitFor("callers submit requests", func() bool { return sentCounts[0].Load() > 200 })
	crashed.kill()
	d.waitFor("the ranges of the crashed owner have other owners", func() bool {
		n := d.nodes[0]
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.ledger.OwnedUntil(crashedIncarnation) < n.currentTimestamp()
	})
	close(stop)
	wg.Wait()
	require.Nil(t, unexpectedResult.Load(), "%+v", unexpectedResult.Load())
	t.Logf("unknown: %d of %d keys from daemons, %d of %d keys generated by callers",
		unknownCounts[0].Load(), sentCounts[0].Load(), unknownCounts[1].Load(), sentCounts[1].Load())
	crashed.restart()
}
