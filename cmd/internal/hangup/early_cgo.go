//go:build cgo && unix

package hangup

/*
#include <signal.h>

static void (*inherited)(int);

// Ignores SIGHUP before the Go runtime starts. The start of the runtime takes milliseconds. The
// runtime does not change the action of an ignored signal until signal.Notify is called for that
// signal.
__attribute__((constructor)) static void ignore_hangup(void) {
	inherited = signal(SIGHUP, SIG_IGN);
}

static void restore_hangup(void) { signal(SIGHUP, inherited); }
*/
import "C"

// restore restores the inherited action of SIGHUP. signal.Reset cannot do this, because it restores
// the action that the runtime found when it started. ignore_hangup had already set that to "ignore".
func restore() { C.restore_hangup() }
