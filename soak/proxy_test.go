package soak

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProxyRelaysDatagramsAfterTargetRestart guards against a proxy whose socket for a sender of
// datagrams stays unusable after the target has not been listening for a while.
func TestProxyRelaysDatagramsAfterTargetRestart(t *testing.T) {
	const address, target = "127.99.0.1:7760", "127.99.0.1:7660"
	p, err := newProxy(address, target)
	require.NoError(t, err)
	t.Cleanup(p.close)
	startEcho := func() *net.UDPConn {
		targetAddress, err := net.ResolveUDPAddr("udp4", target)
		require.NoError(t, err)
		conn, err := net.ListenUDP("udp4", targetAddress)
		require.NoError(t, err)
		go func() {
			buf := make([]byte, datagramBufferBytes)
			for {
				n, peer, err := conn.ReadFromUDP(buf)
				if err != nil {
					return
				}
				_, _ = conn.WriteToUDP(buf[:n], peer)
			}
		}()
		return conn
	}
	sender, err := net.Dial("udp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	answered := func() bool {
		_, err := sender.Write([]byte("hello"))
		require.NoError(t, err)
		require.NoError(t, sender.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		n, err := sender.Read(make([]byte, datagramBufferBytes))
		return err == nil && n == len("hello")
	}
	firstEcho := startEcho()
	require.Eventually(t, answered, 10*time.Second, time.Millisecond)
	require.NoError(t, firstEcho.Close())
	for range 3 {
		require.False(t, answered())
	}
	secondEcho := startEcho()
	t.Cleanup(func() { _ = secondEcho.Close() })
	require.Eventually(t, answered, 10*time.Second, time.Millisecond)
}

// TestParallelSoaksUseDifferentAddresses guards against address conflicts between two soaks
// with the same seed that run at the same time.
func TestParallelSoaksUseDifferentAddresses(t *testing.T) {
	first, second := &harness{plan: Plan{Seed: 99}}, &harness{plan: Plan{Seed: 99}}
	for _, h := range []*harness{first, second} {
		ln, err := h.listen()
		require.NoError(t, err)
		t.Cleanup(func() { _ = ln.Close() })
	}
	require.NotEqual(t, first.ip(1), second.ip(1))
}
