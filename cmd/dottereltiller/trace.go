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
	Admin   []string `arg:"--admin,separate,required" help:"admin address (host:port) of a daemon to read traces from; may be repeated"`
	TraceID string   `arg:"positional" help:"id of the only trace to show" placeholder:"TRACE-ID"`
	Limit   int      `arg:"--limit" default:"5" help:"maximum number of traces to show, the slowest first"`
	JSON    bool     `arg:"--json" help:"print the spans as a JSON list"`
}

// run fetches the spans that the daemons hold and prints them as traces. For each daemon that does
// not respond, it prints an error to standard error. It fails only if none responds.
func (c *traceCmd) run(ctx context.Context) error {
	var records []trace.Record
	var fetchErrors []error
	for _, address := range c.Admin {
		r, err := trace.FetchRecords(ctx, address)
		if err != nil {
			fetchErrors = append(fetchErrors, err)
			continue
		}
		records = append(records, r...)
	}
	for _, err := range fetchErrors {
		fmt.Fprintln(os.Stderr, "dottereltiller:", err)
	}
	if len(fetchErrors) == len(c.Admin) {
		return errors.New("no daemon responded")
	}
	return c.print(trace.FilterByTraceID(records, c.TraceID))
}

func (c *traceCmd) print(records []trace.Record) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(records)
	}
	trees := trace.BuildTrees(records)
	if len(trees) == 0 {
		return errors.New("the daemons hold no such spans; tracing.sample in their settings may be 0")
	}
	for _, t := range trees[:min(len(trees), max(c.Limit, 0))] {
		if err := t.Print(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
