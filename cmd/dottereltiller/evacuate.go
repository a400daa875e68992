package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/operator"
)

type evacuateCmd struct {
	logFlags
	authorFlags
	waitFlags
	Zone string `arg:"positional,required" placeholder:"ZONE" help:"availability zone"`
	End  bool   `arg:"--end" help:"take the zone back"`
}

func (c *evacuateCmd) run(ctx context.Context) error {
	if err := c.checkWaitFlags(); err != nil {
		return err
	}
	p, err := c.proposal()
	if err != nil {
		return err
	}
	logCtx, cancel := c.withTimeout(ctx)
	defer cancel()
	res, err := operator.Propose(logCtx, c.client(), p)
	if err := printResult(res, err); err != nil {
		return err
	}
	return c.await(ctx, res.Version)
}

// proposal returns the change that starts or ends the evacuation.
func (c *evacuateCmd) proposal() (operator.Proposal, error) {
	p := operator.Proposal{Author: c.author(), Comment: c.Comment}
	d := policy.Document{Kind: policy.KindEvacuation, Name: c.Zone}
	if c.End {
		if p.Comment == "" {
			p.Comment = fmt.Sprintf("take %s back", c.Zone)
		}
		p.Delete = []config.DocumentKey{config.DocumentKey(d.Key())}
		return p, nil
	}
	if p.Comment == "" {
		p.Comment = fmt.Sprintf("evacuate %s", c.Zone)
	}
	spec, err := json.Marshal(policy.EvacuationSpec{Zone: model.AvailabilityZone(c.Zone)})
	if err != nil {
		return p, err
	}
	d.Spec = spec
	p.Documents = []policy.Document{d}
	return p, nil
}
