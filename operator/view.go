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

// HistoryEntry is one change on the log and how it was decided.
type HistoryEntry struct {
	// Offset is the offset of the change on the log.
	Offset uint64
	// Decision is what the state machine decided about the change.
	Decision config.Decision
	// Version is the current version after the decision.
	Version model.Version
	Change  config.Change
	// Problem states why the change is invalid. It is nil for all other changes.
	Problem error
}

// View is the configuration and its history as read from the log so far.
type View struct {
	log          recordlog.Log
	stateMachine *config.StateMachine
	entries      []HistoryEntry
	// keepVersion is the version whose state is kept in keptState. Zero means none.
	keepVersion model.Version
	// keptState is the state after the change that made keepVersion. It is nil until that
	// change is read.
	keptState *config.State
}

// maxRecordsPerRead is the maximum number of records requested from the log at once.
const maxRecordsPerRead = 1024

// NewView reads the configuration stream of the log to its end.
func NewView(ctx context.Context, log recordlog.Log) (*View, error) {
	return newView(ctx, log, 0)
}

func newView(ctx context.Context, log recordlog.Log, keepVersion model.Version) (*View, error) {
	v := &View{log: log, stateMachine: configuration.NewStateMachine(), keepVersion: keepVersion}
	return v, v.Advance(ctx)
}

// State returns the configuration after the last record that was read.
func (v *View) State() config.State { return v.stateMachine.State() }

// Entries returns the changes that were read, oldest first.
func (v *View) Entries() []HistoryEntry { return v.entries }

// ErrNoCheckpoint means that the log was trimmed and holds no checkpoint that covers the
// missing records.
var ErrNoCheckpoint = errors.New("the log was trimmed and holds no checkpoint that covers the missing records: the daemons may still hold the configuration")

// Advance reads the records that were appended since the last read. If the log no longer keeps
// some of them, it continues from a checkpoint on the log, or returns ErrNoCheckpoint.
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

// apply applies a record to the state machine. If the record holds a change, apply adds the change to
// the history. If the change made keepVersion, apply also sets keptState.
func (v *View) apply(r recordlog.Record) {
	res := v.stateMachine.ApplyRecord(uint64(r.Offset), r.Data)
	if res.Change != nil {
		v.entries = append(v.entries, HistoryEntry{
			Offset: uint64(r.Offset), Decision: res.Decision, Version: res.Version,
			Change: *res.Change, Problem: res.Problem,
		})
	}
	if res.Decision == config.Accepted && res.Version == v.keepVersion {
		s := v.stateMachine.State()
		v.keptState = &s
	}
}

// restoreCheckpoint restores the state machine from the first checkpoint at or after oldest
// that covers all records before oldest. It returns ErrNoCheckpoint if there is none.
func (v *View) restoreCheckpoint(ctx context.Context, oldest recordlog.Offset) error {
	for offset := oldest; ; {
		batch, err := v.log.Read(ctx, recordlog.StreamConfig, offset, maxRecordsPerRead)
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			if v.stateMachine.RestoreCheckpoint(uint64(r.Offset), uint64(oldest), r.Data) {
				return nil
			}
			offset = r.Offset + 1
		}
		if offset >= batch.Next {
			return ErrNoCheckpoint
		}
	}
}

// findChange returns the change with an id, and whether it was found. A change may have been
// appended more than once. It was decided at its first record; the later records are duplicates.
func (v *View) findChange(id string) (HistoryEntry, bool) {
	for _, e := range v.entries {
		if e.Change.ID == id && e.Decision != config.Duplicate {
			return e, true
		}
	}
	return HistoryEntry{}, false
}

// changeOfVersion returns the change that made a version, and whether it was found.
func (v *View) changeOfVersion(version model.Version) (HistoryEntry, bool) {
	for _, e := range v.entries {
		if e.Decision == config.Accepted && e.Version == version {
			return e, true
		}
	}
	return HistoryEntry{}, false
}

// StateAt returns the configuration of a version. It returns an error if the log does not hold the
// change that made that version.
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
