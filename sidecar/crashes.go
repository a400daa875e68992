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
	// answered are the first answers of the upstream after the lost runs, the oldest first.
	answered []model.Instant
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
	// crashSpan is the longest time between two of the runs that are lost while the
	// upstream is gone.
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
		c.forget()
	}
	c.lost = append(c.lost, r)
	c.mu.Unlock()
	if !c.listening() {
		c.name(c.take(r.upstream, lastBurst))
	}
}

func (c *crashes) listening() bool {
	conn, err := net.DialTimeout("tcp", c.address, crashDial)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// forget drops the answers from before the lost runs that are remembered. c.mu is held.
func (c *crashes) forget() {
	for len(c.answered) > 0 && c.answered[0] < c.lost[0].at {
		c.answered = c.answered[1:]
	}
}

// answer takes in that the upstream has answered: it was there then. That may have been its
// next incarnation, before it told of itself.
func (c *crashes) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lost) == 0 {
		return
	}
	at := c.now()
	if at.Sub(c.lost[len(c.lost)-1].at) < answerSlack {
		// It came before that loss, or after it, and was there before it in any case.
		at = at.Add(-answerSlack)
	}
	if n := len(c.answered); n == 0 || c.answered[n-1] < c.lost[len(c.lost)-1].at && at > c.answered[n-1] {
		c.answered = append(c.answered, at)
	}
}

// end takes in that an incarnation has crashed, and names the runs of its crash: the
// upstream was gone for longer than between any loss before and the next answer.
func (c *crashes) end(i lifecycle.Incarnation) { c.name(c.take(i, longestBurst)) }

func (c *crashes) name(ran []lostRun) {
	for _, r := range ran {
		c.crashed(r)
	}
}

// burst is runs that were lost one soon after the other, without an answer in between.
type burst struct {
	runs []lostRun
	// silent is the time from the first loss until the upstream is known to have answered.
	silent time.Duration
}

// lastBurst returns the burst of an upstream that is gone now.
func lastBurst(all []burst) burst { return all[len(all)-1] }

// longestBurst returns the burst of an upstream that was gone and is back: the last one of
// those with the longest time without an answer.
func longestBurst(all []burst) burst {
	longest := all[0]
	for _, b := range all[1:] {
		if b.silent >= longest.silent {
			longest = b
		}
	}
	return longest
}

// take takes out the runs of an incarnation, and returns those of the burst that is picked.
func (c *crashes) take(i lifecycle.Incarnation, pick func([]burst) burst) []lostRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var of, kept []lostRun
	for _, r := range c.lost {
		if r.upstream == i {
			of = append(of, r)
		} else {
			kept = append(kept, r)
		}
	}
	c.lost = kept
	var all []burst
	for len(of) > 0 {
		b := c.burst(of)
		all = append(all, b)
		of = of[len(b.runs):]
	}
	if len(kept) == 0 {
		c.answered = nil
	}
	if len(all) == 0 {
		return nil
	}
	return pick(all).runs
}

// burst returns the first burst of lost runs. c.mu is held.
func (c *crashes) burst(of []lostRun) burst {
	until := c.now()
	for _, at := range c.answered {
		if at > of[0].at {
			until = at
			break
		}
	}
	n := 1
	for n < len(of) && of[n].at <= until && of[n].at.Sub(of[n-1].at) <= crashSpan {
		n++
	}
	if n < len(of) && of[n].at <= until {
		// Later runs were lost without an answer since: the upstream is taken to have
		// been gone from those on only.
		until = of[n-1].at
	}
	return burst{runs: of[:n], silent: until.Sub(of[0].at)}
}
