package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/soak"
)

type soakCmd struct {
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the random fault plan"`
	For       time.Duration `arg:"--for" default:"60s" help:"duration of the run, including 14s without faults"`
	Processes int           `arg:"--processes" default:"8" help:"number of daemons"`
	Stops     bool          `arg:"--stops" help:"use a random plan of planned faults only: stops in series, reloads, new configurations, replaced upstreams"`
	Rate      int           `arg:"--rate" help:"requests per second that the callers of each daemon send; default: 10, or less with many daemons"`
	Excess    int           `arg:"--excess" help:"requests per second that the callers of one client account send besides its bursts; its quota allows a quarter of them"`
	Processor float64       `arg:"--processor" help:"share of the time in which each daemon may run, as on a VM with a part of a core; default: all of it"`
	Plan      string        `arg:"--plan" placeholder:"FILE" help:"file with a fault plan to run instead of a random one"`
	PrintPlan bool          `arg:"--print-plan" help:"print the plan and exit"`
	Shrink    bool          `arg:"--shrink" help:"if the run fails, remove faults from the plan as long as runs still fail, and print the smallest failing plan"`
	Daemon    string        `arg:"--daemon" placeholder:"PROGRAM" help:"path of the daemon's binary; default: build it from the source in the current directory"`
	Dir       string        `arg:"--dir" help:"directory for settings files and logs; default: a new temporary directory"`
}

var errViolations = errors.New("guarantees were violated")

func (c *soakCmd) run(ctx context.Context) error {
	plan, err := c.plan()
	if err != nil {
		return usageError{err}
	}
	if c.PrintPlan {
		_, err := plan.WriteTo(os.Stdout)
		return err
	}
	if c.Dir == "" {
		if c.Dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		return err
	}
	binary := c.Daemon
	if binary == "" {
		if binary, err = soak.Build(ctx, c.Dir); err != nil {
			return err
		}
	}
	runPlan := func(p soak.Plan) (soak.Result, error) {
		return soak.Run(ctx, p, soak.Options{Binary: binary, Dir: c.Dir, Rate: c.Rate, Excess: c.Excess, Processor: c.Processor})
	}
	r, err := runPlan(plan)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d: %d of %d requests served, %d faults, logs in %s\n", plan.Seed, r.Served, r.Requests, len(plan.Faults), c.Dir)
	if r.QuotaPeak > 0 {
		fmt.Printf("quotas: at most %.2f of what one allows in a window, %d requests refused below one\n", r.QuotaPeak, r.RefusedBelowQuota)
	}
	if len(r.Violations) == 0 {
		return nil
	}
	for _, v := range r.Violations {
		fmt.Println(v)
	}
	if c.Shrink {
		plan = soak.Shrink(plan, func(p soak.Plan) bool {
			r, err := runPlan(p)
			return err == nil && len(r.Violations) > 0
		})
		if _, err := plan.WriteTo(os.Stdout); err != nil {
			return err
		}
	}
	return errViolations
}

// plan returns the plan in the plan file or, without a plan file, a random plan.
func (c *soakCmd) plan() (soak.Plan, error) {
	if c.Plan == "" && c.Stops {
		return soak.StopsPlan(c.Seed, c.Processes, c.For), nil
	}
	if c.Plan == "" {
		return soak.RandomPlan(c.Seed, c.Processes, c.For), nil
	}
	f, err := os.Open(c.Plan)
	if err != nil {
		return soak.Plan{}, err
	}
	defer func() { _ = f.Close() }()
	return soak.ReadPlan(f)
}
