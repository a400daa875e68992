package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
	"github.com/dottereltiller/dottereltiller/peer"
)

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
