package retry

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// windowParts is the number of steps in which a Window forgets. Old counts leave
// a step late, never early, so that the budget errs to the safe side by one part.
const windowBuckets = 10

// Window is one daemon's share of a re-send budget that all daemons have in
// common: over any span, re-sends stay within ratio times the requests of the
// span plus a slack. Each daemon counts its own requests and takes an equal part
// of the slack, so the sum keeps the whole budget without a word between them.
// It is not safe for concurrent use.
type Window struct {
	ratio       float64
	slack       float64
	share       float64
	bucketWidth time.Duration
	bucket      int64
	requests    [windowBuckets + 1]float64
	resends     [windowBuckets + 1]float64
}

// NewWindow returns a Window over a span.
func NewWindow(span time.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, share: 1, bucketWidth: max(span/windowBuckets, time.Millisecond)}
}

// SetSlack changes the slack.
func (w *Window) SetSlack(slack float64) { w.slack = slack }

// SetShare changes the share of the budget that may be used. It is 1 at first.
func (w *Window) SetShare(share float64) { w.share = share }

// Request counts a first send.
func (w *Window) Request(now model.Instant) {
	w.advance(now)
	w.requests[w.index()]++
}

// Left returns how many re-sends the budget still holds.
func (w *Window) Left(now model.Instant) float64 {
	w.advance(now)
	requests, resends := 0.0, 0.0
	for i := range w.requests {
		requests += w.requests[i]
		resends += w.resends[i]
	}
	// The oldest part has partly left the span; its requests no longer count.
	requests -= w.requests[(w.index()+1)%(windowBuckets+1)]
	return w.share*(w.ratio*requests+w.slack) - resends
}

// Take counts n re-sends if the budget holds them.
func (w *Window) Take(now model.Instant, n float64) bool {
	if w.Left(now) < n {
		return false
	}
	w.Charge(now, n)
	return true
}

// Charge counts n re-sends that were made without asking.
func (w *Window) Charge(now model.Instant, n float64) {
	w.advance(now)
	w.resends[w.index()] += n
}

func (w *Window) index() int { return int(w.bucket % (windowBuckets + 1)) }

// turn moves on to the part that holds now.
func (w *Window) advance(now model.Instant) {
	current := int64(now) / int64(w.bucketWidth)
	if current <= w.bucket {
		return
	}
	for i := max(w.bucket+1, current-windowBuckets); i <= current; i++ {
		w.requests[i%(windowBuckets+1)] = 0
		w.resends[i%(windowBuckets+1)] = 0
	}
	w.bucket = current
}
