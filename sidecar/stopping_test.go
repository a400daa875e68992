package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// TestLastUpstreamServesWhileItsDaemonStops sends requests to the only upstream of a service
// while its daemon is stopping. A stopping daemon must be used if there is no other.
func TestLastUpstreamServesWhileItsDaemonStops(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, b := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	go b.stop()
	eventually(t, "the stop is known to the other daemon", func() bool { r, _ := a.peers.recordOf(b.opts.Addresses.Peers); return r.Stopping })
	status, body := a.get(t, "/safe/")
	require.Equal(t, http.StatusOK, status, body)
	status, body = a.post(t, "/unsafe/")
	require.Equal(t, http.StatusOK, status, body)
}

// TestStoppingGuardAdmitsCallsThatEndInTime checks that a stopping guard admits a call with a
// long deadline if its service time is short. The guard must reject calls that it might have to
// abort. A call that arrives after the callers have had time to leave must not be aborted, however
// long its upstream takes.
func TestStoppingGuardAdmitsCallsThatEndInTime(t *testing.T) {
	for name, c := range map[string]struct {
		stopAfter   time.Duration
		callersLeft time.Duration
		deadline    time.Duration
		serviceTime time.Duration
		want        outcome.Reason
	}{
		"not stopping":                       {0, 0, time.Hour, time.Hour, outcome.ReasonNone},
		"deadline before the stop":           {5 * time.Second, time.Second, 4 * time.Second, 3 * time.Second, outcome.ReasonNone},
		"long deadline, short service time":  {5 * time.Second, time.Second, time.Minute, 100 * time.Millisecond, outcome.ReasonNone},
		"may run longer than until the stop": {5 * time.Second, time.Second, time.Minute, 2 * time.Second, outcome.ReasonDraining},
		"late, deadline before the stop":     {2 * time.Second, 0, 2 * time.Second, 20 * time.Millisecond, outcome.ReasonNone},
		"late, deadline after the stop":      {2 * time.Second, 0, 2500 * time.Millisecond, 20 * time.Millisecond, outcome.ReasonDraining},
	} {
		t.Run(name, func(t *testing.T) {
			now := model.Instant(time.Hour)
			g := newIdleGuard(&now)
			g.handleReport(readyReport("b1", 1, 1, "b"), "report")
			if c.stopAfter > 0 {
				g.setStop(now.Add(c.callersLeft), now.Add(c.stopAfter))
			}
			call := newCall()
			call.Deadline, call.ServiceTime = c.deadline, c.serviceTime
			require.Equal(t, c.want, g.rejectReason(g.tracker.Current(), call))
		})
	}
}

// TestCallThatWaitedIsNotStartedTooLate guards against a call that a stopping daemon starts although it
// might have to abort it. The call was admitted as a short one, waited until callers had had time to
// leave, and has a long deadline.
func TestCallThatWaitedIsNotStartedTooLate(t *testing.T) {
	m := startReady(t, newStore(documentOf(1, "a")), "a", "a1")
	call := &Call{ID: "one", Method: http.MethodPost, Target: "/unsafe/", Host: "h", Header: http.Header{}, Service: "a", Caller: "a", ServiceTime: time.Millisecond}
	for deadline, want := range map[time.Duration]outcome.Kind{time.Minute: outcome.NotRun, 500 * time.Millisecond: outcome.Answered} {
		now := m.guard.now()
		m.guard.setStop(now, now.Add(2*time.Second))
		call.Deadline = deadline
		m.guard.mu.Lock()
		call.Upstream = m.guard.tracker.Current().Incarnation
		m.guard.mu.Unlock()
		result := m.guard.runCall(t.Context(), call, newAttempt(call.Key()), now)
		require.Equal(t, want, result.Outcome.Kind, deadline)
	}
	require.Len(t, m.upstream.requests(), 1)
}

// TestStoppingGuardRejectsWaitingCalls checks that the sender of a waiting call learns
// that the call has not run.
func TestStoppingGuardRejectsWaitingCalls(t *testing.T) {
	now := model.Instant(time.Hour)
	g := newIdleGuard(&now)
	r := readyReport("b1", 1, 1, "b")
	r.Slots = 1
	g.handleReport(r, "report")
	_, runningCallReason, rejection := g.enqueue(newCall())
	require.Nil(t, rejection)
	require.NotEmpty(t, runningCallReason)
	call := newCall()
	id, dequeueReason, rejection := g.enqueue(call)
	require.Nil(t, rejection)
	require.Empty(t, dequeueReason)
	g.stopAdmitting()
	got := g.waitForStart(t.Context(), call, newAttempt("k"), id, dequeueReason)
	require.Equal(t, outcome.NotRun, got.Outcome.Kind)
}

// TestHangingComponentDoesNotBlockExit guards against a daemon that does not exit because a
// component hangs. The source of the configuration ignores the end of its context.
func TestHangingComponentDoesNotBlockExit(t *testing.T) {
	s := newStore(documentOf(1, "a"))
	up := newUpstream(t, "a1")
	o := optionsFor(t, s, up, "a")
	o.GracePeriod = 0
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	o.Source = &hangingSource{source: &source{store: s}, release: release}
	d, err := New(o)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- d.Serve(ctx) }()
	eventually(t, "ready", d.ready.Load)
	cancel()
	// Without the daemon's own time limit, the supervisor would wait ten seconds for the source.
	const exitTimeout = 5 * time.Second
	select {
	case <-served:
	case <-time.After(exitTimeout):
		t.Fatal("the daemon is still running")
	}
}

// hangingSource does not return from Watch until it is released.
type hangingSource struct {
	*source
	release chan struct{}
}

func (s *hangingSource) Watch(ctx context.Context, f ConfigConsumer) error {
	_ = s.source.Watch(ctx, f)
	<-s.release
	return nil
}

// TestStoppingDaemonRefusesLongRequests sends a long request to a stopping daemon. Such a
// request may arrive on a connection that was opened before the stop. The daemon must refuse it
// with a Retry-After value, and still serve short requests.
func TestStoppingDaemonRefusesLongRequests(t *testing.T) {
	s := newStore(documentOf(1, "b"))
	a, _ := startReady(t, s, "a", "a1"), startReady(t, s, "b", "b1")
	a.waitForCandidates(t, "b", 1)
	a.entry.recordServiceTime("unsafe", time.Minute)
	go a.stop()
	eventually(t, "the daemon is stopping", a.stopping.Load)
	resp, _ := a.sendRequest(t, http.MethodPost, "/unsafe/", "pay")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	status, _ := a.get(t, "/safe/")
	require.Equal(t, http.StatusOK, status, "short requests are served")
}

// TestLateRequestsAreNotAborted guards against a stopping daemon that aborts a request whose caller
// had time to leave. The request arrives on a connection from before the stop, its route is usually
// fast, and its upstream does not respond. The daemon must refuse the request, which then has not run.
func TestLateRequestsAreNotAborted(t *testing.T) {
	m, _, _ := startWithRunningRequest(t)
	m.entry.recordServiceTime("safe", 20*time.Millisecond)
	late := dialCallers(t, m)
	go m.stop()
	eventually(t, "callers have had time to leave", func() bool {
		m.guard.mu.Lock()
		defer m.guard.mu.Unlock()
		return m.guard.stopDeadline != 0 && m.guard.now() > m.guard.stopDeadline.Add(-2*time.Second)
	})
	late.send(t, "late")
	resp, err := late.readResponse()
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Len(t, m.upstream.requests(), 1, "the late request has not run")
}
