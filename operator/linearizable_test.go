package operator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// proposeInput is the input of one proposal: the version that the proposal is based on.
type proposeInput struct{ baseVersion model.Version }

// proposeOutput is the result of one proposal. decision is one of the names that decisionName
// returns.
type proposeOutput struct {
	decision string
	version  model.Version
}

// versionRegister models the configuration as a compare-and-set register whose state is the
// current version. A proposal whose decision is unknown may or may not have been accepted.
var versionRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{model.Version(1)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(model.Version), input.(proposeInput), output.(proposeOutput)
		switch {
		case out.decision == "accepted" && in.baseVersion == current && out.version == current+1:
			return []any{current + 1}
		case out.decision == "superseded" && in.baseVersion < current:
			return []any{current}
		case out.decision == "unknown" && in.baseVersion == current:
			return []any{current, current + 1}
		case out.decision == "unknown":
			return []any{current}
		default:
			return nil
		}
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%v -> %v", in, out) },
}

// TestProposalsAreLinearizable lets operators publish concurrently on a log that loses
// replies, duplicates appends and is sometimes unavailable. The results of all proposals must be
// consistent with a single order of the changes, as modelled by versionRegister. Some proposals must
// be accepted and some superseded.
func TestProposalsAreLinearizable(t *testing.T) {
	for seed := range 5 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				log := recordlog.NewFaultyLog(&recordlog.Memory{})
				propose(t, log, Proposal{Documents: []policy.Document{serviceDocument("a", "1s")}})
				var mu sync.Mutex
				var history []porcupine.Operation
				decisions := map[string]int{}
				var wg sync.WaitGroup
				for client := range 4 {
					wg.Go(func() {
						for i := range 6 {
							op := proposeOnCurrent(t.Context(), log, client, i)
							mu.Lock()
							history = append(history, op)
							decisions[op.Output.(proposeOutput).decision]++
							mu.Unlock()
						}
					})
				}
				for i := range 20 {
					log.SetFaults(recordlog.Faults{Latency: 30 * time.Millisecond, Down: (i+seed)%4 == 3, LoseReplies: i % 3, Duplicate: (i + seed) % 2})
					time.Sleep(400 * time.Millisecond)
				}
				log.SetFaults(recordlog.Faults{Latency: 30 * time.Millisecond})
				wg.Wait()
				require.True(t, porcupine.CheckOperations(versionRegister.ToModel(), history), "%v", history)
				require.Positive(t, decisions["accepted"])
				require.Positive(t, decisions["superseded"])
			})
		})
	}
}

// proposeOnCurrent reads the current version and proposes a change based on that version. Changes of
// other operators may be accepted between the read and the proposal. client is the number of the
// operator, and i is the number of the operator's proposal; they make the document unique.
func proposeOnCurrent(ctx context.Context, log recordlog.Log, client, i int) porcupine.Operation {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	view, err := NewView(ctx, log)
	for err != nil && ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		view, err = NewView(ctx, log)
	}
	base := view.State().Version
	op := porcupine.Operation{ClientId: client, Input: proposeInput{baseVersion: base}, Call: time.Now().UnixNano()}
	doc := serviceDocument(fmt.Sprint("c", client), fmt.Sprint(i+1, "s"))
	res, err := Propose(ctx, log, Proposal{Base: base, Documents: []policy.Document{doc}})
	op.Return = time.Now().UnixNano()
	op.Output = proposeOutput{decision: decisionName(err), version: res.Version}
	time.Sleep(time.Duration(10+17*client) * time.Millisecond)
	return op
}

// decisionName returns the decision about a proposal, given the error of Propose.
func decisionName(err error) string {
	var superseded *SupersededError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &superseded):
		return "superseded"
	default:
		return "unknown"
	}
}
