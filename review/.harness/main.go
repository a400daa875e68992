// Command harness plays the cases of the review. It starts real daemons on loopback addresses, with stand-ins
// of the store, the backends and the clients of the users' platform, and writes what it saw to record.txt.
//
// Usage: harness CASE FOLDER, in the root of the repository, after the build of the deploy file. Without the
// disruption if TROUBLE=0. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a whole case.
const maxDuration = 115 * time.Second

var cases = map[string]func(*world) bool{
	"late-extra":     lateExtra,
	"other-writer":   otherWriter,
	"late-heartbeat": lateHeartbeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitFailed)
	}
	w, err := newWorld(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		os.Exit(exitFailed)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxDuration):
		}
		w.logf("the case took too long or was ended")
		w.close()
		os.Exit(exitFailed)
	}()
	os.Exit(w.run(cases[os.Args[1]]))
}
