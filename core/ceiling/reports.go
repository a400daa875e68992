package ceiling

import (
	"cmp"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Daemon identifies a daemon in reports. It is a hash of the daemon's id.
type Daemon uint64

// Report is the demand that one daemon has measured for one ceiling.
type Report struct {
	// Key is the hash of the ceiling's Key.
	Key    uint64
	Daemon Daemon
	// Demand is in requests per second.
	Demand float32
	// Stamp is the daemon's wall clock in milliseconds. Of two reports by one
	// daemon for one key, the report with the larger Stamp is newer.
	Stamp uint64
}

const (
	// maxDaemons is the maximum number of daemons stored for one ceiling.
	// Reports of additional daemons are ignored.
	maxDaemons = 4096
	// expireAfter is the age at which a daemon's last report stops counting.
	expireAfter = 10 * time.Second
	// deleteAfter is the age at which an expired report is deleted. Until then
	// it is kept, so that the same report is recognized as old when a peer
	// sends it again.
	deleteAfter = 3 * expireAfter
)

// receivedReport is a report with the time at which this daemon received it.
type receivedReport struct {
	Report
	at model.Instant
	// expired is set once the report is older than expireAfter.
	expired bool
}

// reportTable holds the newest report of each daemon for one ceiling.
type reportTable struct {
	byDaemon map[Daemon]receivedReport
}

// merge stores a report. It returns false when the report is not newer than the
// stored one, or when its daemon is unknown and the table is full.
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

// expire marks or deletes old reports. Reports of self never expire.
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

// demandOfOthers returns the sum of the unexpired demand of all other daemons.
func (l *reportTable) demandOfOthers(self Daemon) float64 {
	sum := 0.0
	for d, h := range l.byDaemon {
		if d != self && !h.expired {
			sum += float64(h.Demand)
		}
	}
	return sum
}

// slotsOf returns the slots of one daemon when total slots are divided in
// proportion to demand by the largest-remainder method: each daemon gets its
// exact share rounded down, and the remaining slots go to the daemons with the
// largest remainders. Daemons that hold the same reports thus compute slots that
// add up to total.
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
