package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
)

// Topology describes a deployment to simulate. Its JSON form is a topology file.
type Topology struct {
	// Zones lists the availability zones.
	Zones []model.AvailabilityZone `json:"zones"`
	// Delay holds the network delays of the deployment.
	Delay Delay `json:"delay"`
	// Services lists the services and their upstreams.
	Services []Service `json:"services"`
}

// Delay holds one-way network delays.
type Delay struct {
	// BetweenZones is the delay from one zone to another.
	BetweenZones policy.Duration `json:"between_zones"`
	// WithinZone is the delay between two VMs of one zone. Default: 0s.
	WithinZone policy.Duration `json:"within_zone,omitempty"`
	// Client is the delay from callers to the entry. Latencies do not include
	// this delay, because it is the same for every routing policy and for the
	// ideal bound.
	Client policy.Duration `json:"client,omitempty"`
}

// Service is one service of a Topology.
type Service struct {
	Name model.ServiceName `json:"name"`
	// Upstreams lists the upstreams. Their names are the name of the service, a
	// hyphen and the position in this list, counted from 1.
	Upstreams []Upstream `json:"upstreams"`
	// Connections is the maximum number of connections to one upstream.
	Connections int `json:"connections"`
	// ConnectionCost is the time that it takes to open a connection.
	ConnectionCost policy.Duration `json:"connection_cost,omitempty"`
	// ReportLag is the age of the load that an upstream's load reports contain.
	ReportLag policy.Duration `json:"report_lag,omitempty"`
	// ReportCost is the slot time that one load report takes. Default: 0s.
	ReportCost policy.Duration `json:"report_cost,omitempty"`
	// MeasuringBudget limits the cost of load reports. It is the share of the slots'
	// time that they may take, from 0 to 1. Zero disables load reports.
	MeasuringBudget float64 `json:"measuring_budget"`
	// Groups holds the weights and the queue bounds of the groups. A group that is not
	// listed has weight 1.
	Groups []Group `json:"groups"`
}

// Upstream is one upstream of a Service.
type Upstream struct {
	Zone model.AvailabilityZone `json:"zone"`
	// Slots is the number of slots that the upstream announces, at least 1.
	Slots int `json:"slots"`
	// RealSlots is the number of requests that the upstream can execute at once
	// without slowing down. Default: Slots.
	RealSlots int `json:"real_slots,omitempty"`
}

// Group is one group of callers of a Service.
type Group struct {
	Name model.GroupName `json:"name"`
	// Weight determines the group's share of the slots relative to the other
	// groups.
	Weight float64 `json:"weight"`
	// QueueBound is the maximum length of the group's queue at one upstream.
	// Default: 128.
	QueueBound int `json:"queue_bound,omitempty"`
}

// defaultQueueBound is the default of Group.QueueBound.
const defaultQueueBound = 128

// LineError is an error in one line of an input file.
type LineError struct {
	Line int
	Err  error
}

// Error returns the message with the line number.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the error without the line number.
func (e *LineError) Unwrap() error { return e.Err }

// FieldError reports a field with an invalid value. Message says which values
// are valid.
type FieldError struct {
	Field   string
	Value   any
	Message string
}

// Error returns the field, the value and the message.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: got %v, %s", e.Field, e.Value, e.Message)
}

// ReadTopology reads and checks a topology. It returns a *LineError if the JSON cannot be
// decoded or has an unknown field, and a *FieldError if a decoded value is invalid.
func ReadTopology(r io.Reader) (*Topology, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var t Topology
	if err := decodeStrict(data, &t); err != nil {
		return nil, &LineError{Line: errorLine(data, err), Err: err.cause}
	}
	if err := t.check(); err != nil {
		return nil, err
	}
	return &t, nil
}

// decodeError holds an error of the JSON decoder and the input offset at which
// decoding stopped.
type decodeError struct {
	cause  error
	offset int64
}

// decodeStrict decodes one JSON value. Unknown fields and data after the value
// are errors.
func decodeStrict(data []byte, v any) *decodeError {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return &decodeError{cause: err, offset: dec.InputOffset()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &decodeError{cause: errors.New("more than one JSON value"), offset: dec.InputOffset()}
	}
	return nil
}

// errorLine returns the line, counted from 1, at which decoding failed.
func errorLine(data []byte, e *decodeError) int {
	offset := min(errorOffset(data, e), int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

// errorOffset returns the offset at which decoding failed. If the error holds no offset,
// errorOffset searches the input for the field name or value that the error message quotes,
// and returns the offset of the first occurrence. If there is none, it returns the offset
// at which the decoder stopped.
func errorOffset(data []byte, e *decodeError) int64 {
	var syntaxErr *json.SyntaxError
	if errors.As(e.cause, &syntaxErr) {
		return syntaxErr.Offset
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(e.cause, &typeErr) {
		return typeErr.Offset
	}
	if i := bytes.Index(data, []byte(offendingText(e.cause))); i > 0 {
		return int64(i)
	}
	return e.offset
}

// offendingText returns the field name or the duration that the message of a decoding
// error quotes. It returns any other message as it is.
func offendingText(err error) string {
	text := err.Error()
	if field, ok := strings.CutPrefix(text, "json: unknown field "); ok {
		return field
	}
	value, _, _ := strings.Cut(strings.TrimPrefix(text, "duration "), ": want")
	return value
}

func (t *Topology) check() error {
	if len(t.Zones) == 0 {
		return &FieldError{"zones", "none", "want at least one"}
	}
	if t.Delay.BetweenZones < 0 || t.Delay.WithinZone < 0 || t.Delay.Client < 0 {
		return &FieldError{"delay", t.Delay, "want no negative delay"}
	}
	if len(t.Services) == 0 {
		return &FieldError{"services", "none", "want at least one"}
	}
	seenNames := make(map[model.ServiceName]bool)
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d]", i)
		if s.Name == "" || seenNames[s.Name] {
			return &FieldError{path + ".name", fmt.Sprintf("%q", s.Name), "want a name, each once"}
		}
		seenNames[s.Name] = true
		if err := t.checkService(path, s); err != nil {
			return err
		}
	}
	return nil
}

func (t *Topology) checkService(path string, s Service) error {
	if len(s.Upstreams) == 0 {
		return &FieldError{path + ".upstreams", "none", "want at least one"}
	}
	for i, u := range s.Upstreams {
		if !t.hasZone(u.Zone) {
			return &FieldError{fmt.Sprintf("%s.upstreams[%d].zone", path, i), u.Zone, "want one of zones"}
		}
		if u.Slots < 1 || u.RealSlots < 0 {
			return &FieldError{fmt.Sprintf("%s.upstreams[%d].slots", path, i), u.Slots, "want at least 1"}
		}
	}
	if s.Connections < 1 {
		return &FieldError{path + ".connections", s.Connections, "want at least 1"}
	}
	if s.MeasuringBudget < 0 || s.MeasuringBudget > 1 {
		return &FieldError{path + ".measuring_budget", s.MeasuringBudget, "want 0 to 1"}
	}
	for _, d := range []policy.Duration{s.ConnectionCost, s.ReportLag, s.ReportCost} {
		if d < 0 {
			return &FieldError{path, time.Duration(d), "want no negative duration"}
		}
	}
	for i, g := range s.Groups {
		if g.Name == "" || g.Weight < 0 || g.QueueBound < 0 {
			return &FieldError{fmt.Sprintf("%s.groups[%d]", path, i), g, "want a name, a weight and a bound of at least 0"}
		}
	}
	return nil
}

func (t *Topology) hasZone(z model.AvailabilityZone) bool {
	for _, zone := range t.Zones {
		if zone == z {
			return true
		}
	}
	return false
}
