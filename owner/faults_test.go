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
	victim := d.nodes[2]
	done, fresh := d.keyOwnedBy(victim), d.keyOwnedBy(victim)
	require.Equal(t, outcome.Answered, d.nodes[0].submit(done, "", "x", testTimeout).outcome.Kind)
	victim.kill()
	lost := outcome.UnknownBecause(outcome.ReasonKeyOwnerLost)
	require.Equal(t, lost, d.nodes[0].submit(done, "", "x", testTimeout).outcome)
	require.Equal(t, lost, d.nodes[0].submit(fresh, "", "x", testTimeout).outcome, "nobody can know that it did not run")
	victim.restart()
	d.waitFor("the new life follows the log", func() bool { return victim.caughtUp.Load() })
	require.Equal(t, lost, d.nodes[0].submit(done, "", "x", 3*time.Second).outcome, "a new life is not the owner")
	require.Equal(t, 1, d.executionsOf(done))
	for range 200 {
		k, live := d.nodes[0].NewKey()
		in, _ := d.nodes[0].lookup(k)
		require.True(t, live)
		require.NotEqual(t, victim.id, in.Owner.Daemon, "no keys are handed out for a lost owner")
	}
}

func TestDrainHandsClaimsOver(t *testing.T) {
	d := deploy(t, 3, time.Minute)
	leaving := d.nodes[2]
	done, fresh := d.keyOwnedBy(leaving), d.keyOwnedBy(leaving)
	first := d.nodes[0].submit(done, "", "x", testTimeout)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	require.NoError(t, leaving.Drain(ctx))
	leaving.kill()
	again := d.nodes[0].submit(done, "", "x", testTimeout)
	require.True(t, again.replayed, "%+v after %+v", again, first)
	require.Equal(t, first.body, again.body)
	require.Equal(t, outcome.Answered, d.nodes[1].submit(fresh, "", "x", testTimeout).outcome.Kind)
	require.Equal(t, 1, d.executionsOf(done))
	require.Equal(t, 1, d.executionsOf(fresh))
	leaving.restart()
}

func TestDrainWaitsForExecutionsInFlight(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	release := make(chan struct{})
	d.setHandler(func(c *wire.Call) *wire.Result {
		d.count(c)
		<-release
		return textResult("slow")
	})
	key := d.keyOwnedBy(d.nodes[1])
	got := make(chan submitResult, 1)
	go func() { got <- d.nodes[0].submit(key, "", "x", testTimeout) }()
	d.waitFor("the run has begun", func() bool { return d.executionsOf(key) == 1 })
	drained := make(chan error, 1)
	go func() { drained <- d.nodes[1].Drain(context.Background()) }()
	d.waitFor("sealed", func() bool { d.nodes[1].mu.Lock(); defer d.nodes[1].mu.Unlock(); return d.nodes[1].table.IsSealed() })
	close(release)
	require.NoError(t, <-drained)
	require.Equal(t, "slow", (<-got).body)
	again := d.nodes[0].submit(key, "", "x", testTimeout)
	require.Equal(t, "slow", again.body)
	require.True(t, again.replayed)
	require.Equal(t, 1, d.executionsOf(key))
}

// failingMessenger fails a handover after a number of messages.
type failingMessenger struct {
	Messenger
	remaining atomic.Int64
}

func (m *failingMessenger) HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	if m.remaining.Add(-1) < 0 {
		return nil, context.DeadlineExceeded
	}
	return m.Messenger.HandOver(ctx, to, req)
}

func TestInterruptedHandoverNeverRunsAKeyTwice(t *testing.T) {
	for messages := range 3 {
		t.Run(fmt.Sprintf("after %d messages", messages), func(t *testing.T) {
			d := deploy(t, 2, time.Minute)
			leaving := d.nodes[1]
			cut := &failingMessenger{Messenger: d}
			cut.remaining.Store(int64(messages))
			leaving.opts.Messenger = cut
			key := d.keyOwnedBy(leaving)
			d.nodes[0].submit(key, "", "x", testTimeout)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			err := leaving.Drain(ctx)
			leaving.kill()
			r := d.nodes[0].submit(key, "", "x", testTimeout)
			require.Equal(t, 1, d.executionsOf(key))
			if messages < 2 {
				require.ErrorIs(t, err, ErrNoSuccessor)
				require.Equal(t, outcome.UnknownBecause(outcome.ReasonKeyOwnerLost), r.outcome)
			} else {
				require.NoError(t, err)
				require.True(t, r.replayed)
			}
			leaving.restart()
		})
	}
}

func TestGrantsSurviveLostRepliesAndDuplicateAppends(t *testing.T) {
	d := deploy(t, 3, time.Second)
	for _, f := range []recordlog.Faults{{LoseReplies: 100}, {Duplicate: 100}, {Latency: 20 * time.Millisecond}} {
		d.log.SetFaults(f)
		before := d.endOfLog()
		d.waitFor("grants are renewed all the same", func() bool { return d.endOfLog() > before+6 })
		for range 10 {
			key, live := d.nodes[0].NewKey()
			require.True(t, live)
			require.Equal(t, outcome.Answered, d.nodes[1].submit(key, "", "x", testTimeout).outcome.Kind)
			require.Equal(t, 1, d.executionsOf(key))
		}
	}
}

func (d *deployment) endOfLog() recordlog.Offset {
	b, err := d.memory.Read(d.t.Context(), recordlog.StreamGrants, 0, 1)
	require.NoError(d.t, err)
	return b.Next
}

func TestLogOutageLongerThanAGrant(t *testing.T) {
	d := deploy(t, 2, time.Second)
	d.log.SetFaults(recordlog.Faults{Down: true})
	key := d.keyOwnedBy(d.nodes[1])
	require.Equal(t, outcome.Answered, d.nodes[0].submit(key, "", "x", testTimeout).outcome.Kind, "grants still reach")
	var last claims.Stamp
	for r := range claims.Range(testRanges) {
		f, _ := d.nodes[0].ledger.Frontier(r)
		last = max(last, f)
	}
	d.waitFor("all grants have ended", func() bool { return d.nodes[0].stamp() > last })
	stamped := claims.NewKey(d.nodes[0].stamp(), [10]byte{9: 1})
	require.Equal(t, outcome.ReasonKeyNotOwned, d.nodes[0].submit(stamped, "", "x", testTimeout).outcome.Reason)
	handed, live := d.nodes[0].NewKey()
	require.True(t, live, "keys are handed out with stamps that the grants reach")
	require.Equal(t, outcome.Answered, d.nodes[1].submit(handed, "", "x", testTimeout).outcome.Kind)
	require.Equal(t, "done "+key.String(), d.nodes[0].submit(key, "", "x", testTimeout).body)
	d.log.SetFaults(recordlog.Faults{})
	require.Eventually(t, func() bool {
		return d.nodes[0].submit(stamped, "", "x", testTimeout).outcome.Kind == outcome.Answered
	}, testTimeout, 10*time.Millisecond, "after the outage the key runs")
	require.Equal(t, 1, d.executionsOf(stamped))
}

func TestNewDaemonOnTrimmedLogNeedsACheckpoint(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	fresh := d.nodes[1]
	key := d.keyOwnedBy(d.nodes[0])
	fresh.kill()
	d.memory.Trim(recordlog.StreamGrants, d.endOfLog())
	fresh.restart()
	r := fresh.submit(key, "", "x", 3*time.Second)
	require.Equal(t, outcome.ReasonKeyNotOwned, r.outcome.Reason, "it cannot tell who owns what")
	d.checkpoint()
	d.waitFor("the checkpoint is folded", func() bool { _, s := fresh.lookup(key); return s == claims.Owned })
	require.Equal(t, outcome.Answered, fresh.submit(key, "", "x", testTimeout).outcome.Kind)
	require.Equal(t, 1, d.executionsOf(key))
}

// checkpoint appends what the first node has folded.
func (d *deployment) checkpoint() {
	n := d.nodes[0]
	n.mu.Lock()
	rec := claims.Record{Checkpoint: n.ledger.Checkpoint()}
	n.mu.Unlock()
	_, err := d.memory.Append(d.t.Context(), recordlog.StreamGrants, [][]byte{rec.Encode()})
	require.NoError(d.t, err)
}

func TestCheckpointIsAppendedWhenDue(t *testing.T) {
	d := deploy(t, 2, time.Minute)
	end := d.endOfLog()
	for _, n := range d.nodes {
		n.mu.Lock()
		n.checkpointed = time.Now().Add(-DefaultCheckpoint - time.Second)
		n.mu.Unlock()
	}
	d.waitFor("a checkpoint", func() bool { return d.endOfLog() > end })
	b, err := d.memory.Read(t.Context(), recordlog.StreamGrants, end, 1)
	require.NoError(t, err)
	rec, err := claims.DecodeRecord(b.Records[0].Data)
	require.NoError(t, err)
	require.NotNil(t, rec.Checkpoint)
}

// TestNewDaemonSearchesBackwardsForACheckpoint lets it find the newest checkpoint in
// few records, and one that lies further back.
func TestNewDaemonSearchesBackwardsForACheckpoint(t *testing.T) {
	for name, since := range map[string]int{"near": 3, "far": 60} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 2, time.Minute)
			fresh := d.nodes[1]
			key := d.keyOwnedBy(d.nodes[0])
			fresh.kill()
			for range 400 {
				_, err := d.memory.Append(t.Context(), recordlog.StreamGrants, [][]byte{{0}})
				require.NoError(t, err)
			}
			d.checkpoint()
			for range since {
				_, err := d.memory.Append(t.Context(), recordlog.StreamGrants, [][]byte{{0}})
				require.NoError(t, err)
			}
			fresh.Service = New(Options{Self: fresh.id, Log: d.log, Ranges: testRanges, Candidates: d.ids})
			fresh.searchWindow = 4
			fresh.readGrants(t.Context())
			_, standing := fresh.lookup(key)
			require.Equal(t, claims.Owned, standing)
			read := fresh.ledger.Next()
			require.EqualValues(t, d.endOfLog(), read)
			require.LessOrEqual(t, fresh.searchWindow, recordlog.Offset(4*windowGrowth*windowGrowth), "it read %d records at most", fresh.searchWindow)
			fresh.restart()
		})
	}
}

// TestRollingRestartUnderLoad drains and restarts every daemon while callers
// send each key twice through different daemons.
func TestRollingRestartUnderLoad(t *testing.T) {
	const daemons = 4
	d := deploy(t, daemons, 2*time.Second)
	var gates [daemons]sync.RWMutex
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent atomic.Int64
	bad := make(chan submitResult, 1)
	for i := range 8 {
		wg.Go(func() {
			for turn := i; ; turn++ {
				select {
				case <-stop:
					return
				default:
				}
				var key claims.Key
				for try := range 2 {
					// A caller does not send to a daemon that is being replaced.
					at := (turn + try) % daemons
					gates[at].RLock()
					if try == 0 {
						key, _ = d.nodes[at].NewKey()
					}
					r := d.nodes[at].submit(key, "", "x", testTimeout)
					gates[at].RUnlock()
					sent.Add(1)
					if r.outcome.Kind != outcome.Answered || r.body != "done "+key.String() || d.executionsOf(key) != 1 {
						select {
						case bad <- r:
						default:
						}
					}
				}
			}
		})
	}
	for i, n := range d.nodes {
		before := sent.Load()
		d.waitFor("load goes on", func() bool { return sent.Load() > before+50 })
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		require.NoError(t, n.Drain(ctx))
		cancel()
		gates[i].Lock()
		n.kill()
		n.restart()
		d.waitFor("the new life follows the log", func() bool { return n.caughtUp.Load() })
		gates[i].Unlock()
	}
	close(stop)
	wg.Wait()
	select {
	case r := <-bad:
		require.Fail(t, "a keyed request was not answered", "%+v", r)
	default:
	}
	t.Logf("%d submissions over a rolling restart of %d daemons", sent.Load(), daemons)
}

// TestCrashUnderLoadAffectsOnlyKeysOfThatOwner kills one of four owners under load
// and counts the unknown outcomes until its ranges have moved on. Callers take
// half of their keys from daemons and make the other half themselves.
func TestCrashUnderLoadAffectsOnlyKeysOfThatOwner(t *testing.T) {
	const daemons, callers = 4, 8
	d := deploy(t, daemons, 2*time.Second)
	victim := d.nodes[daemons-1]
	life := victim.Incarnation()
	stop := make(chan struct{})
	var sent, unknown [2]atomic.Int64
	var strange atomic.Pointer[submitResult]
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
				own := turn / 7 % 2
				key, _ := n.NewKey()
				if own == 1 {
					key = randomKey(n.stamp())
				}
				r := n.submit(key, "", "x", testTimeout)
				sent[own].Add(1)
				in, _ := n.lookup(key)
				switch {
				case r.outcome.Kind == outcome.Answered && d.executionsOf(key) == 1:
				case r.outcome.Reason == outcome.ReasonKeyOwnerLost && in.Owner.Incarnation == life:
					unknown[own].Add(1)
				default:
					strange.Store(&r)
				}
			}
		})
	}
	d.waitFor("load", func() bool { return sent[0].Load() > 200 })
	victim.kill()
	d.waitFor("the victim's ranges have moved on", func() bool {
		n := d.nodes[0]
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.ledger.OwnedUntil(life) < n.stamp()
	})
	close(stop)
	wg.Wait()
	require.Nil(t, strange.Load(), "%+v", strange.Load())
	t.Logf("unknown: %d of %d keys that daemons handed out, %d of %d that callers made",
		unknown[0].Load(), sent[0].Load(), unknown[1].Load(), sent[1].Load())
	victim.restart()
}
