package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/peer"
)

// TestRepliesAreSummarizedByZone summarizes replies from two availability zones. Daemon 2
// has an older version in force than daemons 1 and 4, and daemon 3 sent no valid reply.
func TestRepliesAreSummarizedByZone(t *testing.T) {
	got := summarizeZones([]versionReply{
		{peer: peer.Peer{ID: "1", Zone: "b"}, version: 4, valid: true},
		{peer: peer.Peer{ID: "2", Zone: "a"}, version: 3, valid: true},
		{peer: peer.Peer{ID: "3", Zone: "b"}},
		{peer: peer.Peer{ID: "4", Zone: "a"}, version: 4, valid: true},
	})
	require.Equal(t, []operator.ZoneStatus{
		{Zone: "a", Asked: 2, Answered: 2, Oldest: 3, Newest: 4, Behind: []model.DaemonID{"2"}},
		{Zone: "b", Asked: 2, Answered: 1, Oldest: 4, Newest: 4, Silent: []model.DaemonID{"3"}},
	}, got)
}
