package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/dottereltiller/dottereltiller/trace"
)

type traceCmd struct {
	Admin   []string `arg:"--admin,separate,required" help:"admin addresses (host:port) of the daemons to ask"`
	TraceID string   `arg:"positional" help:"show this trace only" placeholder:"TRACE-ID"`
	Limit   int      `arg:"--limit" default:"5" help:"show at most this many traces, the slowest first"`
	JSON    bool     `arg:"--json" help:"print the spans as a JSON list"`
}

// run asks every daemon and prints what those that answer have kept.
func (c *traceCmd) run(ctx context.Context) error {
	var records []trace.Record
	var failed []error
	for _, admin := range c.Admin {
		r, err := trace.Fetch(ctx, admin)
		if err != nil {
			failed = append(failed, err)
			continue
		}
		records = append(records, r...)
	}
	for _, err := range failed {
		fmt.Fprintln(os.Stderr, "dottereltiller:", err)
	}
	if len(failed) == len(c.Admin) {
		return errors.New("no daemon answered")
	}
	return c.print(trace.FilterByTraceID(records, c.TraceID))
}

func (c *traceCmd) print(records []trace.Record) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(records)
	}
	trees := trace.BuildTrees(records)
	if len(trees) == 0 {
		return errors.New("no such spans kept; tracing.sample in the daemon's settings may be 0")
	}
	for _, t := range trees[:min(len(trees), max(c.Limit, 0))] {
		if err := t.Print(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
