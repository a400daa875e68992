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
	// answered is when the upstream last answered anything, and which incarnation did.
	answered     model.Instant
	answeredLife lifecycle.Incarnation
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
	// crashSpan is the time within which a crash ends all connections, and the longest
	// time between two of the runs that are lost while the upstream is gone.
	crashSpan = 500 * time.Millisecond
	// answerSlack is how much later than a loss an answer may be read that came before
	// it, over another connection.
	answerSlack = 20 * time.Millisecond
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

// answer takes in that an incarnation has answered: it had not crashed until then.
func (c *crashes) answer(i lifecycle.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered, c.answeredLife = c.now(), i
}

// end takes in that an incarnation has crashed. The runs that were lost since its last
// answer, one soon after the other up to the last one, are those that ran then.
func (c *crashes) end(i lifecycle.Incarnation) {
	for _, r := range c.take(i) {
		c.crashed(r)
	}
}

// take takes out the runs of an incarnation and returns those of its crash, the oldest
// first.
func (c *crashes) take(i lifecycle.Incarnation) []lostRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ran, kept []lostRun
	for _, r := range c.lost {
		switch {
		case r.upstream != i:
			kept = append(kept, r)
		case i != c.answeredLife || r.at >= c.answered.Add(-answerSlack):
			ran = append(ran, r)
		}
	}
	c.lost = kept
	first := len(ran) - 1
	for first > 0 && ran[first].at.Sub(ran[first-1].at) <= crashSpan {
		first--
	}
	return ran[max(first, 0):]
}
