package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// Serve follows the log until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	// Daemons that start together do not read together.
	timer := time.NewTimer(time.Duration(s.rng.Int64N(int64(s.opts.Interval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		s.Poll(ctx)
		timer.Reset(s.nextDelay())
	}
}

// String names the service in the supervisor tree.
func (s *Store) String() string { return "configuration" }

// Poll reads the log to its end once, and appends a checkpoint when one is due.
func (s *Store) Poll(ctx context.Context) {
	err := s.readToEnd(ctx)
	if ctx.Err() != nil {
		return
	}
	s.recordReadResult(err)
	if err == nil && s.opts.IsLogReader() {
		s.checkpoint(ctx)
	}
}

// maxReaderBackoff bounds the wait of a reader while the log is down.
const maxReaderBackoff = 2 * time.Second

// nextDelay returns the time to the next read, spread by up to a quarter.
func (s *Store) nextDelay() time.Duration {
	s.mu.Lock()
	sure, failing := s.status.CaughtUp, s.status.LogError != ""
	s.mu.Unlock()
	reads := s.opts.IsLogReader()
	if failing {
		s.backoff.Min, s.backoff.Max = s.opts.Interval, s.opts.IdleInterval
		if reads {
			s.backoff.Max = maxReaderBackoff
		}
		return s.backoff.Next(s.rng)
	}
	s.backoff.Reset()
	d := s.opts.Interval
	if sure && !reads {
		d = s.opts.IdleInterval
	}
	return d - time.Duration(s.rng.Int64N(int64(d)/4+1))
}

func (s *Store) recordReadResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.metrics.readsFailed.Inc(1)
		if s.status.LogError == "" {
			s.opts.Logger.Warn("config stream cannot be read", "error", err)
		}
		s.status.LogError = err.Error()
		return
	}
	s.metrics.reads.Inc(1)
	if s.status.LogError != "" {
		s.opts.Logger.Info("config stream can be read again")
	}
	s.status.LogError = ""
	s.status.LogRead = time.Now()
	s.status.CaughtUp = true
}

// errLogTruncated tells that the log holds fewer records than were folded: it has
// lost some, or is another log.
var errLogTruncated = errors.New("the log ends before what has been folded")

// errMissingRecords tells that records were dropped that had not been folded, and that no
// checkpoint on the log covers them.
var errMissingRecords = errors.New("the log no longer holds what comes next, and no checkpoint that covers it")

// readToEnd folds all records up to the end of the log.
func (s *Store) readToEnd(ctx context.Context) error {
	for {
		from := s.nextOffset()
		batch, err := s.readBatch(ctx, from)
		var trimmed *recordlog.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			if err := s.recoverFromCheckpoint(ctx, trimmed.Oldest); err != nil {
				return err
			}
			continue
		case err != nil:
			return err
		case uint64(batch.Next) < from:
			return errLogTruncated
		}
		s.applyBatch(batch)
		if s.nextOffset() >= uint64(batch.Next) {
			return nil
		}
	}
}

func (s *Store) readBatch(ctx context.Context, from uint64) (recordlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.opts.Log.Read(ctx, recordlog.StreamConfig, recordlog.Offset(from), readLimit)
}

func (s *Store) nextOffset() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Next()
}

// recoverFromCheckpoint looks through a trimmed log for a checkpoint to fold on from. When
// there is none, peers may still know.
func (s *Store) recoverFromCheckpoint(ctx context.Context, oldest recordlog.Offset) error {
	for from := oldest; ; {
		batch, err := s.readBatch(ctx, uint64(from))
		if err != nil {
			return err
		}
		for _, r := range batch.Records {
			if s.adoptCheckpoint(r, oldest) {
				s.putInForce()
				return nil
			}
			from = r.Offset + 1
		}
		if from >= batch.Next {
			return errMissingRecords
		}
	}
}

func (s *Store) adoptCheckpoint(r recordlog.Record, oldest recordlog.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.NeedsCheckpoint(uint64(oldest)) {
		return true // a peer was faster
	}
	if !s.machine.RestoreCheckpoint(uint64(r.Offset), uint64(oldest), r.Data) {
		return false
	}
	s.metrics.checkpointsAdopted.Inc(1)
	return true
}

func (s *Store) applyBatch(batch recordlog.Batch) {
	before := s.nextOffset()
	s.mu.Lock()
	for _, r := range batch.Records {
		res := s.machine.ApplyRecord(uint64(r.Offset), r.Data)
		s.recordDecision(res)
		if config.IsCheckpoint(r.Data) {
			s.scheduleCheckpoint(uint64(r.Offset))
		}
	}
	changed := s.machine.Next() != before
	s.mu.Unlock()
	if changed {
		s.putInForce()
		s.opts.OnUpdate()
	}
}

func (s *Store) recordDecision(res config.Result) {
	s.metrics.decisions[res.Decision].Inc(1)
	if res.Decision == config.Invalid {
		s.opts.Logger.Warn("invalid change on the log", "change", res.Change.ID, "author", res.Change.Author, "error", res.Problem)
	}
}

// scheduleCheckpoint draws anew when a checkpoint is due. s.mu is held.
func (s *Store) scheduleCheckpoint(offset uint64) {
	every := s.opts.CheckpointInterval
	s.lastCheckpoint = offset
	s.checkpointDue = time.Now().Add(every/2 + time.Duration(s.rng.Int64N(int64(every/2)+1)))
}

// checkpoint appends the state when the log has had no checkpoint for long. The
// reader that drew the earliest time comes first; the others see its checkpoint
// and do not append theirs.
func (s *Store) checkpoint(ctx context.Context) {
	s.mu.Lock()
	state := s.machine.State()
	due := time.Now().After(s.checkpointDue)
	behind := state.Next - min(state.Next, s.lastCheckpoint)
	s.mu.Unlock()
	if state.Version == 0 || !due && behind < checkpointRecords {
		return
	}
	record, err := state.Checkpoint()
	if err != nil {
		s.opts.Logger.Error("checkpoint not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if _, err := s.opts.Log.Append(ctx, recordlog.StreamConfig, [][]byte{record}); err != nil {
		s.metrics.checkpointsFailed.Inc(1)
		return
	}
	s.metrics.checkpoints.Inc(1)
}
