package retry

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// demandMemory is the time constant with which the rate of wanted retries is averaged.
	demandMemory = 2 * time.Second
	// openShare is the share of a budget that every rank may use, whatever more urgent ranks want.
	openShare = 0.25
)

// RankedBudget is a WindowBudget whose retries go to the most urgent requests first while it does
// not suffice for all. Of the requests of a rank, it keeps as many retries as they are going to want
// within a span, given how many they wanted of late and how many they have had. Less urgent ranks
// get the rest, or openShare of the budget if that is more. A RankedBudget is not safe for
// concurrent use.
type RankedBudget struct {
	*WindowBudget
	span   time.Duration
	byRank map[int]*rankDemand
}

// rankDemand is what the requests of one rank want and have got.
type rankDemand struct {
	// rate is the average number of wanted retries per second at the instant updatedAt.
	rate      float64
	updatedAt model.Instant
	// charged counts the retries within the span.
	charged *WindowBudget
}

// NewRankedBudget returns a RankedBudget over the given span without slack. ratio is the number of
// retries that each request allows.
func NewRankedBudget(span time.Duration, ratio float64) *RankedBudget {
	return &RankedBudget{WindowBudget: NewWindowBudget(span, ratio, 0), span: span, byRank: make(map[int]*rankDemand)}
}

// TryChargeRank counts n retries of requests of a rank, of which 0 is the most urgent. It returns
// false, and counts nothing, if the budget does not allow them or keeps the rest for more urgent
// ranks. The retries count as wanted either way.
func (b *RankedBudget) TryChargeRank(now model.Instant, rank int, n float64) bool {
	d := b.demandOf(rank)
	d.want(now, n)
	remaining := b.Remaining(now)
	if remaining < n || remaining-b.reserve(now, rank) < n && !b.withinOpenShare(now, rank, n) {
		return false
	}
	b.ChargeRank(now, rank, n)
	return true
}

// ChargeRank counts n retries whether or not the budget allows them. A negative n returns retries.
func (b *RankedBudget) ChargeRank(now model.Instant, rank int, n float64) {
	b.Charge(now, n)
	b.demandOf(rank).charged.Charge(now, n)
}

// reserve returns how many retries the ranks that are more urgent than rank are going to want within
// a span, beyond those that they have had.
func (b *RankedBudget) reserve(now model.Instant, rank int) float64 {
	sum := 0.0
	for r, d := range b.byRank {
		if r < rank {
			sum += max(0, d.rateAt(now)*b.span.Seconds()-d.used(now))
		}
	}
	return sum
}

// withinOpenShare reports whether n more retries of a rank, and those that it and less urgent ranks
// have had, are at most openShare of the budget.
func (b *RankedBudget) withinOpenShare(now model.Instant, rank int, n float64) bool {
	used, total := n, b.Remaining(now)
	for r, d := range b.byRank {
		total += d.used(now)
		if r >= rank {
			used += d.used(now)
		}
	}
	return used <= openShare*total
}

func (b *RankedBudget) demandOf(rank int) *rankDemand {
	d := b.byRank[rank]
	if d == nil {
		d = &rankDemand{charged: NewWindowBudget(b.span, 0, 0)}
		b.byRank[rank] = d
	}
	return d
}

func (d *rankDemand) want(now model.Instant, n float64) {
	d.rate = d.rateAt(now) + n/demandMemory.Seconds()
	d.updatedAt = max(d.updatedAt, now)
}

func (d *rankDemand) rateAt(now model.Instant) float64 {
	return d.rate * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/demandMemory.Seconds())
}

// used returns the number of retries charged within the span.
func (d *rankDemand) used(now model.Instant) float64 { return -d.charged.Remaining(now) }
