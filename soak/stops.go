package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

const (
	// maxStopGap is the longest time between two stops of a series.
	maxStopGap = 1400 * time.Millisecond
	// meanSeriesInterval is the mean time between the end of a series of stops and the next one.
	meanSeriesInterval = time.Second
	// meanChangeInterval is the mean time between two other planned faults of a StopsPlan.
	meanChangeInterval = 700 * time.Millisecond
	// minStopsDeadline is the shortest deadline of requests in a plan of planned faults.
	minStopsDeadline = 300 * time.Millisecond
	// nestedDeadline is the deadline of nested requests.
	nestedDeadline = 600 * time.Millisecond
)

// StopsPlan returns a plan of planned faults only. Most are series of stops of one daemon after
// another, or of several at a time, which overlap with reloads, new configurations and upstreams that are
// drained and replaced. In such a plan no request may be lost at any time.
func StopsPlan(seed uint64, vms int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, VMs: vms, Length: length}
	end := length - faultFreeEnd
	exponential := func(mean time.Duration) time.Duration {
		return time.Duration(rng.ExpFloat64() * float64(mean)).Round(time.Millisecond)
	}
	for at := faultFreeStart; at < end; at += exponential(meanSeriesInterval) {
		gap := time.Duration(rng.Int64N(int64(maxStopGap))).Round(time.Millisecond)
		for _, n := range rng.Perm(vms)[:1+rng.IntN(vms)] {
			p.Faults = append(p.Faults, Fault{At: at, Kind: kindTerm, Mode: "-", VM: n + 1})
			at += gap
		}
	}
	for at := faultFreeStart; at < end; at += exponential(meanChangeInterval) {
		kind := []string{kindReload, kindReload, kindConfig, kindDrain}[rng.IntN(4)]
		f := Fault{At: at, Kind: kind, Mode: "-"}
		if kind != kindConfig {
			f.VM = 1 + rng.IntN(vms)
		}
		p.Faults = append(p.Faults, f)
	}
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return f.At >= end })
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// onlyPlanned reports whether all faults of the plan are planned. Such a run needs no proxies, so
// daemons, upstreams and store are connected directly. Its upstreams share their machines with others.
func (p *Plan) onlyPlanned() bool {
	return !slices.ContainsFunc(p.Faults, func(f Fault) bool { return !plannedKinds[f.Kind] })
}

// hasNestedRequests reports whether requests need nested requests. Nested requests carry no key, so runs
// with client accounts have none.
func (p *Plan) hasNestedRequests() bool { return p.onlyPlanned() && !p.hasAccounts() }

// longRequestInterval returns how many requests there are for one that runs for seconds.
func (p *Plan) longRequestInterval() int64 {
	if p.onlyPlanned() {
		return stopsLongRequestInterval
	}
	return longRequestInterval
}

// deadline returns the deadline of a request, by its number.
func (p *Plan) deadline(n int64) time.Duration {
	if !p.onlyPlanned() {
		return requestDeadline
	}
	const steps = 12
	return minStopsDeadline + (requestDeadline-minStopsDeadline)*time.Duration(n%steps)/(steps-1)
}

// prepareForStops sets up a VM of a plan that has planned faults only.
func (h *harness) prepareForStops(m *vm, storeAddress string) {
	upstream := fmt.Sprintf("%s:%d", m.config.IP, portUpstream)
	m.config.Upstream, m.config.Store, m.config.Advertised = upstream, storeAddress, fmt.Sprintf("%s:%d", m.config.IP, portInternal)
	m.upstream.Reported, m.upstream.Spells = upstream, true
	if !h.plan.hasNestedRequests() {
		return
	}
	called := m.caller
	called.Service = serviceOf(m.group, 1)
	m.upstream.Call = func(ctx context.Context, attempt string) bool {
		id := fmt.Sprintf("%s.%d", attempt, h.nestedRequests.Add(1))
		r, err := h.sendChecked(ctx, m, &called, "/safe/x", id, false, nestedDeadline)
		return err == nil && r.Status == http.StatusOK
	}
}
