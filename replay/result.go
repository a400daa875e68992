package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/latency"
)

// Latency holds latency percentiles in microseconds.
type Latency = latency.Percentiles

// Stats are the results of a replay for one group of a service, or in total.
type Stats struct {
	// Service and Group are empty in the total.
	Service  model.ServiceName `json:"service,omitempty"`
	Group    model.GroupName   `json:"group,omitempty"`
	Requests int64             `json:"requests"`
	// Answered, NotRun and Unknown count the requests by outcome. NotRun means that
	// the request certainly was not executed, Unknown that it may have been.
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	// RunsTwice counts non-idempotent requests that ran more than once.
	RunsTwice int64 `json:"runs_twice"`
	// Latency is measured at the entry, from the arrival of a request to its
	// response. It covers answered requests only.
	Latency
	// SlotTimeShare is the group's share of the slot time that its service used.
	// Slot time is the time for which requests occupy slots of upstreams.
	SlotTimeShare float64 `json:"slot_time_share"`
	// MeasuringShare is the slot time charged for load reports, as a share of the
	// service's capacity. The capacity is the number of slots times the length of
	// the trace. All groups of a service have the same value. In Result.Total, the
	// value covers all services.
	MeasuringShare float64 `json:"measuring_share"`
	// Ideal is the latency of one central queue with perfect knowledge and no
	// network.
	Ideal Latency `json:"ideal"`
}

// Result is the outcome of a replay.
type Result struct {
	Total  Stats   `json:"total"`
	Groups []Stats `json:"groups"`
}

// groupKey identifies a group of a service.
type groupKey struct {
	service model.ServiceName
	group   model.GroupName
}

// groupCollector accumulates the results of one group.
type groupCollector struct {
	Stats
	latency  *latency.Histogram
	slotTime time.Duration
}

// collector accumulates the results of a replay.
type collector struct {
	total  *groupCollector
	groups map[groupKey]*groupCollector
}

func newGroupCollector() *groupCollector { return &groupCollector{latency: latency.NewHistogram()} }

func newCollector() *collector {
	return &collector{total: newGroupCollector(), groups: make(map[groupKey]*groupCollector)}
}

// groupOf returns the collector of the request's group and creates it if needed.
func (c *collector) groupOf(req *request) *groupCollector {
	k := groupKey{req.event.Service, req.event.Group}
	g := c.groups[k]
	if g == nil {
		g = newGroupCollector()
		g.Service, g.Group = k.service, k.group
		c.groups[k] = g
	}
	return g
}

func (c *collector) add(req *request, o outcome.Outcome, latency time.Duration) {
	c.total.add(req, o, latency)
	c.groupOf(req).add(req, o, latency)
}

func (c *collector) addSlotTime(req *request, d time.Duration) {
	c.total.slotTime += d
	c.groupOf(req).slotTime += d
}

func (g *groupCollector) add(req *request, o outcome.Outcome, latency time.Duration) {
	g.Requests++
	if !req.event.Idempotent && req.executionCount > 1 {
		g.RunsTwice++
	}
	switch o.Kind {
	case outcome.Answered:
		g.Answered++
		g.latency.Record(latency)
	case outcome.NotRun:
		g.NotRun++
	default:
		g.Unknown++
	}
}

// result returns the result of the replay, without the ideal bound.
func (c *collector) result(s *simulation) *Result {
	serviceSlotTime := make(map[model.ServiceName]time.Duration)
	for k, g := range c.groups {
		serviceSlotTime[k.service] += g.slotTime
	}
	r := &Result{Total: c.total.summarize(c.total.slotTime), Groups: []Stats{}}
	r.Total.MeasuringShare = s.measuringShare(s.guards)
	for k, g := range c.groups {
		stats := g.summarize(serviceSlotTime[k.service])
		stats.MeasuringShare = s.measuringShare(s.servicesByName[k.service].guards)
		r.Groups = append(r.Groups, stats)
	}
	slices.SortFunc(r.Groups, func(a, b Stats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})
	return r
}

// summarize returns the results of the group. serviceSlotTime is the slot time of the
// whole service. For the total, it is the slot time of all services.
func (g *groupCollector) summarize(serviceSlotTime time.Duration) Stats {
	stats := g.Stats
	stats.Latency = g.latency.Percentiles()
	if serviceSlotTime > 0 {
		stats.SlotTimeShare = float64(g.slotTime) / float64(serviceSlotTime)
	}
	return stats
}

// measuringShare returns the slot time that the guards charged for load reports, as a
// share of the capacity of their upstreams. It returns 0 if the trace has length 0.
func (s *simulation) measuringShare(guards []*guard) float64 {
	spent, slots := time.Duration(0), 0
	for _, g := range guards {
		spent += g.monitor.Spent()
		slots += g.upstream.Slots
	}
	if s.lastEventAt <= 0 {
		return 0
	}
	return float64(spent) / (float64(slots) * float64(s.lastEventAt))
}
