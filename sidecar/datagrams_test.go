package sidecar

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
)

// TestLateAnswersServeTheNextChoice asks a guard that is further away than the wait, as
// in another region: the choice goes on without it, and its load is learned when it
// comes.
func TestLateAnswersServeTheNextChoice(t *testing.T) {
	d := join(t, newStore(documentOf(1, "a")), "a", "a1")
	far, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = far.Close() }()
	up := placement.Upstream{Key: "far", Daemon: model.DaemonID(far.LocalAddr().String())}
	late := make(chan placement.Load, 1)
	got := d.datagrams.ask([]placement.Upstream{up}, 2, 7, time.Millisecond, func(h heard) {
		require.Equal(t, "far", h.key)
		require.GreaterOrEqual(t, h.took, time.Millisecond, "at least the wait")
		late <- h.load
	})
	require.Empty(t, got)

	b := make([]byte, maxDatagram)
	n, from, err := far.ReadFromUDPAddrPort(b)
	require.NoError(t, err)
	require.Equal(t, askBytes, n)
	require.EqualValues(t, 2, b[headBytes], "rank")
	require.EqualValues(t, 7, binary.BigEndian.Uint16(b[headBytes+1:]), "kind")
	answer := append([]byte{kindLoad}, b[1:headBytes]...)
	want := placement.Load{Running: 3, Waiting: 1, Limit: 4, Slow: 1.5}
	for range 2 {
		_, err = far.WriteToUDPAddrPort(appendLoad(answer[:headBytes:headBytes], want), from)
		require.NoError(t, err)
	}
	require.Equal(t, want, <-late)
	require.Empty(t, late, "an answer is taken once")
}
