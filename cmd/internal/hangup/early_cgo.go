//go:build cgo && unix

package hangup

/*
#include <signal.h>

static void (*inherited)(int);

// Runs before the Go runtime, which takes milliseconds to start. The runtime does not change
// the action of an ignored signal until signal.Notify is called for it.
__attribute__((constructor)) static void ignore_hangup(void) {
	inherited = signal(SIGHUP, SIG_IGN);
}

static void restore_hangup(void) { signal(SIGHUP, inherited); }
*/
import "C"

// restore sets the inherited action of SIGHUP again. signal.Reset cannot do this: it regards
// the action set by the constructor as the inherited one.
func restore() { C.restore_hangup() }
