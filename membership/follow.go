package membership

import (
	"context"
	"errors"
	"time"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/peer"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

const (
	// readLimit is the maximum number of records in one read.
	readLimit = 1024
	// logTimeout bounds a read to the end of the log, and each append.
	logTimeout = 5 * time.Second
	// maxReaderBackoff bounds the time between two reads of a log reader while
	// the log fails.
	maxReaderBackoff = 4 * time.Second
	// maxEventsPerRecord bounds the events in one record of the log.
	maxEventsPerRecord = 500
	// writerDelay is the age at which the writer, the daemon that appends the events
	// of its zone, appends an event. The delay lets several events share a batch.
	writerDelay = time.Second
	// fallbackDelay is the age at which a daemon that is not the writer appends
	// an event of its own upstreams, if the event is still missing from the log.
	fallbackDelay = 20 * time.Second
)

// serveLog calls syncLog repeatedly until the context ends. Then it returns the error of
// the context.
func (r *Registry) serveLog(ctx context.Context) error {
	// The random delay prevents daemons that start together from reading the log at
	// the same time.
	timer := time.NewTimer(r.startDelay())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		err := r.syncLog(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		timer.Reset(r.nextDelay(err))
	}
}

// startDelay returns a random delay below Interval.
func (r *Registry) startDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(r.opts.Interval)))
}

// syncLog reads the log to its end. If the read succeeds, syncLog then appends the events
// that are missing from the log. It logs when the log starts to fail or works again.
func (r *Registry) syncLog(ctx context.Context) error {
	err := r.readToEnd(ctx)
	if err == nil {
		err = r.appendMissing(ctx)
	}
	if (err != nil) != r.logFailing && ctx.Err() == nil {
		r.logFailing = err != nil
		r.opts.Logger.Info("state of the membership stream changed", "usable", err == nil, "error", err)
	}
	return err
}

// nextDelay returns the time until the next call of syncLog. err is the result of the
// previous call. If err is not nil, nextDelay counts it, and the delay grows by
// exponential backoff. If err is nil, the delay is Interval for a log reader and
// IdleInterval for any other daemon. Either interval is shortened at random by up to a
// quarter.
func (r *Registry) nextDelay(err error) time.Duration {
	isLogReader := r.opts.IsLogReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.metrics.logFailures.Inc(1)
		r.backoff.Max = r.opts.IdleInterval
		if isLogReader {
			r.backoff.Max = maxReaderBackoff
		}
		return r.backoff.Next(r.rng)
	}
	r.backoff.Reset()
	delay := r.opts.Interval
	if !isLogReader {
		delay = r.opts.IdleInterval
	}
	return delay - time.Duration(r.rng.Int64N(int64(delay)/4+1))
}

// readToEnd applies the records up to the end of the log. It skips records that
// the log has dropped: the events in these records were appended again later, or are
// relayed by peers.
func (r *Registry) readToEnd(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	for {
		batch, err := r.opts.Log.Read(ctx, recordlog.StreamMembership, r.nextOffset, readLimit)
		var trimmed *recordlog.TrimmedError
		if errors.As(err, &trimmed) {
			r.nextOffset = trimmed.Oldest
			continue
		}
		if err != nil {
			return err
		}
		changeCount := 0
		for _, rec := range batch.Records {
			changeCount += r.applyRecord(rec.Data)
			r.nextOffset = rec.Offset + 1
		}
		if changeCount > 0 {
			r.opts.OnUpdate()
		}
		if r.nextOffset >= batch.Next {
			return nil
		}
	}
}

// applyRecord applies the events in one record of the log. It returns the number of
// events that took effect because they were new or newer than the stored ones. A record
// that cannot be decoded is counted and ignored, and so is the liveness in a record.
func (r *Registry) applyRecord(record []byte) int {
	records, err := member.Decode(record)
	if err != nil {
		r.metrics.unreadableRecords.Inc(1)
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	records.Liveness = nil
	appliedCount := r.directory.ApplyAll(records)
	for _, e := range records.Events {
		r.directory.MarkLogged(e)
	}
	return appliedCount
}

// appendMissing appends the events that dueEvents returns, in records of at most
// maxEventsPerRecord events. It stops at the first error.
func (r *Registry) appendMissing(ctx context.Context) error {
	events := r.dueEvents()
	for len(events) > 0 {
		n := min(len(events), maxEventsPerRecord)
		if err := r.appendEvents(ctx, events[:n]); err != nil {
			return err
		}
		events = events[n:]
	}
	return nil
}

// dueEvents returns the events that this daemon has to append to the log now. The writer
// of a zone appends the events of its zone that have been missing for writerDelay. If
// checkpointDueAt has passed, the writer instead appends the latest events of all
// upstreams of its zone, and dueEvents schedules the next checkpoint. Any other daemon
// appends the events of its own upstreams that have been missing for fallbackDelay, in
// case the writer does not.
func (r *Registry) dueEvents() []member.Event {
	isWriter := r.isWriter()
	r.mu.Lock()
	defer r.mu.Unlock()
	if isWriter && time.Now().After(r.checkpointDueAt) {
		r.scheduleCheckpoint()
		return r.inLocalZone(r.directory.Events())
	}
	if isWriter {
		return r.inLocalZone(r.directory.Unlogged(writerDelay))
	}
	var localEvents []member.Event
	for _, e := range r.directory.Unlogged(fallbackDelay) {
		if e.Upstream.Daemon == r.opts.Self {
			localEvents = append(localEvents, e)
		}
	}
	return localEvents
}

// isWriter reports whether this daemon is the writer of its zone: the one with rank 0
// among the daemons of the zone. A daemon that knows no peers considers itself the
// writer.
func (r *Registry) isWriter() bool {
	return peer.RendezvousRank(r.opts.Self, r.opts.Zone, r.Peers()) == 0
}

// inLocalZone returns the events whose upstream is in the zone of this daemon.
func (r *Registry) inLocalZone(events []member.Event) []member.Event {
	var out []member.Event
	for _, e := range events {
		if e.Upstream.Zone == r.opts.Zone {
			out = append(out, e)
		}
	}
	return out
}

// scheduleCheckpoint sets checkpointDueAt to a random time between half a
// CheckpointInterval and a full CheckpointInterval from now.
func (r *Registry) scheduleCheckpoint() {
	interval := r.opts.CheckpointInterval
	r.checkpointDueAt = time.Now().Add(interval/2 + time.Duration(r.rng.Int64N(int64(interval/2)+1)))
}

// appendEvents appends events to the log as one record. A second copy of an event on the
// log has no effect. So the caller may repeat an append that possibly took effect.
func (r *Registry) appendEvents(ctx context.Context, events []member.Event) error {
	record := member.Records{Events: events}.Encode()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err := r.opts.Log.Append(ctx, recordlog.StreamMembership, [][]byte{record})
	if err == nil {
		r.metrics.appends.Inc(1)
		r.metrics.appendedEvents.Inc(int64(len(events)))
	}
	return err
}
