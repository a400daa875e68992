package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
)

// waitFlags ask for a version to be in force before the command ends.
type waitFlags struct {
	Wait        bool          `arg:"--wait" help:"return once the version is in force in every availability zone"`
	Daemon      string        `arg:"--daemon,env:DOTTERELTILLER_DAEMON" placeholder:"HOST:PORT" help:"admin address of any daemon, for --wait"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s" help:"how long to wait for the zones"`
}

func (f waitFlags) check() error {
	if f.Wait && f.Daemon == "" {
		return usageError{errors.New("--wait needs --daemon")}
	}
	return nil
}

func (f waitFlags) await(ctx context.Context, v model.Version) error {
	if !f.Wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.WaitTimeout)
	defer cancel()
	if err := operator.Await(ctx, f.Daemon, v); err != nil {
		return err
	}
	fmt.Printf("version %d is in force in every zone\n", v)
	return nil
}

type publishCmd struct {
	logFlags
	authorFlags
	waitFlags
	Files  []string `arg:"positional,required" placeholder:"FILE" help:"documents, or directories of them"`
	DryRun bool     `arg:"--dry-run" help:"tell what would change and publish nothing"`
	Prune  bool     `arg:"--prune" help:"delete the documents in force that no file holds"`
	Base   uint64   `arg:"--base" help:"refuse unless this version is current"`
}

func (c *publishCmd) run(ctx context.Context) error {
	if err := c.check(); err != nil {
		return err
	}
	docs, err := readDocuments(c.Files)
	if err != nil {
		return err
	}
	p := operator.Proposal{
		Author: c.author(), Comment: c.Comment, Documents: docs, Prune: c.Prune, Base: model.Version(c.Base),
	}
	logCtx, cancel := c.context(ctx)
	defer cancel()
	if c.DryRun {
		plan, err := operator.Plan(logCtx, c.client(), p)
		operator.WriteDiff(os.Stdout, plan.Changes)
		return err
	}
	res, err := operator.Propose(logCtx, c.client(), p)
	if err := printResult(res, err); err != nil {
		return err
	}
	return c.await(ctx, res.Version)
}

// printResult prints what became of a proposal.
func printResult(res operator.Result, err error) error {
	var superseded *operator.SupersededError
	if errors.As(err, &superseded) {
		fmt.Println("this change would still make of the current version:")
		operator.WriteDiff(os.Stdout, superseded.Changes)
	}
	if err != nil {
		return err
	}
	if res.ChangeID == "" {
		fmt.Printf("nothing to change: version %d holds these documents\n", res.Version)
		return nil
	}
	operator.WriteDiff(os.Stdout, res.Changes)
	fmt.Printf("accepted as version %d (change %s)\n", res.Version, res.ChangeID)
	return nil
}
