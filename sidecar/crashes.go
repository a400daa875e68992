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

	mu       sync.Mutex
	lostRuns []lostRun
	// answered are the first answers of the upstream after the lost runs, the oldest first.
	respondedAt []model.Instant
}

// lostRun is a run whose connection was lost.
type lostRun struct {
	id       string
	print    quarantine.Fingerprint
	request  quarantine.Request
	upstream lifecycle.Incarnation
	lostAt   model.Instant
}

const (
	// maxLost bounds the runs that are remembered. An upstream runs fewer at once.
	maxLostRuns = 64
	// crashSpan is the longest time between two of the runs that are lost while the
	// upstream is gone.
	maxBurstGap = 500 * time.Millisecond
	// answerSlack is how much later than a loss an answer may be read that came before
	// it, over another connection.
	responseSlack = 20 * time.Millisecond
	// crashDial bounds a look at the upstream, which runs on the same VM.
	crashDialTimeout = 100 * time.Millisecond
)

// lose takes in a lost run and looks whether the upstream is still there.
func (c *crashes) recordLoss(r lostRun) {
	r.lostAt = c.now()
	c.mu.Lock()
	if len(c.lostRuns) >= maxLostRuns {
		c.lostRuns = c.lostRuns[1:]
		c.dropOldResponses()
	}
	c.lostRuns = append(c.lostRuns, r)
	c.mu.Unlock()
	if !c.listening() {
		c.reportRuns(c.removeRuns(r.upstream, lastBurst))
	}
}

func (c *crashes) listening() bool {
	conn, err := net.DialTimeout("tcp", c.address, crashDialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// forget drops the answers from before the lost runs that are remembered. c.mu is held.
func (c *crashes) dropOldResponses() {
	for len(c.respondedAt) > 0 && c.respondedAt[0] < c.lostRuns[0].lostAt {
		c.respondedAt = c.respondedAt[1:]
	}
}

// answer takes in that the upstream has answered: it was there then. That may have been its
// next incarnation, before it told of itself.
func (c *crashes) recordResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostRuns) == 0 {
		return
	}
	at := c.now()
	if at.Sub(c.lostRuns[len(c.lostRuns)-1].lostAt) < responseSlack {
		// It came before that loss, or after it, and was there before it in any case.
		at = at.Add(-responseSlack)
	}
	if n := len(c.respondedAt); n == 0 || c.respondedAt[n-1] < c.lostRuns[len(c.lostRuns)-1].lostAt && at > c.respondedAt[n-1] {
		c.respondedAt = append(c.respondedAt, at)
	}
}

// end takes in that an incarnation has crashed, and names the runs of its crash: the
// upstream was gone for longer than between any loss before and the next answer.
func (c *crashes) upstreamCrashed(i lifecycle.Incarnation) {
	c.reportRuns(c.removeRuns(i, longestBurst))
}

func (c *crashes) reportRuns(ran []lostRun) {
	for _, r := range ran {
		c.crashed(r)
	}
}

// burst is runs that were lost one soon after the other, without an answer in between.
type burst struct {
	runs []lostRun
	// silent is the time from the first loss until the upstream is known to have answered.
	silence time.Duration
}

// lastBurst returns the burst of an upstream that is gone now.
func lastBurst(all []burst) burst { return all[len(all)-1] }

// longestBurst returns the burst of an upstream that was gone and is back: the last one of
// those with the longest time without an answer.
func longestBurst(all []burst) burst {
	longest := all[0]
	for _, b := range all[1:] {
		if b.silence >= longest.silence {
			longest = b
		}
	}
	return longest
}

// take takes out the runs of an incarnation, and returns those of the burst that is picked.
func (c *crashes) removeRuns(i lifecycle.Incarnation, pick func([]burst) burst) []lostRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var of, kept []lostRun
	for _, r := range c.lostRuns {
		if r.upstream == i {
			of = append(of, r)
		} else {
			kept = append(kept, r)
		}
	}
	c.lostRuns = kept
	var all []burst
	for len(of) > 0 {
		b := c.firstBurst(of)
		all = append(all, b)
		of = of[len(b.runs):]
	}
	if len(kept) == 0 {
		c.respondedAt = nil
	}
	if len(all) == 0 {
		return nil
	}
	return pick(all).runs
}

// burst returns the first burst of lost runs. c.mu is held.
func (c *crashes) firstBurst(of []lostRun) burst {
	until := c.now()
	for _, at := range c.respondedAt {
		if at > of[0].lostAt {
			until = at
			break
		}
	}
	n := 1
	for n < len(of) && of[n].lostAt <= until && of[n].lostAt.Sub(of[n-1].lostAt) <= maxBurstGap {
		n++
	}
	if n < len(of) && of[n].lostAt <= until {
		// Later runs were lost without an answer since: the upstream is taken to have
		// been gone from those on only.
		until = of[n-1].lostAt
	}
	return burst{runs: of[:n], silence: until.Sub(of[0].lostAt)}
}
