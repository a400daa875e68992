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

// ErrNoNet is returned when every network is in use.
var ErrNoNet = errors.New("loopback: all networks are in use")

// ListenFirstFree listens on an address of the first free of so many networks, tried in turn from
// start on, and returns its number, from 0. The error is ErrNoNet, or that of listening.
func ListenFirstFree(start uint64, nets int, address func(n int) string) (net.Listener, int, error) {
	for i := range uint64(nets) {
		n := int((start + i) % uint64(nets))
		ln, err := net.Listen("tcp", address(n))
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
			return ln, n, err
		}
	}
	return nil, 0, ErrNoNet
}

// claimPort is the port that claims a network. Tests use others.
const claimPort = 6999

// claims keeps the listeners until the process ends.
var claims []net.Listener

// Claim returns N of a network 127.N.0.0/16 that no other process claims, from first on,
// one of so many. The error is that of ListenFirstFree. It is not safe for concurrent use.
func Claim(first, nets int) (int, error) {
	ln, n, err := ListenFirstFree(uint64(os.Getpid()), nets, func(n int) string {
		return fmt.Sprintf("127.%d.255.254:%d", first+n, claimPort)
	})
	if err != nil {
		return 0, err
	}
	claims = append(claims, ln)
	return first + n, nil
}

// OwnNetwork returns N of the network 127.N.0.0/16 of this process, claimed once from those that
// tests share. The error is that of ListenFirstFree.
var OwnNetwork = sync.OnceValues(func() (int, error) {
	const first, nets = 20, 80
	return Claim(first, nets)
})

// lastHost counts the addresses that UnusedAddress has returned.
var lastHost atomic.Int64

// UnusedAddress returns an address of this process's own network that nobody listens on, another
// one at each call. Unlike an ephemeral port that was given back, no other process and no
// other test takes it. The error is that of OwnNetwork.
func UnusedAddress() (string, error) {
	const hosts, port = 250, 7000
	claimed, err := OwnNetwork()
	if err != nil {
		return "", err
	}
	n := lastHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", claimed, n/hosts, 1+n%hosts, port), nil
}
