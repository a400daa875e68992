// Package loopback gives tests and soaks loopback addresses that no other process has.
//
// They run beside each other and bind fixed ports, so that a daemon can start again
// under the address that it had. Each process takes a network 127.N.0.0/16 by listening
// on one address of it until it ends.
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

// ListenFirstFree listens on an address of the first free of so many networks, tried in turn from
// start on, and returns its number, from 0. The error is ErrNoFreeNetwork, or that of listening.
func ListenFirstFree(start uint64, n int, address func(number int) string) (net.Listener, int, error) {
	for i := range uint64(n) {
		number := int((start + i) % uint64(n))
		ln, err := net.Listen("tcp", address(number))
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return ln, number, err
		}
	}
	return nil, 0, ErrNoFreeNetwork
}

// claimPort is the port that claims a network. Tests use others.
const claimPort = 6999

// claimListeners keeps the listeners until the process ends.
var claimListeners []net.Listener

// ClaimNetwork returns N of a network 127.N.0.0/16 that no other process claims, from first on,
// one of so many. The error is that of ListenFirstFree. It is not safe for concurrent use.
func ClaimNetwork(first, n int) (int, error) {
	ln, number, err := ListenFirstFree(uint64(os.Getpid()), n, func(number int) string {
		return fmt.Sprintf("127.%d.255.254:%d", first+number, claimPort)
	})
	if err != nil {
		return 0, err
	}
	claimListeners = append(claimListeners, ln)
	return first + number, nil
}

// OwnNetwork returns N of the network 127.N.0.0/16 of this process, claimed once from those that
// tests share. The error is that of ListenFirstFree.
var OwnNetwork = sync.OnceValues(func() (int, error) {
	const first, networks = 20, 80
	return ClaimNetwork(first, networks)
})

// lastHost counts the addresses that UnusedAddress has returned.
var lastHost atomic.Int64

// UnusedAddress returns an address of this process's own network that nobody listens on, another
// one at each call. Unlike an ephemeral port that was given back, no other process and no
// other test takes it. The error is that of OwnNetwork.
func UnusedAddress() (string, error) {
	const hosts, port = 250, 7000
	network, err := OwnNetwork()
	if err != nil {
		return "", err
	}
	n := lastHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", network, n/hosts, 1+n%hosts, port), nil
}
