package daemon

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/member"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// TestStoppingDaemonNotifiesPeersWhileTheLogIsDown runs two daemons that discovered
// each other through the log, makes the log unavailable and stops one daemon. Before that
// daemon has stopped, the remaining daemon must learn that the upstream of the stopping
// daemon is draining.
func TestStoppingDaemonNotifiesPeersWhileTheLogIsDown(t *testing.T) {
	log := recordlog.NewFaultyLog(&recordlog.Memory{})
	srv := httptest.NewServer(recordlog.Handler(log))
	defer srv.Close()
	s := testSettings()
	s.Log.Address = strings.TrimPrefix(srv.URL, "http://")
	remaining, _ := startDaemon(t, s)
	// The handover of idempotency keys needs the log. Since the log is down during the
	// shutdown, the shutdown takes the whole ShutdownTimeout.
	s.Process.ShutdownTimeout = policy.Duration(2 * time.Second)
	stopping, err := New(s, discardLogger())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- stopping.Serve(ctx) }()
	for _, d := range []*Daemon{remaining, stopping} {
		up := model.Upstream{ID: model.UpstreamID("u-" + d.ID()), Service: "returdesk", Incarnation: 1, Daemon: d.ID(), Zone: s.Zone, Slots: 1}
		d.Members.Announce(member.Event{Upstream: up, State: member.Joined}, 0)
	}
	require.Eventually(t, func() bool { return countActiveUpstreams(remaining) == 2 && countActiveUpstreams(stopping) == 2 }, waitLimit, pollInterval)

	log.SetFaults(recordlog.Faults{Down: true})
	stop()
	require.NoError(t, <-done)
	require.Equal(t, 1, countActiveUpstreams(remaining), "the peer must learn of the draining before the stopped daemon's listeners close")
}

// countActiveUpstreams returns how many upstreams in a daemon's membership view are
// not draining.
func countActiveUpstreams(d *Daemon) int {
	count := 0
	ups, _ := d.Members.Upstreams("returdesk")
	for _, u := range ups {
		if !u.Draining {
			count++
		}
	}
	return count
}
