package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/dottereltiller/dottereltiller/configuration"
	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// HistoryEntry is one change on the log.
type HistoryEntry struct {
	Offset uint64
	// Verdict is what the fold decided; Version is the version after it.
	Verdict config.Decision
	Version model.Version
	Change  config.Change
	// Problem says why the change is invalid.
	Problem error
}

// View is the config stream as read so far.
type View struct {
	log          recordlog.Log
	stateMachine *config.StateMachine
	entries      []HistoryEntry
	// keepVersion is a version whose state is kept while reading.
	keepVersion model.Version
	keptState   *config.State
}

const maxRecordsPerRead = 1024

// NewView reads the config stream to its end.
func NewView(ctx context.Context, log recordlog.Log) (*View, error) {
	return newView(ctx, log, 0)
}

func newView(ctx context.Context, log recordlog.Log, want model.Version) (*View, error) {
	v := &View{log: log, stateMachine: configuration.NewStateMachine(), keepVersion: want}
	return v, v.Advance(ctx)
}

// State returns the state at the end of what was read.
func (v *View) State() config.State { return v.stateMachine.State() }

// Entries returns the changes that were read, oldest first.
func (v *View) Entries() []HistoryEntry { return v.entries }

// ErrNoCheckpoint tells that the log was trimmed and holds no checkpoint that
// covers what is missing.
var ErrNoCheckpoint = errors.New("the log no longer holds its first records, nor a checkpoint that covers them: ask a daemon")

// Advance reads what the log has had since.
func (v *View) Advance(ctx context.Context) error {
	for {
		batch, err := v.log.Read(ctx, recordlog.StreamConfig, recordlog.Offset(v.stateMachine.Next()), maxRecordsPerRead)
		var trimmed *recordlog.TrimmedError
		if errors.As(err, &trimmed) {
			if err := v.restoreCheckpoint(ctx, trimmed.Oldest); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			v.apply(r)
		}
		if v.stateMachine.Next() >= uint64(batch.Next) {
			return nil
		}
	}
}

func (v *View) apply(r recordlog.Record) {
	res := v.stateMachine.ApplyRecord(uint64(r.Offset), r.Data)
	if res.Change != nil {
		v.entries = append(v.entries, HistoryEntry{
			Offset: uint64(r.Offset), Verdict: res.Decision, Version: res.Version,
			Change: *res.Change, Problem: res.Problem,
		})
	}
	if res.Decision == config.Accepted && res.Version == v.keepVersion {
		s := v.stateMachine.State()
		v.keptState = &s
	}
}

func (v *View) restoreCheckpoint(ctx context.Context, oldest recordlog.Offset) error {
	for from := oldest; ; {
		batch, err := v.log.Read(ctx, recordlog.StreamConfig, from, maxRecordsPerRead)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			if v.stateMachine.RestoreCheckpoint(uint64(r.Offset), uint64(oldest), r.Data) {
				return nil
			}
			from = r.Offset + 1
		}
		if from >= batch.Next {
			return ErrNoCheckpoint
		}
	}
}

// findChange returns the first record of a change, which decided about it.
func (v *View) findChange(id string) (HistoryEntry, bool) {
	for _, e := range v.entries {
		if e.Change.ID == id && e.Verdict != config.Duplicate {
			return e, true
		}
	}
	return HistoryEntry{}, false
}

// changeOfVersion returns the change that made a version.
func (v *View) changeOfVersion(version model.Version) (HistoryEntry, bool) {
	for _, e := range v.entries {
		if e.Verdict == config.Accepted && e.Version == version {
			return e, true
		}
	}
	return HistoryEntry{}, false
}

// StateAt returns the configuration of an earlier version, as long as the log
// still holds it.
func StateAt(ctx context.Context, log recordlog.Log, version model.Version) (config.State, error) {
	v, err := newView(ctx, log, version)
	if err != nil {
		return config.State{}, err
	}
	if v.keptState == nil {
		return config.State{}, fmt.Errorf("version %d is not on the log: it holds versions up to %d", version, v.stateMachine.Version())
	}
	return *v.keptState, nil
}
