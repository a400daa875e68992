// Package loopback provides tests and soak runs with loopback addresses that no
// other process uses.
//
// Test processes run in parallel and listen on fixed ports, so that a daemon
// can be restarted at the same address. Each process therefore claims a network
// 127.N.0.0/16 of its own: until it ends, it listens on one address of that
// network.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// ErrNoFreeNetwork is returned when every network is in use.
var ErrNoFreeNetwork = errors.New("loopback: all networks are in use")

// ListenFirstFree listens in the first free one of n networks. A network is free
// if nobody listens on its address. ListenFirstFree returns the listener and the
// number of that network, from 0 to n-1. It tries the networks in order, beginning
// with number startIndex modulo n. The function address returns the address to
// listen on in a network. The error is ErrNoFreeNetwork or an error of net.Listen.
func ListenFirstFree(startIndex uint64, n int, address func(networkIndex int) string) (net.Listener, int, error) {
	for i := range uint64(n) {
		networkIndex := int((startIndex + i) % uint64(n))
		ln, err := net.Listen("tcp", address(networkIndex))
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return ln, networkIndex, err
		}
	}
	return nil, 0, ErrNoFreeNetwork
}

// claimPort is the port of the address by which a network is claimed. Tests use
// other ports.
const claimPort = 6999

// claimListeners holds the listeners of ClaimNetwork until the process ends.
// Unreachable listeners would be closed by the garbage collector.
var claimListeners []net.Listener

// ClaimNetwork claims a network 127.N.0.0/16 that is not claimed yet, with N
// from first to first+n-1, and returns its N. The error is that of
// ListenFirstFree. ClaimNetwork is not safe for concurrent use.
func ClaimNetwork(first, n int) (int, error) {
	ln, networkIndex, err := ListenFirstFree(uint64(os.Getpid()), n, func(networkIndex int) string {
		return fmt.Sprintf("127.%d.255.254:%d", first+networkIndex, claimPort)
	})
	if err != nil {
		return 0, err
	}
	claimListeners = append(claimListeners, ln)
	return first + networkIndex, nil
}

// OwnNetwork returns N of the network 127.N.0.0/16 of this process. The first
// call claims the network; N is from 20 to 99. All test processes claim theirs from
// these 80 networks. The error is that of ClaimNetwork.
var OwnNetwork = sync.OnceValues(func() (int, error) {
	const first, networkCount = 20, 80
	return ClaimNetwork(first, networkCount)
})

// addressCount counts the addresses returned by UnusedAddress.
var addressCount atomic.Int64

// UnusedAddress returns an address in the network of this process that nobody
// listens on, a different one on each call. No other process or test can take the
// address, unlike a port that was opened and closed again. The error is that of
// OwnNetwork.
func UnusedAddress() (string, error) {
	const hostsPerSubnet, port = 250, 7000
	network, err := OwnNetwork()
	if err != nil {
		return "", err
	}
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", network, n/hostsPerSubnet, 1+n%hostsPerSubnet, port), nil
}
