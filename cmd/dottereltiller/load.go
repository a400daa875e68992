package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/load"
	"github.com/dottereltiller/dottereltiller/strictjson"
)

type loadCmd struct {
	Plan     string        `arg:"--plan" help:"plan file; see docs/OPERATORS.md. Without a plan file, the flags below define a plan with one source of requests" placeholder:"FILE"`
	Target   []string      `arg:"--target,separate" help:"address at which a daemon accepts callers; may be repeated" placeholder:"HOST:PORT"`
	Service  string        `arg:"--service" help:"service to call"`
	Path     string        `arg:"--path" default:"/" help:"path to call"`
	Rate     float64       `arg:"--rate" default:"100" help:"requests per second"`
	Token    string        `arg:"--token,env:DOTTERELTILLER_TOKEN" help:"bearer token"`
	Zone     string        `arg:"--zone" help:"availability zone of the targets, for --record"`
	Duration time.Duration `arg:"--duration" help:"duration of the load; default: that of the plan, or 10s without a plan file"`
	Seed     uint64        `arg:"--seed" help:"seed of the random request times; default: that of the plan"`
	JSON     bool          `arg:"--json" help:"print the result as one JSON object"`
	Out      string        `arg:"--out" help:"also write the result as JSON, for the report command" placeholder:"FILE"`
	Record   string        `arg:"--record" help:"write the requests that were sent as a trace for the replay command" placeholder:"FILE"`
	Quiet    bool          `arg:"--quiet" help:"do not print progress"`
}

const defaultLoadDuration = 10 * time.Second

var errWrongResponses = errors.New("responses were incomplete or belonged to other requests")

func (c *loadCmd) run(ctx context.Context) error {
	plan, err := c.plan()
	if err != nil {
		return err
	}
	var opts load.Options
	if !c.Quiet {
		opts.Progress = func(p load.Progress) { fmt.Fprintln(os.Stderr, p) }
	}
	if c.Record != "" {
		opts.Recorder = &load.Recorder{}
	}
	res, err := load.Run(ctx, plan, opts)
	if err != nil {
		return err
	}
	if err := c.writeResults(res, opts.Recorder); err != nil {
		return err
	}
	if res.Wrong > 0 {
		return fmt.Errorf("%d %w, for example that to request %s", res.Wrong, errWrongResponses, res.WrongAnswers[0])
	}
	return ctx.Err()
}

// plan returns the plan in the plan file or, without a plan file, the plan that the flags define.
// --duration and --seed override the values in the plan.
func (c *loadCmd) plan() (load.Plan, error) {
	plan := c.planFromFlags()
	if c.Plan != "" {
		var err error
		if plan, err = load.LoadPlan(c.Plan); err != nil {
			return plan, usageError{err}
		}
	}
	if c.Duration > 0 {
		plan.Duration = policy.Duration(c.Duration)
	}
	if c.Seed > 0 {
		plan.Seed = c.Seed
	}
	if err := plan.Check(); err != nil {
		return plan, err
	}
	for i, t := range plan.Targets {
		if c.Record != "" && t.Zone == "" {
			return plan, &strictjson.FieldError{
				Path: fmt.Sprintf("targets[%d].zone", i), Value: `""`, Message: "must be set to record a trace",
			}
		}
	}
	return plan, nil
}

// planFromFlags returns the plan that the flags define. The plan has one source of requests.
func (c *loadCmd) planFromFlags() load.Plan {
	plan := load.Plan{
		Duration: policy.Duration(defaultLoadDuration),
		Sources: []load.Source{{
			Service: model.ServiceName(c.Service), Path: c.Path, Rate: c.Rate, Token: c.Token,
		}},
	}
	for _, t := range c.Target {
		plan.Targets = append(plan.Targets, load.Target{Address: t, Zone: model.AvailabilityZone(c.Zone)})
	}
	return plan
}

// writeResults writes the result and the recorded trace to the files named by the flags and
// prints the result.
func (c *loadCmd) writeResults(res *load.Result, recorder *load.Recorder) error {
	encode := func(w io.Writer) error { return json.NewEncoder(w).Encode(res) }
	if c.Out != "" {
		if err := writeFile(c.Out, encode); err != nil {
			return err
		}
	}
	if recorder != nil {
		if err := writeFile(c.Record, recorder.Write); err != nil {
			return err
		}
	}
	if c.JSON {
		return encode(os.Stdout)
	}
	return res.Print(os.Stdout)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
