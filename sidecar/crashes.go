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

// crashDetector determines which requests were running in the local upstream when it crashed. A
// lost connection alone is no proof of a crash. There are two proofs. Either nothing listens at
// the address of the upstream any longer, or a new incarnation reports although the previous one
// had not deregistered. crashDetector is safe for concurrent use.
type crashDetector struct {
	// address is the address at which the upstream listens.
	address string
	now     func() model.Instant
	// onCrash is called with each request that was running during a crash.
	onCrash func(lostRun)

	mu sync.Mutex
	// lostRuns holds the lost runs that are not yet attributed to a crash, oldest first.
	lostRuns []lostRun
	// responseTimes holds, for each series of lost runs, the time of the first response after
	// the series, oldest first.
	responseTimes []model.Instant
}

// lostRun is a request that was running in the upstream when its connection was lost.
type lostRun struct {
	id          string
	fingerprint quarantine.Fingerprint
	request     quarantine.Request
	upstream    lifecycle.Incarnation
	lostAt      model.Instant
}

const (
	// maxLostRuns limits how many lost runs are kept. An upstream runs fewer requests at once.
	maxLostRuns = 64
	// maxBurstGap is the longest time between two lost runs that are attributed to the
	// same crash.
	maxBurstGap = 500 * time.Millisecond
	// responseSlack is the longest delay between the sending and the reading of a response. A
	// response that is read within this time after a loss may have been sent before the loss,
	// over another connection.
	responseSlack = 20 * time.Millisecond
	// crashDialTimeout limits the time to connect to the upstream, which runs on the same
	// VM.
	crashDialTimeout = 100 * time.Millisecond
)

// recordLoss stores a lost run. If the upstream no longer accepts connections, it has crashed.
// recordLoss then reports the runs that were lost in the crash.
func (c *crashDetector) recordLoss(r lostRun) {
	r.lostAt = c.now()
	c.mu.Lock()
	if len(c.lostRuns) >= maxLostRuns {
		c.lostRuns = c.lostRuns[1:]
		c.dropOldResponses()
	}
	c.lostRuns = append(c.lostRuns, r)
	c.mu.Unlock()
	if !c.listening() {
		c.report(c.removeRuns(r.upstream, lastBurst))
	}
}

// listening reports whether the upstream may still accept connections. Only a refused connection
// shows that it does not.
func (c *crashDetector) listening() bool {
	conn, err := net.DialTimeout("tcp", c.address, crashDialTimeout)
	if err == nil {
		_ = conn.Close()
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// dropOldResponses removes the response times that precede the oldest lost run. c.mu is held.
func (c *crashDetector) dropOldResponses() {
	for len(c.responseTimes) > 0 && c.responseTimes[0] < c.lostRuns[0].lostAt {
		c.responseTimes = c.responseTimes[1:]
	}
}

// recordResponse notes that the upstream responded, so it was running at that time. Only the
// first response after a series of lost runs is stored. The response may come from a new
// incarnation that has not reported yet.
func (c *crashDetector) recordResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.lostRuns) == 0 {
		return
	}
	respondedAt := c.now()
	if respondedAt.Sub(c.lostRuns[len(c.lostRuns)-1].lostAt) < responseSlack {
		// The upstream may have sent the response shortly before the latest loss. The response
		// proves only that the upstream was running before that loss, so an earlier time is
		// recorded.
		respondedAt = respondedAt.Add(-responseSlack)
	}
	if n := len(c.responseTimes); n == 0 || c.responseTimes[n-1] < c.lostRuns[len(c.lostRuns)-1].lostAt && respondedAt > c.responseTimes[n-1] {
		c.responseTimes = append(c.responseTimes, respondedAt)
	}
}

// reportCrash reports the runs lost in the crash of an incarnation that a new one has replaced.
// These are the runs of the burst with the longest silence. The crash is assumed to have caused
// the longest silence, because a restart takes longer than the next response of an upstream that
// keeps running.
func (c *crashDetector) reportCrash(i lifecycle.Incarnation) { c.report(c.removeRuns(i, longestBurst)) }

// report passes lost runs to onCrash.
func (c *crashDetector) report(runs []lostRun) {
	for _, r := range runs {
		c.onCrash(r)
	}
}

// burst is a series of runs that were lost in short succession, with no response in between.
type burst struct {
	runs []lostRun
	// silence is the time from the first loss until the next response.
	silence time.Duration
}

// lastBurst picks the burst to report for an upstream that is down now.
func lastBurst(bursts []burst) burst { return bursts[len(bursts)-1] }

// longestBurst picks the burst to report for an upstream that has restarted. This is the burst
// with the longest silence, or the latest of several with equal silence.
func longestBurst(bursts []burst) burst {
	longest := bursts[0]
	for _, b := range bursts[1:] {
		if b.silence >= longest.silence {
			longest = b
		}
	}
	return longest
}

// removeRuns removes all lost runs of an incarnation. It returns the runs of the burst that pick
// selects, or nil if the incarnation has no lost runs.
func (c *crashDetector) removeRuns(i lifecycle.Incarnation, pick func([]burst) burst) []lostRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	var matching, remaining []lostRun
	for _, r := range c.lostRuns {
		if r.upstream == i {
			matching = append(matching, r)
		} else {
			remaining = append(remaining, r)
		}
	}
	c.lostRuns = remaining
	var bursts []burst
	for len(matching) > 0 {
		b := c.firstBurst(matching)
		bursts = append(bursts, b)
		matching = matching[len(b.runs):]
	}
	if len(remaining) == 0 {
		c.responseTimes = nil
	}
	if len(bursts) == 0 {
		return nil
	}
	return pick(bursts).runs
}

// firstBurst returns the burst at the beginning of a list of lost runs. c.mu is held.
func (c *crashDetector) firstBurst(runs []lostRun) burst {
	silenceEnd := c.now()
	for _, respondedAt := range c.responseTimes {
		if respondedAt > runs[0].lostAt {
			silenceEnd = respondedAt
			break
		}
	}
	n := 1
	for n < len(runs) && runs[n].lostAt <= silenceEnd && runs[n].lostAt.Sub(runs[n-1].lostAt) <= maxBurstGap {
		n++
	}
	if n < len(runs) && runs[n].lostAt <= silenceEnd {
		// More runs were lost before the next response, but after a pause. The upstream is
		// assumed to have been down only from the later losses on. The silence of this burst
		// therefore ends with its last run.
		silenceEnd = runs[n-1].lostAt
	}
	return burst{runs: runs[:n], silence: silenceEnd.Sub(runs[0].lostAt)}
}
