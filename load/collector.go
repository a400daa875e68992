package load

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/latency"
)

const (
	// pointInterval is the time that one point of a series covers.
	pointInterval = time.Second
	// maxWrongAnswers is the maximum number of wrong responses that a result
	// describes. All other wrong responses are only counted.
	maxWrongAnswers = 10
)

// sample is the measurement of one completed request.
type sample struct {
	request *Request
	reply   Reply
	// due is the time from the start of the run until the request was due.
	due time.Duration
	// sendLag is the time from when the request was due until it was sent.
	sendLag time.Duration
	// latency is the time from when the request was due until its response was
	// complete.
	latency time.Duration
}

// groupKey identifies a group of a service.
type groupKey struct {
	service model.ServiceName
	group   model.GroupName
}

// collector accumulates the samples of a run. It is safe for concurrent use.
type collector struct {
	mu           sync.Mutex
	total        *groupCollector
	groups       map[groupKey]*groupCollector
	sendLag      *latency.Histogram
	heldCount    int64    // requests that waited because of Plan.MaxInFlight
	wrongAnswers []string // descriptions of the first wrong responses
	wrongCount   int64    // all wrong responses
}

// groupCollector accumulates the samples of one group, or of all groups for the total.
type groupCollector struct {
	stats    Stats
	latency  *latency.Histogram
	slotTime time.Duration     // sum of the costs of the answered requests
	points   []*pointCollector // one for each pointInterval since the start of the run
}

// pointCollector accumulates the samples of the requests due in one pointInterval.
type pointCollector struct {
	Point
	latency *latency.Histogram
}

func newGroupCollector() *groupCollector { return &groupCollector{latency: latency.NewHistogram()} }

func newCollector(p Plan) *collector {
	c := &collector{total: newGroupCollector(), groups: make(map[groupKey]*groupCollector), sendLag: latency.NewHistogram()}
	for _, s := range p.Sources {
		k := groupKey{s.Service, s.Group}
		if c.groups[k] == nil {
			c.groups[k] = newGroupCollector()
			c.groups[k].stats.Service, c.groups[k].stats.Group = k.service, k.group
		}
	}
	return c
}

// countHeld counts a request that must wait because max_in_flight is reached.
func (c *collector) countHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldCount++
}

func (c *collector) add(s sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLag.Record(s.sendLag)
	c.total.add(s)
	c.groups[groupKey{s.request.Service, s.request.Group}].add(s)
	if s.reply.Wrong == "" {
		return
	}
	c.wrongCount++
	if len(c.wrongAnswers) < maxWrongAnswers {
		c.wrongAnswers = append(c.wrongAnswers, s.request.Name+": "+s.reply.Wrong)
	}
}

func (g *groupCollector) add(s sample) {
	p := g.pointAt(s.due)
	g.stats.Requests++
	if s.reply.Reason != "" {
		if g.stats.Reasons == nil {
			g.stats.Reasons = make(map[string]int64)
		}
		g.stats.Reasons[s.reply.Reason]++
	}
	switch s.reply.Kind {
	case outcome.Answered:
		g.stats.Answered++
		p.Answered++
		g.slotTime += time.Duration(s.request.Cost)
		p.SlotTimeUs += time.Duration(s.request.Cost).Microseconds()
		g.latency.Record(s.latency)
		p.latency.Record(s.latency)
	case outcome.NotRun:
		g.stats.NotRun++
		p.NotRun++
	default:
		g.stats.Unknown++
		p.Unknown++
	}
}

// pointAt returns the collector of the interval that contains a due time. It creates
// the collectors up to that interval if needed.
func (g *groupCollector) pointAt(due time.Duration) *pointCollector {
	index := int(due / pointInterval)
	for len(g.points) <= index {
		startMs := int64(len(g.points)) * pointInterval.Milliseconds()
		g.points = append(g.points, &pointCollector{Point: Point{AtMs: startMs}, latency: latency.NewHistogram()})
	}
	return g.points[index]
}

func (c *collector) progress(elapsed time.Duration, inFlight int) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	stats := c.total.stats
	return Progress{
		Elapsed:  elapsed,
		Requests: stats.Requests,
		Answered: stats.Answered,
		NotRun:   stats.NotRun,
		Unknown:  stats.Unknown,
		InFlight: inFlight,
		P99:      time.Duration(c.total.latency.Percentiles().P99) * time.Microsecond,
	}
}

func (c *collector) result(p Plan) *Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	serviceSlotTime := make(map[model.ServiceName]time.Duration)
	for k, g := range c.groups {
		serviceSlotTime[k.service] += g.slotTime
	}
	r := &Result{
		DurationMs:   time.Duration(p.Duration).Milliseconds(),
		Seed:         p.Seed,
		Total:        c.total.summarize(c.total.slotTime),
		Groups:       []Stats{},
		SendLagP99Us: c.sendLag.Percentiles().P99,
		Held:         c.heldCount,
		Wrong:        c.wrongCount,
		WrongAnswers: c.wrongAnswers,
	}
	for k, g := range c.groups {
		r.Groups = append(r.Groups, g.summarize(serviceSlotTime[k.service]))
	}
	slices.SortFunc(r.Groups, func(a, b Stats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})
	return r
}

// summarize computes the results of the group. serviceSlotTime is the slot time of the
// whole service. For the total, it is the slot time of all services.
func (g *groupCollector) summarize(serviceSlotTime time.Duration) Stats {
	stats := g.stats
	stats.Latency = g.latency.Percentiles()
	if serviceSlotTime > 0 {
		stats.SlotTimeShare = g.slotTime.Seconds() / serviceSlotTime.Seconds()
	}
	for _, p := range g.points {
		p.Latency = p.latency.Percentiles()
		stats.Series = append(stats.Series, p.Point)
	}
	return stats
}
