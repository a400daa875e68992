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
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the plan"`
	For       time.Duration `arg:"--for" default:"60s" help:"length of the run, of which 14s are free of faults"`
	Processes int           `arg:"--processes" default:"8" help:"number of daemons"`
	Plan      string        `arg:"--plan" placeholder:"FILE" help:"play this plan instead of drawing one"`
	PrintPlan bool          `arg:"--print-plan" help:"print the plan and end"`
	Shrink    bool          `arg:"--shrink" help:"drop faults from a plan that fails while it goes on failing, and print the rest"`
	Daemon    string        `arg:"--daemon" placeholder:"PROGRAM" help:"the daemon's program; default: built from the source in this directory"`
	Dir       string        `arg:"--dir" help:"where settings and logs go; default: a new temporary directory"`
}

var errViolations = errors.New("promises were broken")

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
	play := func(p soak.Plan) (soak.Result, error) {
		return soak.Run(ctx, p, soak.Options{Binary: binary, Dir: c.Dir})
	}
	r, err := play(plan)
	if err != nil {
		return err
	}
	fmt.Printf("seed %d: %d of %d requests served, %d faults, logs in %s\n", plan.Seed, r.Served, r.Requests, len(plan.Faults), c.Dir)
	if len(r.Violations) == 0 {
		return nil
	}
	for _, v := range r.Violations {
		fmt.Println(v)
	}
	if c.Shrink {
		plan = soak.Shrink(plan, func(p soak.Plan) bool {
			r, err := play(p)
			return err == nil && len(r.Violations) > 0
		})
		if _, err := plan.WriteTo(os.Stdout); err != nil {
			return err
		}
	}
	return errViolations
}

func (c *soakCmd) plan() (soak.Plan, error) {
	if c.Plan == "" {
		return soak.Draw(c.Seed, c.Processes, c.For), nil
	}
	f, err := os.Open(c.Plan)
	if err != nil {
		return soak.Plan{}, err
	}
	defer func() { _ = f.Close() }()
	return soak.Read(f)
}
