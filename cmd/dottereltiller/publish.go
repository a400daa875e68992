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

// waitFlags holds the flags of commands that can wait until a version is in force.
type waitFlags struct {
	Wait        bool          `arg:"--wait" help:"wait until the version is in force in every availability zone"`
	Daemon      string        `arg:"--daemon,env:DOTTERELTILLER_DAEMON" placeholder:"HOST:PORT" help:"admin address of any daemon, for --wait"`
	WaitTimeout time.Duration `arg:"--wait-timeout" default:"30s" help:"timeout of --wait"`
}

// checkWaitFlags returns a usageError if --wait is set without --daemon.
func (f waitFlags) checkWaitFlags() error {
	if f.Wait && f.Daemon == "" {
		return usageError{errors.New("--wait needs --daemon")}
	}
	return nil
}

// await waits until a version is in force in every zone. Without --wait, it returns at once.
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
	Files  []string `arg:"positional,required" placeholder:"FILE" help:"files or directories with the documents to publish"`
	DryRun bool     `arg:"--dry-run" help:"show what would change without publishing"`
	Prune  bool     `arg:"--prune" help:"delete documents in force that are in none of the files"`
	Base   uint64   `arg:"--base" help:"publish only if this version is the current one; default: the current version"`
}

func (c *publishCmd) run(ctx context.Context) error {
	if err := c.checkWaitFlags(); err != nil {
		return err
	}
	docs, err := readDocuments(c.Files)
	if err != nil {
		return err
	}
	p := operator.Proposal{
		Author: c.author(), Comment: c.Comment, Documents: docs, Prune: c.Prune, Base: model.Version(c.Base),
	}
	logCtx, cancel := c.withTimeout(ctx)
	defer cancel()
	if c.DryRun {
		plan, err := operator.Plan(logCtx, c.client(), p)
		operator.WriteDiff(os.Stdout, plan.Differences)
		return err
	}
	res, err := operator.Propose(logCtx, c.client(), p)
	if err := printResult(res, err); err != nil {
		return err
	}
	return c.await(ctx, res.Version)
}

// printResult prints the result of a proposal. err is the error of the proposal, or nil. printResult
// returns err. If another change superseded the proposal, it prints the differences to the current
// version first.
func printResult(res operator.Result, err error) error {
	var superseded *operator.SupersededError
	if errors.As(err, &superseded) {
		fmt.Println("differences between the current version and this change:")
		operator.WriteDiff(os.Stdout, superseded.Differences)
	}
	if err != nil {
		return err
	}
	if res.ChangeID == "" {
		fmt.Printf("nothing to change: version %d holds these documents\n", res.Version)
		return nil
	}
	operator.WriteDiff(os.Stdout, res.Differences)
	fmt.Printf("accepted as version %d (change %s)\n", res.Version, res.ChangeID)
	return nil
}
