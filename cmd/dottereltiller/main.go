// Command dottereltiller is the operator's command line.
//
// Each subcommand has its own file with a struct of its flags and a run method.
// Exit codes: 0 success, 1 failure, 2 wrong usage or input, 130
// interrupted. Of commands that
// publish also: 3 superseded, 4 invalid, 5 unknown, 6 accepted but not yet in
// force everywhere.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/dottereltiller/dottereltiller/cmd/internal/cli"
	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

// command is one subcommand.
type command interface {
	run(ctx context.Context) error
}

// args lists the subcommands; each is a pointer to a command.
type args struct {
	Bench *benchCmd `arg:"subcommand:bench" help:"measure what the system costs on this machine"`
	Demo  *demoCmd  `arg:"subcommand:demo" help:"run a small deployment in this process and check it"`
	Trace *traceCmd `arg:"subcommand:trace" help:"show where the time of recent requests went"`

	Load   *loadCmd   `arg:"subcommand:load" help:"send open-loop load to a running system and measure what callers see"`
	Report *reportCmd `arg:"subcommand:report" help:"draw results of load and replay side by side"`

	Publish  *publishCmd  `arg:"subcommand:publish" help:"publish documents as a new version"`
	History  *historyCmd  `arg:"subcommand:history" help:"show the changes on the log and what became of them"`
	Diff     *diffCmd     `arg:"subcommand:diff" help:"compare documents or versions"`
	Rollback *rollbackCmd `arg:"subcommand:rollback" help:"publish the documents of an earlier version as a new one"`
	Status   *statusCmd   `arg:"subcommand:status" help:"show the version in force in every availability zone, and services, groups and upstreams"`
	Platform *platformCmd `arg:"subcommand:platform" help:"run a stand-in of the platform's log"`

	StartOver *startOverCmd `arg:"subcommand:start-over" help:"make a log usable again that forgot the configuration while no daemon held it"`
	Upstream  *upstreamCmd  `arg:"subcommand:upstream" help:"run a stand-in upstream beside a daemon"`

	Validate *validateCmd `arg:"subcommand:validate" help:"check documents and show which policy and group apply to whom"`
	Explain  *explainCmd  `arg:"subcommand:explain" help:"show why a caller belongs to a group at a service"`

	Quarantine *quarantineCmd `arg:"subcommand:quarantine" help:"show or free requests that kill upstreams"`

	Soak *soakCmd `arg:"subcommand:soak" help:"run real daemons on loopback addresses under random faults and check the promises"`
	Why  *whyCmd  `arg:"subcommand:why" help:"join the logs of daemons into the story of a request, an upstream or a configuration"`

	Replay *replayCmd `arg:"subcommand:replay" help:"replay a trace through the decision code in virtual time"`
}

// Description is shown by --help.
func (args) Description() string {
	return "dottereltiller drives the load balancer of that name: see and change what is in force, and measure it."
}

// Version is shown by --version.
func (args) Version() string { return "dottereltiller " + telemetry.Version() }

func main() {
	var a args
	p := cli.MustParse("dottereltiller", &a)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.Fail("name a command")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// A second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	err := cmd.run(ctx)
	if errors.Is(err, context.Canceled) && ctx.Err() != nil {
		fmt.Fprintln(os.Stderr, "dottereltiller: interrupted")
		os.Exit(exitcode.Interrupted)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "dottereltiller:", err)
		os.Exit(exitcode.Of(err))
	}
}
