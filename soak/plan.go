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
	// At is the time from the start of the callers to the injection of the fault.
	At time.Duration
	// Kind is the kind of fault.
	Kind string
	// VM is the number of the VM with the fault, from 1. It is 0 if the fault concerns no
	// single VM. Only the kinds in vmOptionalKinds allow that.
	VM int
	// Mode is the variant of the fault, one of the faultModes of its kind.
	Mode string
	// Duration is how long the fault lasts. A fault without a lasting effect, such as a kill, ends
	// at once.
	Duration time.Duration
}

// String returns the line of the fault in the text format of a plan. Times are in milliseconds.
func (f Fault) String() string {
	return fmt.Sprintf("%d %s %d %s %d", f.At.Milliseconds(), f.Kind, f.VM, f.Mode, f.Duration.Milliseconds())
}

// Plan describes a soak run completely, so that it can be replayed.
type Plan struct {
	// Seed determines which loopback network the run tries first. RandomPlan also draws the
	// faults from it.
	Seed uint64
	// VMs is the number of VMs.
	VMs int
	// Length is how long callers send requests.
	Length time.Duration
	// Faults are the faults in the order in which they are injected.
	Faults []Fault
}

// The kinds of faults.
const (
	kindKill           = "kill"      // a daemon receives SIGKILL
	kindTerm           = "term"      // a daemon receives SIGTERM
	kindPause          = "pause"     // a daemon is paused and resumed
	kindReload         = "reload"    // a daemon receives SIGHUP
	kindPeerProxy      = "peers"     // the proxy in front of the address for other daemons fails
	kindUpstreamProxy  = "app"       // the proxy between a daemon and its upstream fails
	kindStoreProxy     = "store-via" // the proxy between a daemon and the store fails
	kindStore          = "store"     // the store fails
	kindUpstream       = "upstream"  // one upstream or all upstreams fail requests
	kindCrash          = "crash"     // an upstream crashes and restarts
	kindDrain          = "drain"     // an upstream drains and is replaced
	kindConfig         = "config"    // a new version of the configuration is published
	kindInvalidRecords = "foreign"   // an unknown writer puts invalid records into the store
	kindPoison         = "poison"    // a request that crashes upstreams is sent repeatedly
	kindKillAll        = "herd"      // all daemons are killed at once
	kindCold           = "cold"      // an upstream becomes cold
	kindEvacuate       = "evacuate"  // the zone of a VM is evacuated, and taken back cold
	kindLimit          = "limit"     // an upstream limits the rate of its requests for a while
	kindLeave          = "leave"     // an upstream leaves and tells so in its responses only
	kindReport         = "report"    // a report arrives late, or comes from another writer than the upstream
	kindDepart         = "depart"    // a daemon is killed, and its upstream departs when the daemon has just started
	kindCut            = "cut"       // links between daemons are cut
	kindReplace        = "replace"   // a VM is replaced by one of another service at the same address
)

// faultModes lists the modes of each kind. A dash stands for the only mode of a kind.
var faultModes = map[string][]string{
	kindKill: {"-"}, kindTerm: {"-"}, kindPause: {"-"}, kindReload: {"-"},
	// In modes delay and trickle a proxy slows TCP connections down. In mode reset it resets
	// TCP connections and drops datagrams to the target. In mode silent it drops all traffic.
	// In mode half it drops the traffic from the target to the client.
	kindPeerProxy:     {"delay", "reset", "silent", "half", "trickle"},
	kindUpstreamProxy: {"delay", "reset", "silent"},
	kindStoreProxy:    {"reset", "silent", "half"},
	// The store responds with status 503 in mode busy and with 429 in mode many. In mode silent it
	// never responds, and in mode slow it responds late. In mode lost it executes appends at once
	// but never responds to them. In mode late it executes appends after a delay and never responds
	// to them. In mode forget it loses the operator's records.
	kindStore: {"busy", "many", "silent", "slow", "lost", "late", "forget"},
	// In mode shed the upstream rejects requests without execution. In all other modes it
	// executes requests. In mode lose it closes the connection without a response. In mode err
	// it responds with status 500. In mode hang it never responds. In mode cut it truncates
	// responses. In mode double it sends a second response. In mode slow it takes ten times as
	// long. In mode untold it omits the load from responses.
	kindUpstream: {"lose", "shed", "err", "hang", "cut", "double", "slow", "untold"},
	// The upstream restarts with the same id or with a new id.
	kindCrash: {"same-id", "new-id"}, kindDrain: {"-"}, kindConfig: {"-"}, kindInvalidRecords: {"-"}, kindPoison: {"-"}, kindKillAll: {"-"},
	kindCold: {"-"}, kindEvacuate: {"-"},
	// The upstream takes 10 requests a second, 2.5, or none.
	kindLimit: {"some", "few", "none"}, kindLeave: {"same-id", "new-id"},
	// The report names a service that is not configured, or the service of the upstream and another id, or arrives after
	// the duration of the fault.
	kindReport: {"service", "writer", "late"},
	// The departure is a deregistration that states the start of the upstream, one that does not, or a report.
	kindDepart: {"start", "no-start", "draining"},
	// The daemon of a VM and all others do not reach each other: connections are reset in mode refuse, and silent in mode
	// silent. In mode out nothing arrives that the daemon sends. In mode halves the zone of the VM is cut in two, and
	// connections between them are reset.
	kindCut: {"refuse", "silent", "out", "halves"},
	// In mode gone the connections to the old VM break. In mode dark its peer traffic is
	// dropped.
	kindReplace: {"gone", "dark"},
}

// vmOptionalKinds are the kinds whose faults may name no VM. Such a fault concerns all VMs or no
// VM in particular.
var vmOptionalKinds = map[string]bool{
	kindStore: true, kindConfig: true, kindInvalidRecords: true, kindPoison: true, kindUpstream: true, kindKillAll: true,
}

// kindWeights are the relative frequencies with which the kinds are drawn.
var kindWeights = []struct {
	kind   string
	weight int
}{
	{kindKill, 4}, {kindTerm, 4}, {kindPause, 2}, {kindReload, 2}, {kindPeerProxy, 5}, {kindUpstreamProxy, 2}, {kindStoreProxy, 3},
	{kindStore, 4}, {kindUpstream, 5}, {kindCrash, 3}, {kindDrain, 3}, {kindConfig, 5}, {kindInvalidRecords, 1}, {kindPoison, 1},
	{kindKillAll, 1}, {kindReplace, 2}, {kindCold, 2}, {kindEvacuate, 1},
	{kindLimit, 3}, {kindLeave, 2}, {kindReport, 3},
}

const (
	// faultFreeStart is the length of the period without faults at the start of a plan.
	faultFreeStart = 2 * time.Second
	// faultFreeEnd is the length of the period without faults at the end of a plan. Recovery
	// from the faults is checked in this period.
	faultFreeEnd = 12 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 500 * time.Millisecond
	// minFaultDuration is the shortest duration that is drawn for a fault.
	minFaultDuration = 300 * time.Millisecond
	// maxFaultDuration is the longest duration that is drawn for a fault.
	maxFaultDuration = 4 * time.Second
	// maxReportDelay is the longest time after a kill of all daemons at which a late report arrives, or one of
	// another writer.
	maxReportDelay = 3 * time.Second
	// plannedOnlyDivisor determines the first part of a plan, which has only faults of
	// plannedKinds. Its length is the length of the plan divided by plannedOnlyDivisor. Whether
	// planned faults lose requests cannot be checked while unplanned faults are injected.
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
			p.merge(departures(seed, vms, length/plannedOnlyDivisor, length-faultFreeEnd))
			p.merge(drawCuts(seed, vms, length/plannedOnlyDivisor, length-faultFreeEnd))
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
		if kind == kindKillAll {
			p.Faults = append(p.Faults, reportsAfterKillOfAll(rng, at, length-faultFreeEnd, vms)...)
		}
	}
}

// reportsAfterKillOfAll draws reports that arrive when all daemons have just been killed at the instant at, at end at
// the latest.
func reportsAfterKillOfAll(rng *rand.Rand, at, end time.Duration, vms int) []Fault {
	var faults []Fault
	for vm := 1; vm <= vms; vm++ {
		mode := faultModes[kindReport][rng.IntN(len(faultModes[kindReport]))]
		delay := (time.Duration(rng.Float64() * float64(maxReportDelay))).Round(time.Millisecond)
		faults = append(faults, Fault{At: at, Kind: kindReport, VM: vm, Mode: mode, Duration: min(delay, end-at)})
	}
	return faults
}

// drawKind draws a kind of fault according to kindWeights. If plannedOnly is set, it draws again
// until the kind is one of plannedKinds.
func drawKind(rng *rand.Rand, plannedOnly bool) string {
	for {
		total := 0
		for _, w := range kindWeights {
			total += w.weight
		}
		n := rng.IntN(total)
		for _, w := range kindWeights {
			if n -= w.weight; n >= 0 {
				continue
			}
			if plannedOnly && !plannedKinds[w.kind] {
				break
			}
			return w.kind
		}
	}
}

// WriteTo writes a plan in the text format of ReadPlan. It returns the number of bytes written.
func (p *Plan) WriteTo(w io.Writer) (int64, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "soak %d %d %d\n", p.Seed, p.VMs, p.Length.Milliseconds())
	for _, f := range p.Faults {
		fmt.Fprintln(&b, f)
	}
	n, err := io.WriteString(w, b.String())
	return int64(n), err
}

// PlanError reports an invalid line of a plan, or that a text contains no plan.
type PlanError struct {
	// Line is the number of the line, from 1. It is 0 if there is no plan.
	Line int
	// Text is the text of the line, or "no plan" if there is no plan.
	Text string
}

// Error returns the number and the text of the line.
func (e *PlanError) Error() string {
	return fmt.Sprintf("plan: line %d is invalid: %q", e.Line, e.Text)
}

// ReadPlan parses a plan. The first line is "soak SEED VMS LENGTH", with the length in
// milliseconds. Each further line is a fault as Fault.String returns it. Empty lines and lines
// that begin with # are skipped. The error is a *PlanError if a line is invalid or there is no plan.
func ReadPlan(r io.Reader) (Plan, error) {
	var p Plan
	s := bufio.NewScanner(r)
	for line := 1; s.Scan(); line++ {
		text := s.Text()
		if text == "" || text[0] == '#' {
			continue
		}
		planErr := &PlanError{Line: line, Text: text}
		if p.VMs == 0 {
			var lengthMs int64
			if _, err := fmt.Sscanf(text, "soak %d %d %d", &p.Seed, &p.VMs, &lengthMs); err != nil || p.VMs < 1 || lengthMs < 1 {
				return p, planErr
			}
			p.Length = time.Duration(lengthMs) * time.Millisecond
			continue
		}
		var f Fault
		var atMs, durationMs int64
		if _, err := fmt.Sscanf(text, "%d %s %d %s %d", &atMs, &f.Kind, &f.VM, &f.Mode, &durationMs); err != nil {
			return p, planErr
		}
		if !slices.Contains(faultModes[f.Kind], f.Mode) || f.VM < 0 || f.VM > p.VMs || f.VM == 0 && !vmOptionalKinds[f.Kind] {
			return p, planErr
		}
		f.At, f.Duration = time.Duration(atMs)*time.Millisecond, time.Duration(durationMs)*time.Millisecond
		p.Faults = append(p.Faults, f)
	}
	if p.VMs == 0 {
		return p, &PlanError{Text: "no plan"}
	}
	return p, s.Err()
}

// Shrink removes faults from a failing plan and returns a smaller plan that still fails. It tries
// to remove each block of faults in turn. A block is half of the faults at first, and the size is
// halved until blocks are single faults. A removal is kept if fails reports that the remaining
// plan fails.
func Shrink(p Plan, fails func(Plan) bool) Plan {
	for size := (len(p.Faults) + 1) / 2; size >= 1; size /= 2 {
		for start := 0; start < len(p.Faults); {
			candidate := p
			candidate.Faults = slices.Concat(p.Faults[:start], p.Faults[min(start+size, len(p.Faults)):])
			if fails(candidate) {
				p = candidate
			} else {
				start += size
			}
		}
	}
	return p
}
