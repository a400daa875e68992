package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/standin"
)

type upstreamCmd struct {
	ID      string `arg:"--id,required" help:"id of the upstream, such as returdesk-1"`
	Service string `arg:"--service,required" help:"name of the service that the upstream belongs to"`
	Slots   int    `arg:"--slots" default:"6" help:"maximum number of requests that the upstream runs concurrently"`
	Daemon  string `arg:"--daemon,env:DOTTERELTILLER_DAEMON" default:"127.0.0.1:8082" placeholder:"HOST:PORT" help:"admin address of the daemon on the same VM"`
}

// run serves a fake upstream until the command is interrupted, then drains the upstream.
func (c *upstreamCmd) run(ctx context.Context) error {
	if c.Slots < 1 {
		return usageError{fmt.Errorf("--slots: must be at least 1 (got %d)", c.Slots)}
	}
	u, err := standin.Start(c.ID, c.Service, c.Slots)
	if err != nil {
		return err
	}
	fmt.Printf("upstream %s of %s at %s\n", c.ID, c.Service, u.Address())
	return u.Run(ctx, c.Daemon, uint64(time.Now().UnixNano()), func(err error) {
		fmt.Fprintln(os.Stderr, "dottereltiller:", err)
	})
}
