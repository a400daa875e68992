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

// Proposal is what an operator wants to have in force.
type Proposal struct {
	Author  string
	Comment string
	// Documents are put; those that are in force as given are left out.
	Documents []policy.Document
	// Prune deletes every document that is not among Documents.
	Prune bool
	// Base is the version that the proposal is based on. Zero means the one
	// found on the log.
	Base model.Version
}

// Result tells what became of a published change.
type Result struct {
	Verdict config.Decision
	// Version is the change's version when accepted, the current one else.
	Version model.Version
	// ChangeID is empty when there was nothing to change.
	ChangeID string
	// Changes are what the change does to its base.
	Changes []Difference
}

// Publish proposes the documents as a change on top of the current version and
// reads the log back to learn the verdict.
func Publish(ctx context.Context, log recordlog.Log, author string, docs []policy.Document) (Result, error) {
	return Propose(ctx, log, Proposal{Author: author, Documents: docs})
}

// Plan works out what a proposal would change, without publishing it. It
// returns an *InvalidError when the outcome would not compile.
func Plan(ctx context.Context, log recordlog.Log, p Proposal) (Result, error) {
	view, err := NewView(ctx, log)
	if err != nil {
		return Result{}, err
	}
	_, diffs, err := prepare(view, p)
	return Result{Version: view.State().Version, Changes: diffs}, err
}

// Propose publishes a proposal. The error is an *InvalidError, a
// *SupersededError or an *UnknownError when that is what became of it.
func Propose(ctx context.Context, log recordlog.Log, p Proposal) (Result, error) {
	view, err := NewView(ctx, log)
	if err != nil {
		return Result{}, err
	}
	change, diffs, err := prepare(view, p)
	if err != nil {
		return Result{Verdict: config.Invalid, Version: view.State().Version}, err
	}
	if len(diffs) == 0 {
		return Result{Verdict: config.Accepted, Version: view.State().Version}, nil
	}
	entry, err := appendAndReadBack(ctx, view, change)
	if err != nil {
		return Result{ChangeID: change.ID, Changes: diffs}, err
	}
	res := Result{Verdict: entry.Verdict, Version: entry.Version, ChangeID: change.ID, Changes: diffs}
	switch entry.Verdict {
	case config.Accepted:
		return res, nil
	case config.Superseded:
		return res, newSupersededError(view, change)
	default:
		return res, &InvalidError{Problem: entry.Problem}
	}
}

// prepare turns a proposal into a change.
func prepare(v *View, p Proposal) (config.Change, []Difference, error) {
	state := v.State()
	after, err := Merge(state.Documents, p.Documents, p.Prune)
	if err != nil {
		return config.Change{}, nil, &InvalidError{Problem: err}
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

// appendAndReadBack appends a change until it is found on the log. It may append it more
// than once; the first record decides.
func appendAndReadBack(ctx context.Context, v *View, c config.Change) (HistoryEntry, error) {
	record, _, err := config.EncodeChange(c)
	if err != nil {
		return HistoryEntry{}, &InvalidError{Problem: err}
	}
	rng := rand.New(rand.NewPCG(uint64(c.UnixMilli), uint64(len(record))))
	var waits pause.Backoff
	sent := false
	for {
		_, failure := v.log.Append(ctx, recordlog.StreamConfig, [][]byte{record})
		sent = sent || mayHaveBeenAppended(failure)
		if err := v.Advance(ctx); err != nil {
			failure = errors.Join(failure, err)
		} else if e, ok := v.findChange(c.ID); ok {
			return e, nil
		}
		select {
		case <-ctx.Done():
			if !sent {
				return HistoryEntry{}, failure
			}
			return HistoryEntry{}, &UnknownError{ChangeID: c.ID, Err: failure}
		case <-time.After(waits.Next(rng)):
		}
	}
}

// mayHaveBeenAppended reports whether an append with this error may have been made.
func mayHaveBeenAppended(err error) bool {
	var failed *recordlog.AppendError
	return !errors.As(err, &failed) || failed.Uncertain
}

func newSupersededError(v *View, c config.Change) error {
	out := &SupersededError{ChangeID: c.ID, Base: c.Base, Current: v.State().Version}
	if by, ok := v.changeOfVersion(c.Base + 1); ok {
		out.By, out.ByChange, out.ByComment = by.Change.Author, by.Change.ID, by.Change.Comment
	}
	mine := make(Documents)
	for k, d := range v.State().Documents {
		mine[k] = d
	}
	for _, k := range c.Delete {
		delete(mine, k)
	}
	for k, d := range c.Put {
		mine[k] = d
	}
	out.Changes = Diff(v.State().Documents, mine)
	return out
}

// Rollback proposes the documents of an earlier version as a new one.
func Rollback(ctx context.Context, log recordlog.Log, to model.Version, p Proposal) (Result, error) {
	old, err := StateAt(ctx, log, to)
	if err != nil {
		return Result{}, err
	}
	p.Documents = configuration.Documents(old)
	p.Prune = true
	return Propose(ctx, log, p)
}
