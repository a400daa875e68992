package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// Serve reads the log repeatedly until the context ends.
func (s *Store) Serve(ctx context.Context) error {
	// The random delay prevents daemons that start together from reading the log at
	// the same time.
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

// Poll reads the log once to its end. If the read succeeds and this daemon is a log
// reader, Poll then appends a checkpoint if one is due.
func (s *Store) Poll(ctx context.Context) {
	err := s.readToEnd(ctx)
	if ctx.Err() != nil {
		return
	}
	s.recordReadResult(err)
	if err == nil && s.opts.IsLogReader() {
		s.appendDueCheckpoint(ctx)
	}
}

// maxReaderBackoff bounds the time between two reads of a log reader while the
// log fails.
const maxReaderBackoff = 2 * time.Second

// nextDelay returns the time until the next read. After a failed read the delay grows
// by exponential backoff. Otherwise it is IdleInterval for a daemon that has caught
// up and is not a log reader, and Interval for any other daemon, in both cases
// shortened at random by up to a quarter.
func (s *Store) nextDelay() time.Duration {
	s.mu.Lock()
	caughtUp, failing := s.status.CaughtUp, s.status.LogError != ""
	s.mu.Unlock()
	isLogReader := s.opts.IsLogReader()
	if failing {
		s.backoff.Min, s.backoff.Max = s.opts.Interval, s.opts.IdleInterval
		if isLogReader {
			s.backoff.Max = maxReaderBackoff
		}
		return s.backoff.Next(s.rng)
	}
	s.backoff.Reset()
	delay := s.opts.Interval
	if caughtUp && !isLogReader {
		delay = s.opts.IdleInterval
	}
	return delay - time.Duration(s.rng.Int64N(int64(delay)/4+1))
}

// recordReadResult updates the status and the counters after a read that ended
// with err.
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

// errLogTruncated is returned when the log ends before the last record that this
// daemon has applied. Either the log has lost records, or it has been replaced by
// another log.
var errLogTruncated = errors.New("the log ends before the records that have been applied")

// errMissingRecords is returned when the log has dropped records that this daemon
// has not applied, and the log holds no checkpoint whose state includes them.
var errMissingRecords = errors.New("the log no longer keeps the next records, and has no checkpoint that covers them")

// readToEnd applies all records up to the end of the log. If the log has dropped the
// next record to apply, it first restores the state from a checkpoint on the log.
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

// recoverFromCheckpoint is called when the log has dropped the next record to
// apply. oldest is the oldest offset that the log still keeps. recoverFromCheckpoint
// searches the log from oldest on for a checkpoint whose state includes all dropped
// records, and restores the state from that checkpoint. If there is no such
// checkpoint, it returns errMissingRecords; the missing records can then come only
// from peers.
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

// adoptCheckpoint restores the state from a record if the record is a checkpoint
// whose state includes all records before oldest. It returns true if the search for a
// checkpoint is over: the state has been restored, or peers have sent the dropped
// records during the search.
func (s *Store) adoptCheckpoint(r recordlog.Record, oldest recordlog.Offset) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.NeedsCheckpoint(uint64(oldest)) {
		return true // peers have sent the dropped records during the search
	}
	if !s.machine.RestoreCheckpoint(uint64(r.Offset), uint64(oldest), r.Data) {
		return false
	}
	s.metrics.checkpointsAdopted.Inc(1)
	return true
}

// applyBatch applies records read from the log. If the state machine has advanced, it
// puts the new state in force and calls OnUpdate.
func (s *Store) applyBatch(batch recordlog.Batch) {
	nextBefore := s.nextOffset()
	s.mu.Lock()
	for _, r := range batch.Records {
		result := s.machine.ApplyRecord(uint64(r.Offset), r.Data)
		s.recordDecision(result)
		if config.IsCheckpoint(r.Data) {
			s.scheduleCheckpoint(uint64(r.Offset))
		}
	}
	changed := s.machine.Next() != nextBefore
	s.mu.Unlock()
	if changed {
		s.putInForce()
		s.opts.OnUpdate()
	}
}

// recordDecision counts the decision on a record and logs an invalid change.
func (s *Store) recordDecision(result config.Result) {
	s.metrics.decisions[result.Decision].Inc(1)
	if result.Decision == config.Invalid {
		s.opts.Logger.Warn("invalid change on the log", "change", result.Change.ID, "author", result.Change.Author, "error", result.Problem)
	}
}

// scheduleCheckpoint sets lastCheckpointOffset to the offset of a checkpoint on the log. It
// sets checkpointDueAt to a random time between half a CheckpointInterval and a full
// CheckpointInterval from now. s.mu is held.
func (s *Store) scheduleCheckpoint(offset uint64) {
	interval := s.opts.CheckpointInterval
	s.lastCheckpointOffset = offset
	s.checkpointDueAt = time.Now().Add(interval/2 + time.Duration(s.rng.Int64N(int64(interval/2)+1)))
}

// appendDueCheckpoint appends the state as a checkpoint if checkpointDueAt has passed or
// checkpointRecords records have been appended after the newest checkpoint. Usually only
// the log reader with the earliest checkpointDueAt appends one: the other log readers read
// its checkpoint and reschedule their own. Nothing is appended while there is no
// accepted change.
func (s *Store) appendDueCheckpoint(ctx context.Context) {
	s.mu.Lock()
	state := s.machine.State()
	due := time.Now().After(s.checkpointDueAt)
	recordsSinceCheckpoint := state.Next - min(state.Next, s.lastCheckpointOffset)
	s.mu.Unlock()
	if state.Version == 0 || !due && recordsSinceCheckpoint < checkpointRecords {
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
	s.metrics.checkpointsAppended.Inc(1)
}
