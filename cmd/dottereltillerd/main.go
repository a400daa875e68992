// Command dottereltillerd is the daemon that runs on the VM of each upstream.
//
// Exit codes: 0 stopped by a signal, 1 failure, 2 wrong usage or settings, 3 violated
// invariant.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/dottereltiller/dottereltiller/cmd/internal/cli"
	"github.com/dottereltiller/dottereltiller/cmd/internal/hangup"
	"github.com/dottereltiller/dottereltiller/daemon"
	"github.com/dottereltiller/dottereltiller/exitcode"
	"github.com/dottereltiller/dottereltiller/identity"
	"github.com/dottereltiller/dottereltiller/platform"
	"github.com/dottereltiller/dottereltiller/settings"
	"github.com/dottereltiller/dottereltiller/telemetry"
)

type args struct {
	Settings      string `arg:"--settings,env:DOTTERELTILLER_SETTINGS" help:"path of the settings file"`
	Check         bool   `arg:"--check" help:"check the settings file and exit"`
	PrintDefaults bool   `arg:"--print-defaults" help:"print the default settings and exit"`
}

// Description is shown by --help.
func (args) Description() string {
	return "dottereltillerd runs on the VM of an upstream. It forwards requests of local callers to any service and limits the concurrency of the local upstream."
}

// Version is shown by --version.
func (args) Version() string { return "dottereltillerd " + telemetry.Version() }

func main() {
	var a args
	p := cli.MustParse("dottereltillerd", &a)
	if a.PrintDefaults {
		printDefaults()
		return
	}
	if path := os.Getenv(platform.SettingsEnv); a.Settings == "" && path != "" {
		runOnPlatform(path, a.Check)
		return
	}
	hangup.RestoreInherited()
	if a.Settings == "" {
		p.Fail("no settings file: set --settings or DOTTERELTILLER_SETTINGS")
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		exit(err, exitcode.Usage)
	}
	if a.Check {
		checkCertificates(s)
		return
	}
	if err := run(s); err != nil {
		exit(err, exitcode.Of(err))
	}
}

// exit prints the error and ends the process with an exit code. If an invariant was violated, it
// also prints a state dump.
func exit(err error, code int) {
	fmt.Fprintln(os.Stderr, "dottereltillerd:", err)
	var violation *daemon.InvariantError
	if errors.As(err, &violation) {
		fmt.Fprintln(os.Stderr, violation.Dump())
	}
	os.Exit(code)
}

// checkCertificates loads the certificates named in the settings. If one is invalid, it ends the
// process with an error.
func checkCertificates(s settings.Settings) {
	if _, err := identity.Load("callers.tls", s.Callers.TLS); err != nil {
		exit(err, exitcode.Of(err))
	}
	if _, err := identity.Load("peers.tls", s.Peers.TLS); err != nil {
		exit(err, exitcode.Of(err))
	}
}

func printDefaults() {
	text, err := settings.Defaults().JSON()
	if err != nil {
		exit(err, exitcode.Failure)
	}
	fmt.Println(string(text))
}

// run runs a daemon that is not on the users' platform until a signal stops the daemon.
func run(s settings.Settings) error {
	ignoreBrokenPipe()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	if s.Process.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(s.Process.MemoryLimitBytes)
	}
	debug.SetGCPercent(s.Process.GCPercent)
	logger := telemetry.NewLogger(os.Stderr, s.Logging.Format, s.Logging.SlogLevel())
	d, err := daemon.New(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go handleSignals(signals, stop, d)
	log.SetOutput(d.LibraryLogWriter())
	return d.Serve(ctx)
}

// runOnPlatform runs a daemon on the users' platform with the platform's settings file at
// path. If check is true, it only validates the file.
func runOnPlatform(path string, check bool) {
	if check {
		if _, err := platform.LoadSettings(path); err != nil {
			exit(err, exitcode.Usage)
		}
		return
	}
	ignoreBrokenPipe()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := platform.Run(ctx, path, hangup.Signals); err != nil {
		exit(err, exitcode.Of(err))
	}
}

// ignoreBrokenPipe makes writes to a closed pipe return an error. By default, the Go runtime ends
// the process on SIGPIPE after such a write to standard output or standard error. A log collector
// that exits would thus end the daemon.
func ignoreBrokenPipe() { signal.Ignore(syscall.SIGPIPE) }

// handleSignals stops the daemon at the first signal and aborts the requests in flight at the
// second. A third signal ends the process at once.
func handleSignals(signals <-chan os.Signal, stop func(), d *daemon.Daemon) {
	<-signals
	stop()
	<-signals
	signal.Reset(os.Interrupt, syscall.SIGTERM)
	d.AbortDrain()
}
