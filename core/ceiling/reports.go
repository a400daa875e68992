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
	// expireAfter is the age at which a daemon's last report counts no more.
	expireAfter = 10 * time.Second
	// deleteAfter is the age at which the report is dropped. Until then it is
	// remembered, so that a peer that still holds it does not bring it back.
	deleteAfter = 3 * expireAfter
)

// receivedReport is a report and when it was receivedReport here.
type receivedReport struct {
	Report
	at model.Instant
	// expired is set once the daemon has not reported for forgetAfter.
	expired bool
}

// reportTable holds the newest report of each daemon on one ceiling.
type reportTable struct {
	byDaemon map[Daemon]receivedReport
}

// merge takes in a report and tells whether it was news.
func (l *reportTable) merge(now model.Instant, r Report) bool {
	old, known := l.byDaemon[r.Daemon]
	if known && old.Stamp >= r.Stamp {
		return false
	}
	if !known && len(l.byDaemon) >= maxDaemons {
		return false
	}
	l.byDaemon[r.Daemon] = receivedReport{Report: r, at: now}
	return true
}

func (l *reportTable) expire(now model.Instant, self Daemon) {
	for d, h := range l.byDaemon {
		age := now.Sub(h.at)
		switch {
		case d == self || age <= expireAfter:
		case age > deleteAfter:
			delete(l.byDaemon, d)
		default:
			h.expired = true
			l.byDaemon[d] = h
		}
	}
}

// demandOfOthers returns the sum of the other daemons' demand.
func (l *reportTable) demandOfOthers(self Daemon) float64 {
	sum := 0.0
	for d, h := range l.byDaemon {
		if d != self && !h.expired {
			sum += float64(h.Demand)
		}
	}
	return sum
}

// slotsOf divides whole slotsOf by demand: each daemon gets its part rounded down,
// and what is left goes to the largest remainders, so that the parts of all
// daemons with the same reports add up.
func (l *reportTable) slotsOf(self Daemon, total int) int {
	type share struct {
		daemon    Daemon
		whole     int
		remainder float64
	}
	sum := 0.0
	for _, h := range l.byDaemon {
		if !h.expired {
			sum += float64(h.Demand)
		}
	}
	if sum <= 0 {
		return 0
	}
	shares := make([]share, 0, len(l.byDaemon))
	left := total
	for d, h := range l.byDaemon {
		if h.expired {
			continue
		}
		exact := float64(total) * float64(h.Demand) / sum
		shares = append(shares, share{daemon: d, whole: int(exact), remainder: exact - float64(int(exact))})
		left -= int(exact)
	}
	slices.SortFunc(shares, func(a, b share) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.daemon, b.daemon))
	})
	for i, p := range shares {
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
