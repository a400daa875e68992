package sidecar

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/quarantine"
)

// crashes finds out which requests ran in the own upstream when it crashed. A lost
// connection alone may have other causes. The upstream has crashed if nothing listens
// at its address any longer, or if another incarnation follows one that did not
// leave. It is safe for concurrent use.
type crashes struct {
	address string
	now     func() model.Instant
	// crashed takes a request that ran in a crash.
	crashed func(lostRun)

	mu   sync.Mutex
	lost []lostRun
}

// lostRun is a run whose connection was lost.
type lostRun struct {
	id       string
	print    quarantine.Fingerprint
	request  quarantine.Request
	upstream lifecycle.Incarnation
	at       model.Instant
}

const (
	// maxLost bounds the runs that are remembered. An upstream runs fewer at once.
	maxLost = 64
	// crashSpan is the time within which a crash ends all connections.
	crashSpan = 500 * time.Millisecond
	// crashDial bounds a look at the upstream, which runs on the same VM.
	crashDial = 100 * time.Millisecond
)

// lose takes in a lost run and looks whether the upstream is still there.
func (c *crashes) lose(r lostRun) {
	r.at = c.now()
	c.mu.Lock()
	if len(c.lost) >= maxLost {
		c.lost = c.lost[1:]
	}
	c.lost = append(c.lost, r)
	c.mu.Unlock()
	if !c.listening() {
		c.end(r.upstream)
	}
}

func (c *crashes) listening() bool {
	conn, err := net.DialTimeout("tcp", c.address, crashDial)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// end takes in that an incarnation has crashed. The runs that were lost last are
// those that ran then.
func (c *crashes) end(i lifecycle.Incarnation) {
	c.mu.Lock()
	var last model.Instant
	for _, r := range c.lost {
		if r.upstream == i {
			last = max(last, r.at)
		}
	}
	var ran []lostRun
	kept := c.lost[:0]
	for _, r := range c.lost {
		switch {
		case r.upstream != i:
			kept = append(kept, r)
		case last.Sub(r.at) <= crashSpan:
			ran = append(ran, r)
		}
	}
	c.lost = kept
	c.mu.Unlock()
	for _, r := range ran {
		c.crashed(r)
	}
}
