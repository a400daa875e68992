package replay

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// loadTopology reads the topology with the given name from testdata/replay.
func loadTopology(t testing.TB, name string) *Topology {
	t.Helper()
	f, err := os.Open("../testdata/replay/" + name + ".topology.json")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	topology, err := ReadTopology(f)
	require.NoError(t, err)
	return topology
}

const validRequest = `{"at_us":5,"caller":"sorter-1","group":"sorters","service":"returdesk","cost_us":1800,"idempotent":true,"deadline_ms":500,"key":"optional","zone":"odense-hal-a"}`

func TestReadTraceReturnsErrorsForInvalidLines(t *testing.T) {
	cases := map[string]struct {
		lines string
		// want is a part of the expected error. It is empty for a valid trace.
		want string
	}{
		"request and fault":  {validRequest + "\n\n" + `{"at_us":5,"fault":"straggle","target":"returdesk-3","factor":8,"for_ms":2000}`, ""},
		"fault without time": {validRequest + "\n" + `{"fault":"drain","target":"returdesk-3"}`, "line 2: at_us: got 0"},
		"unknown field":      {validRequest + "\n" + `{"at_us":6,"servce":"returdesk"}`, `line 2: json: unknown field "servce"`},
		"out of order":       {validRequest + "\n" + strings.Replace(validRequest, ":5,", ":4,", 1), "line 2: at_us: got 4"},
		"zero cost":          {strings.Replace(validRequest, "1800", "0", 1), "line 1: cost_us: got 0"},
		"cost too large":     {strings.Replace(validRequest, "1800", "9000000000", 1), "line 1: cost_us: got 9000000000"},
		"negative deadline":  {strings.Replace(validRequest, ":500", ":-1", 1), "line 1: deadline_ms: got -1"},
		"no zone":            {strings.Replace(validRequest, "odense-hal-a", "", 1), "line 1: zone"},
		"unknown fault":      {`{"at_us":0,"fault":"melt","target":"returdesk-3"}`, "line 1: fault: got melt"},
		"fault with request": {`{"at_us":0,"fault":"drain","target":"returdesk-3","service":"returdesk"}`, "line 1: a fault line"},
		"request with fault": {strings.Replace(validRequest, `"key"`, `"factor":2,"key"`, 1), "line 1: target, factor"},
		"truncated JSON":     {validRequest + "\n{", "line 2: unexpected EOF"},
		"two JSON values":    {validRequest + validRequest, "line 1: more than one JSON value"},
		"empty":              {"", "no lines"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			events, err := ReadTrace(strings.NewReader(tc.lines))
			if tc.want == "" {
				require.NoError(t, err)
				assert.Len(t, events, 2)
				return
			}
			require.ErrorContains(t, err, tc.want)
		})
	}
}

func TestReadTopologyReturnsErrorsForInvalidFiles(t *testing.T) {
	valid, err := os.ReadFile("../testdata/replay/kalahari.topology.json")
	require.NoError(t, err)
	// Each case replaces old by new in a valid topology. want is a part of the
	// expected error.
	cases := map[string]struct{ old, new, want string }{
		"unknown field":         {`"connections": 200`, `"connectons": 200`, `line 23: json: unknown field "connectons"`},
		"duration without unit": {`"1500us"`, `1500`, "line 8"},
		"unknown zone":          {`{"zone": "gibeon"`, `{"zone": "gobabis"`, "services[0].upstreams[1].zone: got gobabis"},
		"no slots":              {`"slots": 6`, `"slots": 0`, "services[0].upstreams[0].slots: got 0"},
		"budget over 1":         {`"measuring_budget": 0.01`, `"measuring_budget": 1.01`, "measuring_budget: got 1.01"},
		"duplicate service":     {`"name": "sheds"`, `"name": "bookings"`, "services[1].name"},
		"negative delay":        {`"1500us"`, `"-1500us"`, "delay"},
		"negative weight":       {`"weight": 6`, `"weight": -6`, "services[0].groups[0]"},
		"no zones":              {`"zones": [`, `"zones": [], "zones_": [`, "unknown field"},
		// An empty want makes the test append a second JSON value to a valid topology.
		"second JSON value": {`"kalahari"`, ``, ""},
		"negative duration": {`"connection_cost": "1ms"`, `"connection_cost": "-1ms"`, "services[0]"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(string(valid), tc.old, tc.new, 1)
			if tc.want == "" {
				text, tc.want = string(valid)+"{}", "more than one JSON value"
			}
			_, err := ReadTopology(strings.NewReader(text))
			require.ErrorContains(t, err, tc.want)
		})
	}
}

// TestRunReturnsErrorForUnknownTargets checks that Run returns an error for a trace that
// names a service, a zone or an upstream that the topology does not have.
func TestRunReturnsErrorForUnknownTargets(t *testing.T) {
	topology := loadTopology(t, "cooperative")
	for _, line := range []string{
		strings.Replace(validRequest, "returdesk", "returdisk", 1),
		strings.Replace(validRequest, "odense-hal-a", "gibeon", 1),
		`{"at_us":0,"fault":"crash","target":"returdesk-7"}`,
		`{"at_us":0,"fault":"partition_zone","target":"returdesk-1"}`,
	} {
		events, err := ReadTrace(strings.NewReader(line))
		require.NoError(t, err)
		_, err = Run(topology, events, Options{})
		var field *FieldError
		assert.ErrorAs(t, err, &field, line)
	}
}

// TestGeneratedTraceRoundTrip checks that ReadTrace returns the events that a Generator wrote.
func TestGeneratedTraceRoundTrip(t *testing.T) {
	topology := loadTopology(t, "cooperative")
	scenario, ok := FindScenario("straggle+drain")
	require.True(t, ok)
	g := scenario.Generator(topology, 7)
	var text bytes.Buffer
	require.NoError(t, g.Write(&text))
	events, err := ReadTrace(&text)
	require.NoError(t, err)
	assert.Equal(t, g.Events(), events)
}
