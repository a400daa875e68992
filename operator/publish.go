package operator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/pause"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// Proposal is a change of the configuration that an operator wants to publish.
type Proposal struct {
	Author  string
	Comment string
	// Documents are added to the configuration. Each of them replaces the document with the same
	// key, if there is one. The published change leaves out documents that equal those of the
	// current version.
	Documents []policy.Document
	// Delete holds the keys of documents to delete. Keys of documents that do not exist are ignored.
	Delete []config.DocumentKey
	// Prune also deletes every document that is not among Documents.
	Prune bool
	// Base is the version that the proposal is based on. Zero means the current version on
	// the log.
	Base model.Version
}

// Result is the result of publishing a proposal.
type Result struct {
	// Decision is what the state machine decided about the change. Zero means not known.
	Decision config.Decision
	// Version is the version that the change made. If the change was not accepted, it is the
	// current version. It is zero if it is not known whether the change was accepted.
	Version model.Version
	// ChangeID is the id of the published change. It is empty if nothing was published because
	// the proposal had no differences.
	ChangeID string
	// Differences are the differences between the proposal and the version that was current
	// when the proposal was made.
	Differences []Difference
}

// Publish calls Propose with a proposal that adds or replaces docs in the current version.
func Publish(ctx context.Context, log recordlog.Log, author string, docs []policy.Document) (Result, error) {
	return Propose(ctx, log, Proposal{Author: author, Documents: docs})
}

// Plan returns the differences that a proposal would make, and the current version. It publishes
// nothing. It returns an *InvalidError if the resulting configuration does not compile.
func Plan(ctx context.Context, log recordlog.Log, p Proposal) (Result, error) {
	view, err := NewView(ctx, log)
	if err != nil {
		return Result{}, err
	}
	_, diffs, err := prepareChange(view, p)
	return Result{Version: view.State().Version, Differences: diffs}, err
}

// Propose publishes a proposal and reads the log to find out whether the change was accepted. Its
// errors include:
//   - *InvalidError: the change is not valid;
//   - *SupersededError: another change with the same base version came first;
//   - *UnknownError: it is not known whether the change was accepted.
func Propose(ctx context.Context, log recordlog.Log, p Proposal) (Result, error) {
	view, err := NewView(ctx, log)
	if err != nil {
		return Result{}, err
	}
	change, diffs, err := prepareChange(view, p)
	if err != nil {
		return Result{Decision: config.Invalid, Version: view.State().Version}, err
	}
	if len(diffs) == 0 {
		return Result{Decision: config.Accepted, Version: view.State().Version}, nil
	}
	entry, err := appendAndReadBack(ctx, view, change)
	if err != nil {
		return Result{ChangeID: change.ID, Differences: diffs}, err
	}
	res := Result{Decision: entry.Decision, Version: entry.Version, ChangeID: change.ID, Differences: diffs}
	switch entry.Decision {
	case config.Accepted:
		return res, nil
	case config.Superseded:
		return res, newSupersededError(view, change)
	default:
		return res, &InvalidError{Problem: entry.Problem}
	}
}

// prepareChange turns a proposal into a change. It returns the change and the differences that it
// makes to the current version. The error is an *InvalidError.
func prepareChange(v *View, p Proposal) (config.Change, []Difference, error) {
	state := v.State()
	after, err := Merge(state.Documents, p.Documents, p.Prune)
	if err != nil {
		return config.Change{}, nil, &InvalidError{Problem: err}
	}
	for _, key := range p.Delete {
		delete(after, key)
	}
	next := config.State{Documents: after}
	if _, problems := policy.Compile(configuration.Documents(next)); len(problems) > 0 {
		return config.Change{}, nil, &InvalidError{Problem: problems[0]}
	}
	diffs := Diff(state.Documents, after)
	base := p.Base
	if base == 0 {
		base = state.Version
	}
	c := config.Change{
		ID:        uuid.NewString(),
		Base:      base,
		Author:    p.Author,
		Comment:   p.Comment,
		UnixMilli: time.Now().UnixMilli(),
		Put:       make(map[config.DocumentKey]json.RawMessage),
	}
	for _, d := range diffs {
		if d.After == nil {
			c.Delete = append(c.Delete, d.Key)
			continue
		}
		c.Put[d.Key] = d.After
	}
	return c, diffs, nil
}

// appendAndReadBack appends a change to the log and reads the log, and repeats both until it finds
// the change there. It may append the change more than once; only the first record counts. If the
// context ends first and an append may have taken effect, it returns an *UnknownError. If the context
// ends first and no append took effect, it returns the errors of the most recent append and read. If
// the change cannot be encoded, it returns an *InvalidError.
func appendAndReadBack(ctx context.Context, v *View, c config.Change) (HistoryEntry, error) {
	record, _, err := config.EncodeChange(c)
	if err != nil {
		return HistoryEntry{}, &InvalidError{Problem: err}
	}
	rng := rand.New(rand.NewPCG(uint64(c.UnixMilli), uint64(len(record))))
	var backoff pause.Backoff
	maybeAppended := false
	for {
		_, failure := v.log.Append(ctx, recordlog.StreamConfig, [][]byte{record})
		maybeAppended = maybeAppended || mayHaveBeenAppended(failure)
		if err := v.Advance(ctx); err != nil {
			failure = errors.Join(failure, err)
		} else if e, ok := v.findChange(c.ID); ok {
			return e, nil
		}
		select {
		case <-ctx.Done():
			if !maybeAppended {
				return HistoryEntry{}, failure
			}
			return HistoryEntry{}, &UnknownError{ChangeID: c.ID, Err: failure}
		case <-time.After(backoff.Next(rng)):
		}
	}
}

// mayHaveBeenAppended reports whether an append may have taken effect. err is the error of the
// append, or nil if the append succeeded.
func mayHaveBeenAppended(err error) bool {
	var failed *recordlog.AppendError
	return !errors.As(err, &failed) || failed.Uncertain
}

// newSupersededError returns a *SupersededError for the change c. It names the change that came
// first and the differences that c would make to the current version.
func newSupersededError(v *View, c config.Change) error {
	out := &SupersededError{ChangeID: c.ID, Base: c.Base, Current: v.State().Version}
	if winner, ok := v.changeOfVersion(c.Base + 1); ok {
		out.By, out.ByChange, out.ByComment = winner.Change.Author, winner.Change.ID, winner.Change.Comment
	}
	rebased := make(Documents)
	for k, d := range v.State().Documents {
		rebased[k] = d
	}
	for _, k := range c.Delete {
		delete(rebased, k)
	}
	for k, d := range c.Put {
		rebased[k] = d
	}
	out.Differences = Diff(v.State().Documents, rebased)
	return out
}

// Rollback proposes the documents of an earlier version as a new version. It overwrites the Documents
// and Prune of p. It returns an error if the log does not hold the change that made the earlier
// version, or an error of Propose.
func Rollback(ctx context.Context, log recordlog.Log, version model.Version, p Proposal) (Result, error) {
	earlier, err := StateAt(ctx, log, version)
	if err != nil {
		return Result{}, err
	}
	p.Documents = configuration.Documents(earlier)
	p.Prune = true
	return Propose(ctx, log, p)
}
