package replay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Fault is a kind of fault in a trace.
type Fault string

// Faults of the simulated system.
const (
	// Straggle multiplies service times by Event.Factor.
	Straggle Fault = "straggle"
	// Drain makes the upstream leave gracefully. When the fault ends, the
	// upstream restarts under the same name as a new incarnation. The number of the
	// incarnation rises with every restart.
	Drain Fault = "drain"
	// FailFast makes the upstream fail requests almost instantly, without
	// executing them.
	FailFast Fault = "fail_fast"
	// ColdStart multiplies service times by Event.Factor at first. The multiplier
	// decreases linearly to 1 while the fault lasts, which is at least one second.
	ColdStart Fault = "cold_start"
	// Crash ends all running requests and refuses connections. When the fault
	// ends, the upstream restarts as a new incarnation.
	Crash Fault = "crash"
	// Recover immediately ends every fault of the target.
	Recover Fault = "recover"
	// Misreport multiplies the load in the upstream's load reports by
	// Event.Factor.
	Misreport Fault = "misreport"
	// PartitionZone cuts the connections between a zone and all others.
	PartitionZone Fault = "partition_zone"
	// LogDown makes the membership log unavailable. Entries receive membership
	// changes only after the fault.
	LogDown Fault = "log_down"
	// PauseDaemon pauses the daemon on the VM of an upstream.
	PauseDaemon Fault = "pause_daemon"
)

var knownFaults = map[Fault]bool{
	Straggle: true, Drain: true, FailFast: true, ColdStart: true, Crash: true,
	Recover: true, Misreport: true, PartitionZone: true, LogDown: true, PauseDaemon: true,
}

// Event is one line of a trace. It is a fault if Fault is set, and a request otherwise.
type Event struct {
	// AtUs is the time since the start of the trace, in microseconds.
	AtUs int64 `json:"at_us"`

	// The fields up to Zone describe a request.

	Caller model.CallerName `json:"caller,omitempty"`
	// Group is the group of callers that the caller belongs to.
	Group model.GroupName `json:"group,omitempty"`
	// Service is the service that the request is for.
	Service model.ServiceName `json:"service,omitempty"`
	// CostUs is the service time at an upstream without faults, in
	// microseconds.
	CostUs int64 `json:"cost_us,omitempty"`
	// Idempotent is set if the request may be executed more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMs is the time from the request's arrival to its deadline, in
	// milliseconds. Default: 10000.
	DeadlineMs int64 `json:"deadline_ms,omitempty"`
	// Key is the idempotency key. The simulation does not use it.
	Key string `json:"key,omitempty"`
	// Zone is the availability zone in which the caller sends the request.
	Zone model.AvailabilityZone `json:"zone,omitempty"`

	// The other fields describe a fault.

	Fault Fault `json:"fault,omitempty"`
	// Target names the upstream that the fault affects. For PartitionZone it names
	// a zone, and for Recover either. LogDown has no target.
	Target string `json:"target,omitempty"`
	// Factor is used by Straggle, ColdStart and Misreport. Default: 1.
	Factor float64 `json:"factor,omitempty"`
	// ForMs is the duration of the fault in milliseconds. If it is zero, the fault
	// lasts until Recover or the end of the trace. ColdStart then lasts one second.
	// Recover cannot end LogDown, which has no target.
	ForMs int64 `json:"for_ms,omitempty"`
}

// defaultDeadlineMs is the default of Event.DeadlineMs.
const defaultDeadlineMs = 10_000

// maxLineBytes is the maximum length of one line of a trace.
const maxLineBytes = 1 << 20

var errNoEvents = errors.New("trace holds no lines")

// ReadTrace reads a trace of JSON lines, which must be in order of time. It returns
// a *LineError for an invalid line, and an error for a trace without events.
func ReadTrace(r io.Reader) ([]Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	names := make(interner)
	var events []Event
	lineNumber := 0
	previousAtUs := int64(0)
	for scanner.Scan() {
		lineNumber++
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := decodeStrict(scanner.Bytes(), &e); err != nil {
			return nil, &LineError{Line: lineNumber, Err: err.cause}
		}
		if err := e.check(previousAtUs); err != nil {
			return nil, &LineError{Line: lineNumber, Err: err}
		}
		previousAtUs = e.AtUs
		names.intern(&e)
		events = append(events, e)
	}
	if err := scanner.Err(); err != nil {
		return nil, &LineError{Line: lineNumber + 1, Err: err}
	}
	if len(events) == 0 {
		return nil, errNoEvents
	}
	return events, nil
}

// check fills in defaults and returns the first error in an event. previousAtUs is AtUs
// of the previous event of the trace.
func (e *Event) check(previousAtUs int64) error {
	if e.AtUs < previousAtUs {
		return &FieldError{"at_us", e.AtUs, fmt.Sprintf("want at least %d, the time of the line before", previousAtUs)}
	}
	if e.Fault != "" {
		return e.checkFault()
	}
	return e.checkRequest()
}

func (e *Event) checkRequest() error {
	if e.Target != "" || e.Factor != 0 || e.ForMs != 0 {
		return errors.New("target, factor and for_ms belong to fault lines")
	}
	if e.Service == "" {
		return &FieldError{"service", `""`, "want a name"}
	}
	if e.Zone == "" {
		return &FieldError{"zone", `""`, "want a name"}
	}
	if e.CostUs <= 0 || time.Duration(e.CostUs) > time.Hour/time.Microsecond {
		return &FieldError{"cost_us", e.CostUs, "want more than 0 and at most an hour"}
	}
	if e.DeadlineMs < 0 || time.Duration(e.DeadlineMs) > time.Hour/time.Millisecond {
		return &FieldError{"deadline_ms", e.DeadlineMs, "want 0 to an hour"}
	}
	if e.DeadlineMs == 0 {
		e.DeadlineMs = defaultDeadlineMs
	}
	return nil
}

func (e *Event) checkFault() error {
	if !knownFaults[e.Fault] {
		return &FieldError{"fault", e.Fault, "unknown fault"}
	}
	if e.Service != "" || e.Caller != "" || e.Group != "" || e.CostUs != 0 || e.Key != "" {
		return errors.New("a fault line holds no field of a request")
	}
	if e.Target == "" && e.Fault != LogDown {
		return &FieldError{"target", `""`, "want a name"}
	}
	if e.Factor < 0 || e.ForMs < 0 {
		return &FieldError{"factor, for_ms", fmt.Sprint(e.Factor, ", ", e.ForMs), "want at least 0"}
	}
	if e.Factor == 0 {
		e.Factor = 1
	}
	return nil
}

// interner keeps one copy of each name, so that long traces use less memory.
type interner map[string]string

// canonical returns the shared copy of a string.
func (n interner) canonical(s string) string {
	if shared, ok := n[s]; ok {
		return shared
	}
	n[s] = s
	return s
}

// intern replaces the names in an event by their shared copies.
func (n interner) intern(e *Event) {
	e.Caller = model.CallerName(n.canonical(string(e.Caller)))
	e.Group = model.GroupName(n.canonical(string(e.Group)))
	e.Service = model.ServiceName(n.canonical(string(e.Service)))
	e.Zone = model.AvailabilityZone(n.canonical(string(e.Zone)))
}
