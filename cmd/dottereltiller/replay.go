package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/dottereltiller/dottereltiller/replay"
)

type replayCmd struct {
	Trace    string `arg:"--trace" help:"trace file to replay, in JSON lines; see docs/REPLAY.md"`
	Topology string `arg:"--topology,required" help:"JSON file with the topology of the deployment"`
	Routing  string `arg:"--routing" help:"name of the routing policy; default: that of the router"`
	Seed     uint64 `arg:"--seed" default:"1" help:"seed of all random choices"`
	JSON     bool   `arg:"--json" help:"print the result as one JSON object"`
	Generate string `arg:"--generate" help:"name of a scenario; generate a trace of it and write it to standard output instead of replaying a trace"`

	Duration time.Duration `arg:"--duration" help:"duration of the generated trace; default: that of the scenario"`
}

// inputError is an error in flags or input files. It makes the command exit with code 2.
type inputError struct{ error }

// ExitCode returns the exit code for wrong usage or input. main calls exitcode.Of, which uses this
// method.
func (inputError) ExitCode() int { return 2 }

// Unwrap returns the cause.
func (e inputError) Unwrap() error { return e.error }

// run replays or generates a trace.
func (c *replayCmd) run(context.Context) error {
	if err := c.runTo(os.Stdout); err != nil {
		return inputError{err}
	}
	return nil
}

// runTo replays or generates a trace and writes the result or the trace to out.
func (c *replayCmd) runTo(out io.Writer) error {
	topology, err := readTopology(c.Topology)
	if err != nil {
		return err
	}
	if c.Generate != "" {
		return c.generate(out, topology)
	}
	if c.Trace == "" {
		return errors.New("replay: either --trace or --generate is required")
	}
	events, err := readTrace(c.Trace)
	if err != nil {
		return err
	}
	result, err := replay.Run(topology, events, replay.Options{Routing: c.Routing, Seed: c.Seed})
	if err != nil {
		return fmt.Errorf("%s: %w", c.Trace, err)
	}
	if c.JSON {
		return json.NewEncoder(out).Encode(result)
	}
	return printReplay(out, result)
}

func (c *replayCmd) generate(out io.Writer, t *replay.Topology) error {
	scenario, ok := replay.FindScenario(c.Generate)
	if !ok {
		return &unknownScenarioError{name: c.Generate}
	}
	g := scenario.Generator(t, c.Seed)
	if c.Duration > 0 {
		g.Duration = c.Duration
	}
	return g.Write(out)
}

// unknownScenarioError reports a scenario name that does not exist.
type unknownScenarioError struct{ name string }

// Error lists the names of all scenarios.
func (e *unknownScenarioError) Error() string {
	text := fmt.Sprintf("replay: unknown scenario %q, want one of", e.name)
	for _, s := range replay.Scenarios() {
		text += " " + s.Name
	}
	return text
}

func readTopology(path string) (*replay.Topology, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	t, err := replay.ReadTopology(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

func readTrace(path string) ([]replay.Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	events, err := replay.ReadTrace(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return events, nil
}

func printReplay(out io.Writer, r *replay.Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "service\tgroup\trequests\tanswered\tnot run\tunknown\truns twice\tp50 µs\tp99 µs\tp99.9 µs\tmax µs\tideal p99.9\tslot share\tmeasuring\t")
	for _, row := range append(r.Groups, r.Total) {
		if row.Service == "" {
			row.Service = "total"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.4f\t\n",
			row.Service, row.Group, row.Requests, row.Answered, row.NotRun, row.Unknown, row.RunsTwice,
			row.P50, row.P99, row.P999, row.Max, row.Ideal.P999, row.SlotTimeShare, row.MeasuringShare)
	}
	return w.Flush()
}
