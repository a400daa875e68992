package main

import (
	"context"
	"fmt"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
)

type rollbackCmd struct {
	logFlags
	authorFlags
	waitFlags
	To uint64 `arg:"positional,required" placeholder:"VERSION" help:"version whose documents to publish as a new version"`
}

func (c *rollbackCmd) run(ctx context.Context) error {
	if err := c.checkWaitFlags(); err != nil {
		return err
	}
	logCtx, cancel := c.withTimeout(ctx)
	defer cancel()
	if c.Comment == "" {
		c.Comment = fmt.Sprintf("roll back to version %d", c.To)
	}
	p := operator.Proposal{Author: c.author(), Comment: c.Comment}
	res, err := operator.Rollback(logCtx, c.client(), model.Version(c.To), p)
	if err := printResult(res, err); err != nil {
		return err
	}
	return c.await(ctx, res.Version)
}
