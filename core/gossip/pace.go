package gossip

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// fastPause is the time between two comparisons while something may be unknown to
	// somebody, slowPause that while all seem to agree.
	shortInterval = time.Second
	longInterval  = 10 * time.Second
	// agreements is how many comparisons in a row must find no difference.
	requiredAgreements = 3
)

// Pace tells when to compare next. It is not safe for concurrent use.
type Pace struct {
	agreements int
	last       model.Instant
}

// Due reports whether to compare now, and takes in that it is done.
func (p *Pace) Due(now model.Instant) bool {
	interval := shortInterval
	if p.agreements >= requiredAgreements {
		interval = longInterval
	}
	if p.last != 0 && now.Sub(p.last) < interval {
		return false
	}
	p.last = now
	return true
}

// Agreed takes in that a comparison found no difference.
func (p *Pace) Agreed() { p.agreements++ }

// Changed takes in that something has changed, or that others may have missed something.
func (p *Pace) Changed() { p.agreements = 0 }
