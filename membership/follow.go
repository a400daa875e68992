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
	// maxReaderPause bounds the wait of a reader while the log is down.
	maxReaderPause = 4 * time.Second
	// batchEvents bounds the events of one record.
	batchEvents = 500
	// zoneAge is how old an event is before its zone's writer appends it, so
	// that a batch gathers; ownAge is after how long a daemon that sees its own
	// event missing from the log appends it itself.
	zoneAge = time.Second
	ownAge  = 20 * time.Second
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
		err := r.turn(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		timer.Reset(r.wait(err))
	}
}

func (r *Registry) startDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Int64N(int64(r.opts.Interval)))
}

// turn reads the log to its end, then appends what it lacks.
func (r *Registry) turn(ctx context.Context) error {
	err := r.read(ctx)
	if err == nil {
		err = r.write(ctx)
	}
	if (err != nil) != r.problem && ctx.Err() == nil {
		r.problem = err != nil
		r.opts.Logger.Info("membership stream", "usable", err == nil, "error", err)
	}
	return err
}

func (r *Registry) wait(err error) time.Duration {
	reads := r.opts.IsLogReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.metrics.logFailed.Inc(1)
		r.pause.Max = r.opts.IdleInterval
		if reads {
			r.pause.Max = maxReaderPause
		}
		return r.pause.Next(r.rng)
	}
	r.pause.Reset()
	d := r.opts.Interval
	if !reads {
		d = r.opts.IdleInterval
	}
	return d - time.Duration(r.rng.Int64N(int64(d)/4+1))
}

// read takes in the records up to the end of the log. What was trimmed has been
// appended again since, or is known to peers.
func (r *Registry) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	for {
		batch, err := r.opts.Log.Read(ctx, recordlog.StreamMembership, r.next, readLimit)
		var trimmed *recordlog.TrimmedError
		if errors.As(err, &trimmed) {
			r.next = trimmed.Oldest
			continue
		}
		if err != nil {
			return err
		}
		news := 0
		for _, rec := range batch.Records {
			news += r.take(rec.Data)
			r.next = rec.Offset + 1
		}
		if news > 0 {
			r.opts.OnUpdate()
		}
		if r.next >= batch.Next {
			return nil
		}
	}
}

func (r *Registry) take(data []byte) int {
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

// write appends events that the log lacks: for the writer of a zone those of
// the zone, for others their own, should the writer fail to.
func (r *Registry) write(ctx context.Context) error {
	events := r.due()
	for len(events) > 0 {
		n := min(len(events), batchEvents)
		if err := r.append(ctx, events[:n]); err != nil {
			return err
		}
		events = events[n:]
	}
	return nil
}

func (r *Registry) due() []member.Event {
	writer := r.writer()
	r.mu.Lock()
	defer r.mu.Unlock()
	if writer && time.Now().After(r.checkpointDue) {
		r.drawCheckpoint()
		return r.ofZone(r.directory.Events())
	}
	if writer {
		return r.ofZone(r.directory.Unlogged(zoneAge))
	}
	var own []member.Event
	for _, e := range r.directory.Unlogged(ownAge) {
		if e.Upstream.Daemon == r.opts.Self {
			own = append(own, e)
		}
	}
	return own
}

// writer reports whether this daemon appends the events of its zone. While it
// knows no peers it does.
func (r *Registry) writer() bool {
	return peer.RendezvousRank(r.opts.Self, r.opts.Zone, r.Peers()) == 0
}

func (r *Registry) ofZone(events []member.Event) []member.Event {
	var out []member.Event
	for _, e := range events {
		if e.Upstream.Zone == r.opts.Zone {
			out = append(out, e)
		}
	}
	return out
}

// drawCheckpoint decides when the events are appended again.
func (r *Registry) drawCheckpoint() {
	every := r.opts.CheckpointInterval
	r.checkpointDue = time.Now().Add(every/2 + time.Duration(r.rng.Int64N(int64(every/2)+1)))
}

// append appends events. They may stand on the log twice, so an uncertain
// append is simply made again later.
func (r *Registry) append(ctx context.Context, events []member.Event) error {
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
