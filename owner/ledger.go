package owner

import (
	"context"
	"errors"
	"time"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

const (
	// readLimit is the maximum number of records in one read.
	readLimit = 1024
	// minReadInterval is the minimum time from the end of a read to the start of a
	// read that a submission causes. Without this minimum, submissions with
	// arbitrary keys could flood the log with reads.
	minReadInterval = 50 * time.Millisecond
	// readTimeout bounds a read of the grants up to the end of the log.
	readTimeout = 2 * time.Second
)

// refresh brings the ledger up to date with the log. It reads the grants, unless
// another read that began after the start of this call has completed. So concurrent
// calls share reads. refresh returns without a read if the context ends first.
func (s *Service) refresh(ctx context.Context) {
	readsBefore := s.readCount.Load()
	if !s.lockReads(ctx) {
		return
	}
	defer s.unlockReads()
	// The first read that completes during this call may have begun before this
	// call. Reads do not overlap, so the second one certainly began after the start
	// of this call.
	const requiredReads = 2
	if s.readCount.Load() >= readsBefore+requiredReads {
		return
	}
	if wait := minReadInterval - time.Since(s.lastRead); wait > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
	s.readToEnd(ctx)
}

// readGrants reads the grants stream to the end of the log. It does nothing if the
// context ends before s.readLock is acquired.
func (s *Service) readGrants(ctx context.Context) {
	if !s.lockReads(ctx) {
		return
	}
	defer s.unlockReads()
	s.readToEnd(ctx)
}

// lockReads acquires s.readLock. It returns false if the context ends first.
func (s *Service) lockReads(ctx context.Context) bool {
	select {
	case s.readLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) unlockReads() { <-s.readLock }

// readToEnd applies the records of the grants stream to the ledger up to the end of the
// log. It stops at the first error, which it counts. s.readLock is held.
func (s *Service) readToEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		more, err := s.readBatch(ctx)
		if err != nil {
			s.metrics.failedReads.Inc(1)
			break
		}
		if !more {
			s.caughtUp.Store(true)
			break
		}
	}
	s.lastRead = time.Now()
	s.readCount.Add(1)
}

// readBatch applies one batch of records and reports whether there may be more to
// read. If the ledger has no position in the log, readBatch only calls seekCheckpoint. If
// the log has dropped the next record, it starts the search for a checkpoint again. If
// the ledger is still incomplete at the end of the log, and the search did not start at
// the oldest record, readBatch enlarges the search window and starts the search again.
// s.readLock is held.
func (s *Service) readBatch(ctx context.Context) (bool, error) {
	if !s.hasPosition {
		return true, s.seekCheckpoint(ctx)
	}
	s.mu.Lock()
	from := recordlog.Offset(s.ledger.Next())
	s.mu.Unlock()
	batch, err := s.opts.Log.Read(ctx, recordlog.StreamGrants, from, readLimit)
	var trimmed *recordlog.TrimmedError
	if errors.As(err, &trimmed) {
		s.metrics.trimmedReads.Inc(1)
		s.opts.Logger.Warn("log no longer keeps the next grants, searching for a checkpoint", "next", from, "oldest", trimmed.Oldest)
		s.hasPosition = false
		return true, nil
	}
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, rec := range batch.Records {
		s.applyRecord(rec)
	}
	if len(batch.Records) == 0 && !s.ledger.IsComplete() && !s.fromOldest {
		s.searchWindow *= windowGrowth
		s.hasPosition = false
		return true, nil
	}
	return len(batch.Records) > 0, nil
}

const (
	// initialSearchWindow is the number of newest records in which a new daemon
	// first searches for a checkpoint.
	initialSearchWindow = 1 << 14
	// windowGrowth is the factor by which the search window grows if it holds
	// no checkpoint.
	windowGrowth = 4
)

// seekCheckpoint resets the ledger to the offset searchWindow records before the
// end of the log, so that a new daemon need not read all records that the log keeps.
// If the log keeps fewer than searchWindow records, the offset is that of the oldest
// record. s.readLock is held.
func (s *Service) seekCheckpoint(ctx context.Context) error {
	oldest := recordlog.Offset(0)
	batch, err := s.opts.Log.Read(ctx, recordlog.StreamGrants, oldest, 1)
	var trimmed *recordlog.TrimmedError
	if errors.As(err, &trimmed) {
		oldest = trimmed.Oldest
		batch, err = s.opts.Log.Read(ctx, recordlog.StreamGrants, oldest, 1)
	}
	if err != nil {
		return err
	}
	from := oldest
	if batch.Next > oldest+s.searchWindow {
		from = batch.Next - s.searchWindow
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Reset(uint64(from))
	s.hasPosition, s.fromOldest = true, from == oldest
	return nil
}

// applyRecord applies one record to the ledger. It skips a record that cannot be
// decoded. s.mu is held.
func (s *Service) applyRecord(rec recordlog.Record) {
	decoded, err := claims.DecodeRecord(rec.Data)
	if err != nil {
		s.metrics.unreadableRecords.Inc(1)
		s.ledger.Skip(uint64(rec.Offset))
		return
	}
	if decoded.Checkpoint != nil {
		s.lastCheckpointRead = time.Now()
	}
	s.ledger.Apply(uint64(rec.Offset), decoded)
}
