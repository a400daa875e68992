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

// ErrLogReadable means that there is no reason to start over, because the configuration can be
// read from the log.
var ErrLogReadable = errors.New("the configuration can be read from the log: publish as usual")

// StartOver appends a checkpoint with an empty configuration to a log that has lost the
// configuration: the log was trimmed, and no checkpoint covers the missing records. Use StartOver
// only if no daemon holds the configuration any more. A daemon that still holds it would not adopt
// the empty configuration.
//
// version is the version of the empty configuration. It must be at least as high as any version
// that was ever accepted. If version is zero, StartOver returns an *InvalidError. If the
// configuration can be read from the log, it returns ErrLogReadable.
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
	endOffset, err := endOfLog(ctx, log)
	if err != nil {
		return err
	}
	state := config.State{
		Version: version, Next: uint64(endOffset), ChangeID: "start-over",
		Documents: make(map[config.DocumentKey]json.RawMessage),
	}
	record, err := state.Checkpoint()
	if err != nil {
		return err
	}
	if _, err := log.Append(ctx, recordlog.StreamConfig, [][]byte{record}); err != nil {
		return fmt.Errorf("the append failed; run start-over again, which is safe even if the append took effect: %w", err)
	}
	_, err = NewView(ctx, log)
	return err
}

// endOfLog returns the offset after the newest record of the configuration stream.
func endOfLog(ctx context.Context, log recordlog.Log) (recordlog.Offset, error) {
	batch, err := log.Read(ctx, recordlog.StreamConfig, 0, 1)
	var trimmed *recordlog.TrimmedError
	if errors.As(err, &trimmed) {
		batch, err = log.Read(ctx, recordlog.StreamConfig, trimmed.Oldest, 1)
	}
	return batch.Next, err
}
