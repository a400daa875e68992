package main

import (
	"context"
	"fmt"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
)

type startOverCmd struct {
	logFlags
	Version uint64 `arg:"--version-at-least,required" placeholder:"N" help:"version of the empty configuration; must be at least as high as any version that was ever accepted"`
}

func (c *startOverCmd) run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := operator.StartOver(ctx, c.client(), model.Version(c.Version)); err != nil {
		return err
	}
	fmt.Printf("version %d with no documents is on the log; publish the documents now\n", c.Version)
	return nil
}
