package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Fault is one fault injection of a plan.
type Fault struct {
	// At is the time from the start of the traffic.
	At time.Duration
	// Kind is the kind of fault.
	Kind string
	// VM is the number of the VM with the fault, from 1. It is 0 for a fault that concerns
	// no single VM, see vmOptionalKinds.
	VM int
	// Mode is the variant of the kind.
	Mode string
	// Duration is how long the fault lasts.
	Duration time.Duration
}

// String returns the line of a fault in a plan.
func (f Fault) String() string {
	return fmt.Sprintf("%d %s %d %s %d", f.At.Milliseconds(), f.Kind, f.VM, f.Mode, f.Duration.Milliseconds())
}

// Plan describes a soak run completely, so that it can be replayed.
type Plan struct {
	Seed   uint64
	VMs    int
	Length time.Duration
	Faults []Fault
}

// The kinds of faults.
const (
	kindKill           = "kill"
	kindTerm           = "term"
	kindPause          = "pause"
	kindReload         = "reload"
	kindPeerProxy      = "peers"     // the proxy in front of the address for other daemons
	kindUpstreamProxy  = "app"       // the proxy between a daemon and its upstream
	kindStoreProxy     = "store-via" // the proxy between a daemon and the store
	kindStore          = "store"
	kindUpstream       = "upstream"
	kindCrash          = "crash"
	kindDrain          = "drain"
	kindConfig         = "config"
	kindInvalidRecords = "foreign" // records of an unknown writer in the store, which are invalid
	kindPoison         = "poison"  // a request that crashes upstreams, sent repeatedly
	kindKillAll        = "herd"    // all daemons are killed at once
	kindReplace        = "replace" // a VM is replaced by one of another service at the same address
)

// faultModes lists the modes of each kind. A dash stands for the only mode of a kind.
//
// Proxies: delay and trickle slow connections down, reset resets connections and drops
// datagrams, silent drops all traffic, and half drops the traffic from the target to the client.
//
// Store: busy and many respond with 503 and 429, silent never responds, slow responds late,
// lost executes appends without a response, late executes appends late without a response, and
// forget loses the operator's records.
//
// Upstreams: lose executes requests and closes the connection without a response, shed rejects
// requests without execution, err executes requests and responds with status 500, hang executes
// requests and never responds, cut truncates responses, double sends a second response, slow
// takes ten times as long, and untold omits the load.
//
// Crash: the upstream restarts with the same-id or a new-id. Replace: the old VM is gone
// (connections break) or dark (its peer traffic is dropped).
var faultModes = map[string][]string{
	kindKill: {"-"}, kindTerm: {"-"}, kindPause: {"-"}, kindReload: {"-"},
	kindPeerProxy:     {"delay", "reset", "silent", "half", "trickle"},
	kindUpstreamProxy: {"delay", "reset", "silent"},
	kindStoreProxy:    {"reset", "silent", "half"},
	kindStore:         {"busy", "many", "silent", "slow", "lost", "late", "forget"},
	kindUpstream:      {"lose", "shed", "err", "hang", "cut", "double", "slow", "untold"},
	kindCrash:         {"same-id", "new-id"}, kindDrain: {"-"}, kindConfig: {"-"}, kindInvalidRecords: {"-"}, kindPoison: {"-"}, kindKillAll: {"-"},
	kindReplace: {"gone", "dark"},
}

// vmOptionalKinds are the kinds with an optional VM: without one, the fault concerns no
// single VM or all of them.
var vmOptionalKinds = map[string]bool{
	kindStore: true, kindConfig: true, kindInvalidRecords: true, kindPoison: true, kindUpstream: true, kindKillAll: true,
}

// kindWeights are the relative frequencies with which the kinds are drawn.
var kindWeights = []struct {
	kind string
	n    int
}{
	{kindKill, 4}, {kindTerm, 4}, {kindPause, 2}, {kindReload, 2}, {kindPeerProxy, 5}, {kindUpstreamProxy, 2}, {kindStoreProxy, 3},
	{kindStore, 4}, {kindUpstream, 5}, {kindCrash, 3}, {kindDrain, 3}, {kindConfig, 5}, {kindInvalidRecords, 1}, {kindPoison, 1},
	{kindKillAll, 1}, {kindReplace, 2},
}

const (
	// faultFreeStart and faultFreeEnd are the lengths of the periods without faults at the
	// start and the end of a plan. Recovery is checked in the latter.
	faultFreeStart = 2 * time.Second
	faultFreeEnd   = 12 * time.Second
	// meanFaultInterval is the mean time between two faults. Each fault lasts between
	// minFaultDuration and maxFaultDuration.
	meanFaultInterval = 500 * time.Millisecond
	minFaultDuration  = 300 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	// The first 1/plannedOnlyDivisor of a plan has faults of plannedKinds only. Whether
	// they lose requests cannot be checked while unplanned faults are injected.
	plannedOnlyDivisor = 3
)

// RandomPlan returns a plan of random faults. The same arguments give the same plan.
func RandomPlan(seed uint64, vms int, length time.Duration) Plan {
	rng := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, VMs: vms, Length: length}
	at := faultFreeStart
	for {
		at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)).Round(time.Millisecond)
		if at >= length-faultFreeEnd {
			return p
		}
		kind := drawKind(rng, at < length/plannedOnlyDivisor)
		f := Fault{At: at, Kind: kind, Mode: faultModes[kind][rng.IntN(len(faultModes[kind]))]}
		f.Duration = (minFaultDuration + time.Duration(rng.Float64()*float64(maxFaultDuration-minFaultDuration))).Round(time.Millisecond)
		f.Duration = min(f.Duration, length-faultFreeEnd-at)
		if kind == kindUpstream || !vmOptionalKinds[kind] {
			f.VM = 1 + rng.IntN(vms)
		}
		p.Faults = append(p.Faults, f)
	}
}

// drawKind draws a kind of fault according to kindWeights.
func drawKind(rng *rand.Rand, plannedOnly bool) string {
	for {
		total := 0
		for _, w := range kindWeights {
			total += w.n
		}
		n := rng.IntN(total)
		for _, w := range kindWeights {
			if n -= w.n; n >= 0 {
				continue
			}
			if plannedOnly && !plannedKinds[w.kind] {
				break
			}
			return w.kind
		}
	}
}

// WriteTo writes a plan in the text format of ReadPlan.
func (p *Plan) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "soak %d %d %d\n", p.Seed, p.VMs, p.Length.Milliseconds())
	for _, f := range p.Faults {
		fmt.Fprintln(&b, f)
	}
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}

// PlanError reports an invalid line of a plan. Line is 0 if there is no plan at all.
type PlanError struct {
	Line int
	Text string
}

// Error returns the number and the text of the line.
func (e *PlanError) Error() string {
	return fmt.Sprintf("plan: line %d is invalid: %q", e.Line, e.Text)
}

// ReadPlan parses a plan. Lines that begin with # are comments. The error is a *PlanError if a
// line is invalid.
func ReadPlan(r io.Reader) (Plan, error) {
	var p Plan
	s := bufio.NewScanner(r)
	for line := 1; s.Scan(); line++ {
		text := s.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		bad := &PlanError{Line: line, Text: text}
		if p.VMs == 0 {
			var ms int64
			if _, err := fmt.Sscanf(text, "soak %d %d %d", &p.Seed, &p.VMs, &ms); err != nil || p.VMs < 1 || ms < 1 {
				return p, bad
			}
			p.Length = time.Duration(ms) * time.Millisecond
			continue
		}
		var f Fault
		var at, length int64
		if _, err := fmt.Sscanf(text, "%d %s %d %s %d", &at, &f.Kind, &f.VM, &f.Mode, &length); err != nil {
			return p, bad
		}
		if !slices.Contains(faultModes[f.Kind], f.Mode) || f.VM < 0 || f.VM > p.VMs || f.VM == 0 && !vmOptionalKinds[f.Kind] {
			return p, bad
		}
		f.At, f.Duration = time.Duration(at)*time.Millisecond, time.Duration(length)*time.Millisecond
		p.Faults = append(p.Faults, f)
	}
	if p.VMs == 0 {
		return p, &PlanError{Text: "no plan"}
	}
	return p, s.Err()
}

// Shrink returns a smaller plan that still fails. It removes blocks of faults, halving the
// block size down to single faults, and keeps each removal after which fails reports true.
func Shrink(p Plan, fails func(Plan) bool) Plan {
	for size := (len(p.Faults) + 1) / 2; size >= 1; size /= 2 {
		for from := 0; from < len(p.Faults); {
			less := p
			less.Faults = slices.Concat(p.Faults[:from], p.Faults[min(from+size, len(p.Faults)):])
			if fails(less) {
				p = less
			} else {
				from += size
			}
		}
	}
	return p
}
