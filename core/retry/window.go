package retry

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// windowBuckets is the number of buckets that the span of a WindowBudget is divided into.
// A retry counts until its whole bucket has left the span. The retry thus counts for at
// least the span and at most one bucket width longer, so the budget is never exceeded.
const windowBuckets = 10

// WindowBudget is one daemon's share of a retry budget that all daemons share. The budget
// bounds the retries in any time window of a given length, the span. It allows, in each window,
// ratio times the number of requests in the window, plus a fixed number, the slack. Each daemon
// counts its own requests and gets an equal share of the slack. The daemons together thus stay
// within the budget without communicating. A WindowBudget is not safe for concurrent use.
type WindowBudget struct {
	// ratio is the number of retries that each request in the window allows.
	ratio float64
	// slack is this daemon's share of the retries allowed in addition.
	slack float64
	// share is the fraction of the budget that may be used.
	share float64
	// bucketWidth is the length of time that one bucket covers.
	bucketWidth time.Duration
	// currentBucket is the number of the bucket that contains the current time. Bucket 0 begins
	// at Instant 0.
	currentBucket int64
	// requestCounts holds the number of requests in each bucket. The method index returns the
	// position of the current bucket.
	requestCounts [windowBuckets + 1]float64
	// retryCounts holds the number of retries in each bucket, in the same order.
	retryCounts [windowBuckets + 1]float64
}

// NewWindowBudget returns a WindowBudget over the given span. ratio is the number of retries
// that each request allows. slack is this daemon's share of the slack.
func NewWindowBudget(span time.Duration, ratio, slack float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, slack: slack, share: 1, bucketWidth: max(span/windowBuckets, time.Millisecond)}
}

// SetSlack changes this daemon's share of the slack.
func (w *WindowBudget) SetSlack(slack float64) { w.slack = slack }

// SetShare changes the fraction of the budget that may be used, which is initially 1.
func (w *WindowBudget) SetShare(share float64) { w.share = share }

// CountRequest counts the first attempt at a request.
func (w *WindowBudget) CountRequest(now model.Instant) {
	w.advance(now)
	w.requestCounts[w.index()]++
}

// Remaining returns how many retries the budget still allows. It is negative if more retries
// were charged than the budget allows now.
func (w *WindowBudget) Remaining(now model.Instant) float64 {
	w.advance(now)
	requestCount, retryCount := 0.0, 0.0
	for i := range w.requestCounts {
		requestCount += w.requestCounts[i]
		retryCount += w.retryCounts[i]
	}
	// The oldest bucket is partly outside the span, so its requests no longer count.
	requestCount -= w.requestCounts[(w.index()+1)%(windowBuckets+1)]
	return w.share*(w.ratio*requestCount+w.slack) - retryCount
}

// TryCharge counts n retries if the budget allows them, and returns false otherwise.
func (w *WindowBudget) TryCharge(now model.Instant, n float64) bool {
	if w.Remaining(now) < n {
		return false
	}
	w.Charge(now, n)
	return true
}

// Charge counts n retries whether or not the budget allows them. A negative n returns
// retries to the budget.
func (w *WindowBudget) Charge(now model.Instant, n float64) {
	w.advance(now)
	w.retryCounts[w.index()] += n
}

// index returns the position of the current bucket in the arrays.
func (w *WindowBudget) index() int { return int(w.currentBucket % (windowBuckets + 1)) }

// advance makes the bucket that contains now the current bucket. It clears that bucket and
// the buckets that were skipped.
func (w *WindowBudget) advance(now model.Instant) {
	newBucket := int64(now) / int64(w.bucketWidth)
	if newBucket <= w.currentBucket {
		return
	}
	for i := max(w.currentBucket+1, newBucket-windowBuckets); i <= newBucket; i++ {
		w.requestCounts[i%(windowBuckets+1)] = 0
		w.retryCounts[i%(windowBuckets+1)] = 0
	}
	w.currentBucket = newBucket
}
