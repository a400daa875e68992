package ceiling

import (
	"cmp"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Daemon is a daemon's name in reports: a hash of its id.
type Daemon uint64

// Report is what one daemon sees of one ceiling.
type Report struct {
	// Key is the hash of the ceiling's Key.
	Key    uint64
	Daemon Daemon
	// Demand is in requests a second.
	Demand float32
	// Stamp rises with every report of the daemon on this key. It is the
	// daemon's wall clock in milliseconds.
	Stamp uint64
}

const (
	// maxDaemons bounds the daemons remembered for one ceiling. Reports of
	// further ones are not taken in.
	maxDaemons = 4096
	// forgetAfter is the age at which a daemon's last report counts no more.
	forgetAfter = 10 * time.Second
	// deleteAfter is the age at which the report is dropped. Until then it is
	// remembered, so that a peer that still holds it does not bring it back.
	deleteAfter = 3 * forgetAfter
)

// heard is a report and when it was heard here.
type heard struct {
	Report
	at model.Instant
	// lost is set once the daemon has not reported for forgetAfter.
	lost bool
}

// ledger holds the newest report of each daemon on one ceiling.
type ledger struct {
	reports map[Daemon]heard
}

// take takes in a report and tells whether it was news.
func (l *ledger) take(now model.Instant, r Report) bool {
	old, known := l.reports[r.Daemon]
	if known && old.Stamp >= r.Stamp {
		return false
	}
	if !known && len(l.reports) >= maxDaemons {
		return false
	}
	l.reports[r.Daemon] = heard{Report: r, at: now}
	return true
}

func (l *ledger) forget(now model.Instant, self Daemon) {
	for d, h := range l.reports {
		age := now.Sub(h.at)
		switch {
		case d == self || age <= forgetAfter:
		case age > deleteAfter:
			delete(l.reports, d)
		default:
			h.lost = true
			l.reports[d] = h
		}
	}
}

// others returns the sum of the other daemons' demand.
func (l *ledger) others(self Daemon) float64 {
	sum := 0.0
	for d, h := range l.reports {
		if d != self && !h.lost {
			sum += float64(h.Demand)
		}
	}
	return sum
}

// slots divides whole slots by demand: each daemon gets its part rounded down,
// and what is left goes to the largest remainders, so that the parts of all
// daemons with the same reports add up.
func (l *ledger) slots(self Daemon, total int) int {
	type part struct {
		daemon    Daemon
		whole     int
		remainder float64
	}
	sum := 0.0
	for _, h := range l.reports {
		if !h.lost {
			sum += float64(h.Demand)
		}
	}
	if sum <= 0 {
		return 0
	}
	parts := make([]part, 0, len(l.reports))
	left := total
	for d, h := range l.reports {
		if h.lost {
			continue
		}
		exact := float64(total) * float64(h.Demand) / sum
		parts = append(parts, part{daemon: d, whole: int(exact), remainder: exact - float64(int(exact))})
		left -= int(exact)
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.daemon, b.daemon))
	})
	for i, p := range parts {
		if p.daemon != self {
			continue
		}
		if i < left {
			return p.whole + 1
		}
		return p.whole
	}
	return 0
}
