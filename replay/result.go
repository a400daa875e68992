package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/latency"
)

// Latency holds percentiles in microseconds.
type Latency = latency.Percentiles

// Stats are the outcome of a replay for one group, or for all.
type Stats struct {
	// Service and Group are empty in the total.
	Service  model.ServiceName `json:"service,omitempty"`
	Group    model.GroupName   `json:"group,omitempty"`
	Requests int64             `json:"requests"`
	Answered int64             `json:"answered"`
	NotRun   int64             `json:"not_run"`
	Unknown  int64             `json:"unknown"`
	// RunsTwice counts non-idempotent requests that ran more than once.
	RunsTwice int64 `json:"runs_twice"`
	// Latency covers answered requests, from the entry and back.
	Latency
	// SlotTimeShare is the group's part of the slot time that its service used.
	SlotTimeShare float64 `json:"slot_time_share"`
	// MeasuringShare is the part of the service's capacity, slots times the
	// length of the trace, that measuring took. It is the service's for each of
	// its groups.
	MeasuringShare float64 `json:"measuring_share"`
	// Ideal is the bound from one central queue with perfect knowledge.
	Ideal Latency `json:"ideal"`
}

// Result is the outcome of a replay.
type Result struct {
	Total  Stats   `json:"total"`
	Groups []Stats `json:"groups"`
}

// groupKey names a group of a service.
type groupKey struct {
	service model.ServiceName
	group   model.GroupName
}

// groupCollector collects the figures of one group.
type groupCollector struct {
	Stats
	latency  *latency.Histogram
	slotTime time.Duration
}

// collector collects the figures of a replay.
type collector struct {
	total  *groupCollector
	groups map[groupKey]*groupCollector
}

func newGroupCollector() *groupCollector { return &groupCollector{latency: latency.NewHistogram()} }

func newCollector() *collector {
	return &collector{total: newGroupCollector(), groups: make(map[groupKey]*groupCollector)}
}

func (b *collector) groupOf(req *request) *groupCollector {
	k := groupKey{req.event.Service, req.event.Group}
	a := b.groups[k]
	if a == nil {
		a = newGroupCollector()
		a.Service, a.Group = k.service, k.group
		b.groups[k] = a
	}
	return a
}

func (b *collector) add(req *request, o outcome.Outcome, latency time.Duration) {
	b.total.add(req, o, latency)
	b.groupOf(req).add(req, o, latency)
}

func (b *collector) addSlotTime(req *request, d time.Duration) {
	b.total.slotTime += d
	b.groupOf(req).slotTime += d
}

func (a *groupCollector) add(req *request, o outcome.Outcome, latency time.Duration) {
	a.Requests++
	if !req.event.Idempotent && req.executions > 1 {
		a.RunsTwice++
	}
	switch o.Kind {
	case outcome.Answered:
		a.Answered++
		a.latency.Record(latency)
	case outcome.NotRun:
		a.NotRun++
	default:
		a.Unknown++
	}
}

// result closes the book.
func (b *collector) result(s *simulation) *Result {
	slot := make(map[model.ServiceName]time.Duration)
	for k, a := range b.groups {
		slot[k.service] += a.slotTime
	}
	r := &Result{Total: b.total.summarize(b.total.slotTime), Groups: []Stats{}}
	r.Total.MeasuringShare = s.measuringShare(s.guards)
	for k, a := range b.groups {
		f := a.summarize(slot[k.service])
		f.MeasuringShare = s.measuringShare(s.services[k.service].guards)
		r.Groups = append(r.Groups, f)
	}
	slices.SortFunc(r.Groups, func(a, b Stats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})
	return r
}

func (a *groupCollector) summarize(service time.Duration) Stats {
	f := a.Stats
	f.Latency = a.latency.Percentiles()
	if service > 0 {
		f.SlotTimeShare = float64(a.slotTime) / float64(service)
	}
	return f
}

// measuringShare is the part of the guards' capacity that measuring took.
func (s *simulation) measuringShare(guards []*guard) float64 {
	spent, slots := time.Duration(0), 0
	for _, g := range guards {
		spent += g.monitor.Spent()
		slots += g.upstream.Slots
	}
	if s.end <= 0 {
		return 0
	}
	return float64(spent) / (float64(slots) * float64(s.end))
}
