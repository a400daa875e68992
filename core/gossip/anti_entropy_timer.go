package gossip

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// shortInterval is the time between two comparisons of digests while some daemon may lack
	// an update. A digest summarizes the state of a daemon.
	shortInterval = time.Second
	// longInterval is the time between two comparisons while all daemons seem to agree.
	longInterval = 10 * time.Second
	// requiredAgreements is the number of comparisons without a difference, since the last
	// Reset, after which longInterval is used.
	requiredAgreements = 3
)

// AntiEntropyTimer determines when to compare digests with another daemon. It is not
// safe for concurrent use.
type AntiEntropyTimer struct {
	// agreementCount counts the comparisons without a difference since the last Reset.
	agreementCount int
	// lastComparisonAt is when Due last returned true. Zero means never.
	lastComparisonAt model.Instant
}

// Due reports whether a comparison is due. If so, it records that the comparison takes
// place now.
func (t *AntiEntropyTimer) Due(now model.Instant) bool {
	interval := shortInterval
	if t.agreementCount >= requiredAgreements {
		interval = longInterval
	}
	if t.lastComparisonAt != 0 && now.Sub(t.lastComparisonAt) < interval {
		return false
	}
	t.lastComparisonAt = now
	return true
}

// RecordAgreement records a comparison that found no difference.
func (t *AntiEntropyTimer) RecordAgreement() { t.agreementCount++ }

// Reset restores the short interval. It is called after a change of the state, and when
// other daemons may have missed an update.
func (t *AntiEntropyTimer) Reset() { t.agreementCount = 0 }
