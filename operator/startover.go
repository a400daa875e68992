package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// ErrLogReadable tells that the log can be folded, so that there is no reason to
// start over.
var ErrLogReadable = errors.New("the log can be folded: publish as usual")

// StartOver appends an empty configuration of a version to a log that was
// trimmed and holds no checkpoint that covers what is missing. It is for the
// case that no daemon holds the configuration any more either: a daemon that
// does would not follow. The version must be at least the highest that was ever
// accepted.
func StartOver(ctx context.Context, log recordlog.Log, version model.Version) error {
	if version == 0 {
		return &InvalidError{Problem: errors.New("the version must be at least the highest that was ever accepted")}
	}
	_, err := NewView(ctx, log)
	if err == nil {
		return ErrLogReadable
	}
	if !errors.Is(err, ErrNoCheckpoint) {
		return err
	}
	end, err := endOfLog(ctx, log)
	if err != nil {
		return err
	}
	state := config.State{
		Version: version, Next: uint64(end), ChangeID: "start-over",
		Documents: make(map[config.DocumentKey]json.RawMessage),
	}
	record, err := state.Checkpoint()
	if err != nil {
		return err
	}
	if _, err := log.Append(ctx, recordlog.StreamConfig, [][]byte{record}); err != nil {
		return fmt.Errorf("run start-over again, it does nothing when this took effect: %w", err)
	}
	_, err = NewView(ctx, log)
	return err
}

// endOfLog returns the offset after the newest record.
func endOfLog(ctx context.Context, log recordlog.Log) (recordlog.Offset, error) {
	batch, err := log.Read(ctx, recordlog.StreamConfig, 0, 1)
	var trimmed *recordlog.TrimmedError
	if errors.As(err, &trimmed) {
		batch, err = log.Read(ctx, recordlog.StreamConfig, trimmed.Oldest, 1)
	}
	return batch.Next, err
}
