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
	readLimit  = 1024
	logTimeout = 5 * time.Second
	// maxReaderBackoff bounds the wait of a reader while the log is down.
	maxReaderBackoff = 4 * time.Second
	// maxEventsPerRecord bounds the events of one record.
	maxEventsPerRecord = 500
	// writerDelay is how old an event is before its zone's writer appends it, so
	// that a batch gathers; fallbackDelay is after how long a daemon that sees its own
	// event missing from the log appends it itself.
	writerDelay   = time.Second
	fallbackDelay = 20 * time.Second
)

func (r *Registry) serveLog(ctx context.Context) error {
	// Daemons that start together do not read together.
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

func (r *Registry) startDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(r.opts.Interval)))
}

// syncLog reads the log to its end, then appends what it lacks.
func (r *Registry) syncLog(ctx context.Context) error {
	err := r.readToEnd(ctx)
	if err == nil {
		err = r.appendMissing(ctx)
	}
	if (err != nil) != r.logFailing && ctx.Err() == nil {
		r.logFailing = err != nil
		r.opts.Logger.Info("membership stream", "usable", err == nil, "error", err)
	}
	return err
}

func (r *Registry) nextDelay(err error) time.Duration {
	reads := r.opts.IsLogReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.metrics.logFailed.Inc(1)
		r.backoff.Max = r.opts.IdleInterval
		if reads {
			r.backoff.Max = maxReaderBackoff
		}
		return r.backoff.Next(r.rng)
	}
	r.backoff.Reset()
	d := r.opts.Interval
	if !reads {
		d = r.opts.IdleInterval
	}
	return d - time.Duration(r.rng.Int64N(int64(d)/4+1))
}

// readToEnd takes in the records up to the end of the log. What was trimmed has been
// appended again since, or is known to peers.
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
		news := 0
		for _, rec := range batch.Records {
			news += r.applyRecord(rec.Data)
			r.nextOffset = rec.Offset + 1
		}
		if news > 0 {
			r.opts.OnUpdate()
		}
		if r.nextOffset >= batch.Next {
			return nil
		}
	}
}

func (r *Registry) applyRecord(data []byte) int {
	records, err := member.Decode(data)
	if err != nil {
		r.metrics.unreadable.Inc(1)
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	records.Liveness = nil
	won := r.directory.ApplyAll(records)
	for _, e := range records.Events {
		r.directory.Logged(e)
	}
	return won
}

// appendMissing appends events that the log lacks: for the writer of a zone those of
// the zone, for others their own, should the writer fail to.
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

func (r *Registry) dueEvents() []member.Event {
	writer := r.isWriter()
	r.mu.Lock()
	defer r.mu.Unlock()
	if writer && time.Now().After(r.checkpointDue) {
		r.scheduleCheckpoint()
		return r.inLocalZone(r.directory.Events())
	}
	if writer {
		return r.inLocalZone(r.directory.Unlogged(writerDelay))
	}
	var own []member.Event
	for _, e := range r.directory.Unlogged(fallbackDelay) {
		if e.Upstream.Daemon == r.opts.Self {
			own = append(own, e)
		}
	}
	return own
}

// isWriter reports whether this daemon appends the events of its zone. While it
// knows no peers it does.
func (r *Registry) isWriter() bool {
	return peer.RendezvousRank(r.opts.Self, r.opts.Zone, r.Peers()) == 0
}

func (r *Registry) inLocalZone(events []member.Event) []member.Event {
	var out []member.Event
	for _, e := range events {
		if e.Upstream.Zone == r.opts.Zone {
			out = append(out, e)
		}
	}
	return out
}

// scheduleCheckpoint decides when the events are appended again.
func (r *Registry) scheduleCheckpoint() {
	every := r.opts.CheckpointInterval
	r.checkpointDue = time.Now().Add(every/2 + time.Duration(r.rng.Int64N(int64(every/2)+1)))
}

// appendEvents appends events. They may stand on the log twice, so an uncertain
// append is simply made again later.
func (r *Registry) appendEvents(ctx context.Context, events []member.Event) error {
	data := member.Records{Events: events}.Encode()
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	_, err := r.opts.Log.Append(ctx, recordlog.StreamMembership, [][]byte{data})
	if err == nil {
		r.metrics.appends.Inc(1)
		r.metrics.appended.Inc(int64(len(events)))
	}
	return err
}
