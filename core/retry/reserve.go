package retry

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Class orders retries by what they achieve.
type Class uint8

// The classes, from the retries that achieve most to those that achieve least.
const (
	// Completing is the class of the retry of a request that no upstream has run. It is the only
	// request that its run still needs (see package callgroup), or an urgent one.
	Completing Class = iota
	// Single is the class of the retry of any other request that no upstream has run.
	Single
	// Partial is the class of the retry of a request that no upstream has run, while its run needs the
	// retry of another request too.
	Partial
	// Repeating is the class of the retry of a request that may have run, and of a hedge. The run
	// sends its calls again.
	Repeating
	// Hopeless is the class of the retry of a request whose run has failed already, or that would miss
	// its deadline.
	Hopeless
	classCount
)

// String returns the value that log lines use.
func (c Class) String() string {
	return [classCount]string{"completing", "single", "partial", "repeating", "hopeless"}[c]
}

// demandBuckets is the number of buckets of a Reserve. The demand is measured over the time that
// they cover, a fifth of the span of the budget.
const demandBuckets = 2

// minDemand is the least demand, in retries, for which any budget is kept. A few retries are not the
// beginning of an outage.
const minDemand = 3

// Reserve decides how much of a WindowBudget is kept for retries that achieve more than others. It
// keeps what the better classes are expected to need within the span of the budget, because a retry that is
// spent now is missing for that long. It expects that they go on needing retries at the rate of the
// last demandBuckets. While few retries are needed, nothing is kept. A Reserve is not safe for concurrent use.
type Reserve struct {
	bucketWidth time.Duration
	// currentBucket is the number of the bucket that contains the current time.
	currentBucket int64
	// demand holds the retries that each class needed, by bucket. The current bucket is the last.
	demand [demandBuckets + 1][classCount]float64
}

// NewReserve returns a Reserve for a WindowBudget with the given span.
func NewReserve(span time.Duration) *Reserve {
	return &Reserve{bucketWidth: max(span/windowBuckets, time.Millisecond)}
}

// CountDemand counts n retries that a class needs, whether or not the budget allows them.
func (r *Reserve) CountDemand(now model.Instant, class Class, n float64) {
	r.advance(now)
	r.demand[demandBuckets][class] += n
}

// Kept returns how much of the budget is kept for classes that achieve more than the given one.
func (r *Reserve) Kept(now model.Instant, class Class) float64 {
	r.advance(now)
	sum := 0.0
	for _, bucket := range r.demand {
		for better := range class {
			sum += bucket[better]
		}
	}
	if sum < minDemand {
		return 0
	}
	elapsed := time.Duration(int64(now) - r.currentBucket*int64(r.bucketWidth))
	covered := demandBuckets*r.bucketWidth + elapsed
	return sum * float64(windowBuckets*r.bucketWidth) / float64(covered)
}

// advance makes the bucket that contains now the current bucket.
func (r *Reserve) advance(now model.Instant) {
	newBucket := int64(now) / int64(r.bucketWidth)
	for i := min(newBucket-r.currentBucket, demandBuckets+1); i > 0; i-- {
		copy(r.demand[:], r.demand[1:])
		r.demand[demandBuckets] = [classCount]float64{}
	}
	r.currentBucket = max(r.currentBucket, newBucket)
}
