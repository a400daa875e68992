// Package loopback gives test processes loopback addresses that no other has.
//
// Tests of several packages run beside each other and bind fixed ports, so that a
// daemon can start again under the address that it had. Each process claims a network
// 127.N.0.0/16 by listening on one address of it until it ends.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// claimPort is the port that claims a network. Tests use others.
const claimPort = 6999

// ErrNoNet is returned when every network is claimed.
var ErrNoNet = errors.New("loopback: all networks are in use")

// claims keeps the listeners until the process ends.
var claims []net.Listener

// Claim returns N of a network 127.N.0.0/16 that no other process claims, from first on,
// one of so many. The error is ErrNoNet, or that of listening. It is not safe for
// concurrent use.
func Claim(first, nets int) (int, error) {
	for i := range nets {
		n := first + (os.Getpid()+i)%nets
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, claimPort))
		if err == nil {
			claims = append(claims, ln)
			return n, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return 0, err
		}
	}
	return 0, ErrNoNet
}
