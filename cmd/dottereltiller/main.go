// Command dottereltiller is the operator's command line.
//
// Each subcommand has its own file with a struct of its flags and a run method.
// Exit codes: 0 success, 1 failure, 2 wrong usage or input, 130 interrupted.
// Commands that publish a change also use: 3 superseded by another change, 4 invalid
// change, 5 unknown whether accepted, 6 accepted but not yet in force everywhere.
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

// command is implemented by the struct of each subcommand.
type command interface {
	run(ctx context.Context) error
}

// args lists the subcommands. The type of each field implements command.
type args struct {
	Bench *benchCmd `arg:"subcommand:bench" help:"measure the latency and the resource usage of daemons on this machine"`
	Demo  *demoCmd  `arg:"subcommand:demo" help:"run a small deployment in this process and check its behavior"`
	Trace *traceCmd `arg:"subcommand:trace" help:"show traces of recent requests"`

	Load   *loadCmd   `arg:"subcommand:load" help:"send open-loop load to running daemons and measure latency and errors as seen by callers"`
	Report *reportCmd `arg:"subcommand:report" help:"plot results of load and replay side by side"`

	Publish  *publishCmd  `arg:"subcommand:publish" help:"publish documents as a new version"`
	History  *historyCmd  `arg:"subcommand:history" help:"show the changes on the log and whether they were accepted"`
	Diff     *diffCmd     `arg:"subcommand:diff" help:"compare documents or versions"`
	Rollback *rollbackCmd `arg:"subcommand:rollback" help:"publish the documents of an earlier version as a new one"`
	Evacuate *evacuateCmd `arg:"subcommand:evacuate" help:"keep requests away from the upstreams of an availability zone, or take the zone back"`
	Status   *statusCmd   `arg:"subcommand:status" help:"show the version in force in every availability zone, and services, groups and upstreams"`
	Platform *platformCmd `arg:"subcommand:platform" help:"run a fake of the platform's log, for trials and tests"`

	StartOver *startOverCmd `arg:"subcommand:start-over" help:"append an empty configuration to a log that has lost the configuration, if no daemon holds it either"`
	Upstream  *upstreamCmd  `arg:"subcommand:upstream" help:"run a fake upstream for a daemon, for trials and tests"`

	Validate *validateCmd `arg:"subcommand:validate" help:"check documents and show the policy of each service and the group of each caller"`
	Explain  *explainCmd  `arg:"subcommand:explain" help:"show why a caller belongs to a group at a service"`

	Quarantine *quarantineCmd `arg:"subcommand:quarantine" help:"list or release requests that are quarantined because they crash upstreams"`

	Soak *soakCmd `arg:"subcommand:soak" help:"run daemons on loopback addresses, inject random faults and check their guarantees"`
	Why  *whyCmd  `arg:"subcommand:why" help:"join the logs of daemons into a timeline of a request, an upstream or a configuration"`

	Replay *replayCmd `arg:"subcommand:replay" help:"replay a trace through the load-balancing code in virtual time"`
}

// Description is shown by --help.
func (args) Description() string {
	return "dottereltiller operates the load balancer of the same name: it shows and changes the configuration in force and measures performance."
}

// Version is shown by --version.
func (args) Version() string { return "dottereltiller " + telemetry.Version() }

func main() {
	var a args
	p := cli.MustParse("dottereltiller", &a)
	cmd, ok := p.Subcommand().(command)
	if !ok {
		p.Fail("missing subcommand")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restore the default action after the first signal, so that a second signal ends the
	// process at once.
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
