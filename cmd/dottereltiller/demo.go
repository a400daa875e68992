package main

import (
	"context"
	"os"

	"github.com/dottereltiller/dottereltiller/demo"
)

type demoCmd struct {
	JSON bool `arg:"--json" help:"also print the result, as one JSON object on the last line"`
}

func (c *demoCmd) run(ctx context.Context) error {
	return demo.Run(ctx, os.Stdout, demo.Options{JSON: c.JSON})
}
