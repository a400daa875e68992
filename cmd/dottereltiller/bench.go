package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/bench"
)

type benchCmd struct {
	Forward  *benchForwardCmd  `arg:"subcommand:forward" help:"measure the latency that forwarding adds to a call"`
	Capacity *benchCapacityCmd `arg:"subcommand:capacity" help:"measure how resource usage grows with load and with the size of the system; see docs/CAPACITY.md"`
}

func (c *benchCmd) run(ctx context.Context) error {
	switch {
	case c.Forward != nil:
		return c.Forward.run(ctx)
	case c.Capacity != nil:
		return c.Capacity.run(ctx)
	default:
		return fmt.Errorf("bench: missing subcommand: forward or capacity")
	}
}

type benchForwardCmd struct {
	Rate     int           `arg:"--rate" default:"1000" help:"calls per second on each path"`
	Duration time.Duration `arg:"--duration" default:"5s" help:"length of the measurement"`
	Cost     time.Duration `arg:"--cost" default:"1ms" help:"service time of the upstream for each call"`
	JSON     bool          `arg:"--json" help:"print one JSON object"`
}

func (c *benchForwardCmd) run(ctx context.Context) error {
	res, err := bench.Forward(ctx, bench.ForwardOptions{Rate: c.Rate, Duration: c.Duration, Cost: c.Cost})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(res)
	}
	return bench.PrintForward(os.Stdout, res)
}

type benchCapacityCmd struct {
	JSON      bool `arg:"--json" help:"print one JSON array"`
	StateOnly bool `arg:"--state-only" help:"skip the measurements that start daemons"`
}

func (c *benchCapacityCmd) run(ctx context.Context) error {
	slopes, err := bench.Capacity(ctx, bench.CapacityOptions{StateOnly: c.StateOnly})
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(slopes)
	}
	return bench.PrintSlopes(os.Stdout, slopes)
}
