package ceiling

import (
	"math"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Key names a ceiling.
type Key struct {
	Service model.ServiceName
	Group   model.GroupName
}

// Limits are a group's ceilings over all daemons. Zero means none.
type Limits struct {
	// Rate is in requests a second.
	Rate float64
	// Concurrency is the number of requests in flight.
	Concurrency int
}

const (
	// demandHalfLife is the age at which an arrival counts half.
	demandHalfLife = time.Second
	// burstTime is the time for which unused rate is saved up.
	burstTime = 100 * time.Millisecond
	// initialShare is the part of a ceiling that a daemon may use at least of a
	// rate, and at most (of a concurrency: one slot at least) until it has had
	// demand for newcomerTime, since the reports of others may be on their way.
	initialShare  = 1.0 / 32
	initialPeriod = 3 * time.Second
	// reportThreshold is the relative change of demand that is worth a report,
	// reportEvery the longest time between two.
	reportThreshold = 0.1
	reportInterval  = 3 * time.Second
	// idleDemand is the demand in requests a second below which a daemon
	// reports none.
	idleDemand = 0.01
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
)

// Ceiling is one daemon's part in one ceiling. It is not safe for concurrent
// use.
type Ceiling struct {
	key     uint64
	self    Daemon
	limits  Limits
	reports reportTable

	demand   float64
	arrivals int
	inFlight int
	lastTick model.Instant

	// rate and slots are this daemon's parts.
	rate       float64
	slots      int
	tokens     float64
	lastRefill model.Instant

	// demandSince is when the present demand began.
	demandSince    model.Instant
	reportedDemand float64
	reportedAt     model.Instant
	hasReported    bool
}

// New returns a Ceiling. key is the hash of its Key.
func New(now model.Instant, key uint64, self Daemon, limits Limits) *Ceiling {
	c := &Ceiling{key: key, self: self, reports: reportTable{byDaemon: make(map[Daemon]receivedReport)}, lastTick: now, lastRefill: now}
	c.SetLimits(limits)
	c.tokens = max(1, c.rate*burstTime.Seconds())
	return c
}

// SetLimits changes the limits.
func (c *Ceiling) SetLimits(l Limits) {
	c.limits = l
	c.updateShares()
}

// Arrive asks to let one request in. When it reports true the request counts as
// in flight until Leave. Otherwise it returns what to tell the caller to wait.
func (c *Ceiling) Arrive(now model.Instant) (time.Duration, bool) {
	c.arrivals++
	c.refill(now)
	if c.limits.Concurrency > 0 && c.inFlight >= c.slots {
		return retryAfter, false
	}
	if c.limits.Rate > 0 {
		if c.tokens < 1 {
			return retryAfter, false
		}
		c.tokens--
	}
	c.inFlight++
	return 0, true
}

// Leave tells that a request that was let in has ended.
func (c *Ceiling) Leave() { c.inFlight-- }

// Part returns this daemon's part of the rate and of the concurrency.
func (c *Ceiling) Part() (rate float64, slots int) { return c.rate, c.slots }

// Tick brings demand and parts up to date. It is called several times a second.
// It returns a report when the others should hear of a change; stamp is the
// wall clock in milliseconds.
func (c *Ceiling) Tick(now model.Instant, stamp uint64) (Report, bool) {
	c.updateDemand(now)
	c.reports.expire(now, c.self)
	r, due := c.nextReport(now, stamp)
	if due {
		c.reports.merge(now, r)
	}
	c.updateShares()
	return r, due
}

// Merge takes in another daemon's report and tells whether it was news.
func (c *Ceiling) Merge(now model.Instant, r Report) bool {
	if r.Daemon == c.self || !(r.Demand >= 0) || math.IsInf(float64(r.Demand), 0) {
		return false
	}
	return c.reports.merge(now, r)
}

// Reports returns the reports that count now, this daemon's own among them.
func (c *Ceiling) Reports() []Report {
	out := make([]Report, 0, len(c.reports.byDaemon))
	for _, h := range c.reports.byDaemon {
		if !h.expired {
			out = append(out, h.Report)
		}
	}
	return out
}

func (c *Ceiling) updateDemand(now model.Instant) {
	passed := now.Sub(c.lastTick)
	if passed <= 0 {
		return
	}
	retained := math.Exp2(-float64(passed) / float64(demandHalfLife))
	rate := float64(c.arrivals) / passed.Seconds()
	c.demand = retained*c.demand + (1-retained)*rate
	if c.demand < idleDemand {
		c.demand = 0
	}
	c.arrivals, c.lastTick = 0, now
}

// nextReport returns the daemon's nextReport when its demand has changed enough or the
// last nextReport is old. A daemon without demand reports that once.
func (c *Ceiling) nextReport(now model.Instant, stamp uint64) (Report, bool) {
	changed := math.Abs(c.demand-c.reportedDemand) > reportThreshold*max(c.reportedDemand, idleDemand)
	old := c.demand > 0 && now.Sub(c.reportedAt) >= reportInterval
	if c.hasReported && !changed && !old || !c.hasReported && c.demand == 0 {
		return Report{}, false
	}
	if c.reportedDemand == 0 {
		c.demandSince = now
	}
	if changed {
		// A refreshed report repeats the figure, so that parts stay put while
		// demand is steady.
		c.reportedDemand = c.demand
	}
	c.reportedAt, c.hasReported = now, true
	return Report{Key: c.key, Daemon: c.self, Demand: float32(c.reportedDemand), Stamp: stamp}, true
}

// updateShares works out this daemon's parts from the reports.
func (c *Ceiling) updateShares() {
	own := 0.0
	if h, ok := c.reports.byDaemon[c.self]; ok {
		own = float64(h.Demand)
	}
	others := c.reports.demandOfOthers(c.self)
	if own == 0 || c.lastTick.Sub(c.demandSince) < initialPeriod {
		c.rate = c.limits.Rate * initialShare
		c.slots = max(1, int(float64(c.limits.Concurrency)*initialShare))
		return
	}
	c.rate = c.limits.Rate * max(own/(own+others), initialShare)
	c.slots = c.reports.slotsOf(c.self, c.limits.Concurrency)
}

func (c *Ceiling) refill(now model.Instant) {
	passed := now.Sub(c.lastRefill)
	if passed <= 0 {
		return
	}
	c.tokens = min(c.tokens+c.rate*passed.Seconds(), max(1, c.rate*burstTime.Seconds()))
	c.lastRefill = now
}
