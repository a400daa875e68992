package sidecar

import (
	"context"
	"log/slog"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/decision"
)

const (
	// minDrainTime is how long a stopping daemon continues to accept requests, even if none is in
	// flight. Callers poll its readiness once a second and leave after two failed polls.
	minDrainTime = 2200 * time.Millisecond
	// graceMargin bounds the part of the grace period that is reserved for shutting down after
	// draining, see shutdownMargin.
	graceMargin = 400 * time.Millisecond
	// graceMarginDivisor sets that part of a short grace period: callers may rely on requests not
	// being aborted before the last sixth.
	graceMarginDivisor = 6
	// drainPollInterval is how often a stopping daemon checks whether all requests in flight have
	// ended.
	drainPollInterval = 25 * time.Millisecond
	// queueFlushMargin is how long before the end of draining a stopping daemon rejects the
	// requests that wait for the local upstream. Their senders then learn in time that the
	// requests have not run.
	queueFlushMargin = 300 * time.Millisecond
	// componentStopTimeout bounds the wait for the components to stop. It is shorter than
	// half of graceMargin, so that a component that hangs does not keep the process alive.
	componentStopTimeout = 150 * time.Millisecond
	// logFlushTimeout bounds the wait for log lines to be written at the end.
	logFlushTimeout = 100 * time.Millisecond
	// refusalPeriod is the shortest time between the end of forwarding and the closing of the
	// connections. It is cut short at the end of the grace period. Requests that arrive in this
	// time are refused. Their senders then learn that the requests have not run.
	refusalPeriod = 50 * time.Millisecond
	// closedConnLogWait bounds the wait, after all connections have been closed, for the log
	// lines of requests that got no response.
	closedConnLogWait = 20 * time.Millisecond
	// responsePollInterval is how often the daemon checks whether connections still wait for
	// a response.
	responsePollInterval = time.Millisecond
)

// shutdownMargin returns the part of a grace period that is reserved for shutting down after draining.
func shutdownMargin(grace time.Duration) time.Duration {
	return min(graceMargin, grace/graceMarginDivisor)
}

// drain announces that the daemon is stopping and waits for the requests in flight, until
// shutdownMargin before the end of the grace period at the latest. It then aborts those that remain,
// and waits for responses to be written during the first half of the margin. If the local upstream is
// gone, it also removes the daemon's entry from the directory. It returns the end of the grace period.
func (d *Daemon) drain() (deadline time.Time) {
	drainStart := time.Now()
	grace := d.tunables.Load().GracePeriod
	deadline = drainStart.Add(grace)
	drainEnd := deadline.Add(-shutdownMargin(grace))
	now := d.now()
	d.guard.setStop(now.Add(minDrainTime), now.Add(drainEnd.Sub(drainStart)))
	d.stoppingSince.Store(int64(now))
	d.stopping.Store(true)
	d.opts.Decisions.Write(decision.Stopping, "", slog.Int("in_flight", d.inFlight.count()))
	currentReport, _ := d.guard.reportAndDeparted()
	if currentReport.State == lifecycle.Gone {
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		go func() {
			defer cancel()
			_ = d.opts.Directory.Remove(ctx, d.opts.Addresses.Peers)
		}()
	}
	d.quotas.Stop()
	d.peers.updateLocal(func(r *Record) { r.Stopping = true })
	d.awaitIdle(drainStart, drainEnd)
	d.opts.Decisions.Write(decision.Stopped, "", slog.Int("in_flight", d.inFlight.count()), slog.Int64("took_ms", time.Since(drainStart).Milliseconds()))
	close(d.aborting)
	for _, s := range []*server{d.callerServer, d.peerServer} {
		s.stopAccepting()
	}
	time.Sleep(min(refusalPeriod, time.Until(deadline)))
	d.awaitResponses(deadline.Add(-shutdownMargin(grace) / 2))
	return deadline
}

// awaitIdle waits until minDrainTime has passed since drainStart and no request is in flight, but
// until drainEnd at the latest. Connections are accepted all the while: the local upstream may need
// them for the nested requests of its runs. From queueFlushMargin before drainEnd on, it rejects the
// requests that wait for the local upstream. When it returns, the daemon has stopped forwarding
// requests.
func (d *Daemon) awaitIdle(drainStart, drainEnd time.Time) {
	for time.Now().Before(drainEnd) {
		if time.Until(drainEnd) < queueFlushMargin {
			d.guard.stopAdmitting()
		}
		if time.Since(drainStart) > minDrainTime && d.stopForwardingIfIdle() {
			return
		}
		time.Sleep(drainPollInterval)
	}
	// The connection of a request that is forwarded later would be closed without a response.
	d.inFlight.close()
	d.guard.stopAdmitting()
}

// stoppingFor returns how long the daemon has been stopping, zero if it is not.
func (d *Daemon) stoppingFor() time.Duration {
	if !d.stopping.Load() {
		return 0
	}
	return d.now().Sub(model.Instant(d.stoppingSince.Load()))
}

// callersLeftAt returns when the callers of a stopping daemon have had time to leave.
func (d *Daemon) callersLeftAt() time.Time {
	return d.startedAt.Add(time.Duration(d.stoppingSince.Load()) + minDrainTime)
}

func (d *Daemon) isAborting() bool {
	select {
	case <-d.aborting:
		return true
	default:
		return false
	}
}

// stopForwardingIfIdle stops forwarding requests if none is in flight, and reports whether it
// did. A request counts as in flight until net/http has written its response.
func (d *Daemon) stopForwardingIfIdle() bool {
	return d.inFlight.closeIfIdle(func() bool {
		return d.callerServer.numActiveConns() == 0 && d.peerServer.numActiveConns() == 0 && d.guard.stopIfIdle()
	})
}

// awaitResponses waits until no connection waits for a response or holds a request that has not been
// read, or until the deadline.
func (d *Daemon) awaitResponses(deadline time.Time) {
	for d.callerServer.numPendingConns()+d.peerServer.numPendingConns() > 0 && time.Now().Before(deadline) {
		time.Sleep(responsePollInterval)
	}
}
