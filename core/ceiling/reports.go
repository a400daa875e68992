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
	// expireAfter is the age after which a daemon's last report no longer counts
	// in the sum of demand.
	expireAfter = 10 * time.Second
	// deleteAfter is the age at which an expired report is deleted. Until then
	// the report is kept: if a peer sends the same report again, this daemon must
	// recognize that it is old.
	deleteAfter = 3 * expireAfter
)

// receivedReport is a report with the time at which this daemon received it.
type receivedReport struct {
	Report
	receivedAt model.Instant
	// expired is set once the report is older than expireAfter.
	expired bool
}

// reportTable holds the newest report of each daemon for one ceiling.
type reportTable struct {
	byDaemon map[Daemon]receivedReport
}

// merge stores a report. It returns false, and stores nothing, if the report is not
// newer than the stored one. It also returns false if the table is full and holds
// no report of the same daemon.
func (t *reportTable) merge(now model.Instant, r Report) bool {
	old, known := t.byDaemon[r.Daemon]
	if known && old.Stamp >= r.Stamp {
		return false
	}
	if !known && len(t.byDaemon) >= maxDaemons {
		return false
	}
	t.byDaemon[r.Daemon] = receivedReport{Report: r, receivedAt: now}
	return true
}

// expire marks reports older than expireAfter as expired, and deletes those older
// than deleteAfter. The report of the daemon self never expires.
func (t *reportTable) expire(now model.Instant, self Daemon) {
	for d, report := range t.byDaemon {
		age := now.Sub(report.receivedAt)
		switch {
		case d == self || age <= expireAfter:
		case age > deleteAfter:
			delete(t.byDaemon, d)
		default:
			report.expired = true
			t.byDaemon[d] = report
		}
	}
}

// demandOfOthers returns the sum of the unexpired demand of all other daemons.
func (t *reportTable) demandOfOthers(self Daemon) float64 {
	sum := 0.0
	for d, report := range t.byDaemon {
		if d != self && !report.expired {
			sum += float64(report.Demand)
		}
	}
	return sum
}

// slotsOf divides totalSlots among the daemons with unexpired reports, in proportion
// to their demand, and returns the slots of the daemon self. It uses the
// largest-remainder method. Each daemon first gets its exact share rounded down. The
// slots that are left over go to the daemons with the largest remainders, one each;
// of equal remainders, the daemon with the smaller identifier gets the slot. The
// slots that daemons with the same reports compute therefore add up to totalSlots.
// slotsOf returns 0 if no daemon has demand or if there is no unexpired report of self.
func (t *reportTable) slotsOf(self Daemon, totalSlots int) int {
	type share struct {
		daemon     Daemon
		wholeSlots int
		remainder  float64
	}
	sum := 0.0
	for _, report := range t.byDaemon {
		if !report.expired {
			sum += float64(report.Demand)
		}
	}
	if sum <= 0 {
		return 0
	}
	shares := make([]share, 0, len(t.byDaemon))
	leftoverSlots := totalSlots
	for d, report := range t.byDaemon {
		if report.expired {
			continue
		}
		exact := float64(totalSlots) * float64(report.Demand) / sum
		shares = append(shares, share{daemon: d, wholeSlots: int(exact), remainder: exact - float64(int(exact))})
		leftoverSlots -= int(exact)
	}
	slices.SortFunc(shares, func(a, b share) int {
		return cmp.Or(cmp.Compare(b.remainder, a.remainder), cmp.Compare(a.daemon, b.daemon))
	})
	for i, s := range shares {
		if s.daemon != self {
			continue
		}
		if i < leftoverSlots {
			return s.wholeSlots + 1
		}
		return s.wholeSlots
	}
	return 0
}
