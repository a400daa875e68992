//go:build cgo && unix

package hangup

/*
#include <signal.h>

static void (*inherited)(int);

// Runs before the Go runtime, which takes milliseconds to start. It leaves an ignored
// signal alone until signal.Notify asks for it.
__attribute__((constructor)) static void ignore_hangup(void) {
	inherited = signal(SIGHUP, SIG_IGN);
}

static void restore_hangup(void) { signal(SIGHUP, inherited); }
*/
import "C"

// restore takes back what the constructor did, which signal.Reset takes for the inherited
// action.
func restore() { C.restore_hangup() }
