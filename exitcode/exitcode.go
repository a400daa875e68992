// Package exitcode maps errors to the exit codes of the daemon and of the
// operator's command line. An error type chooses its exit code with a method
// ExitCode() int; the code of any other error is Failure.
package exitcode

import "errors"

// Exit codes. Success is 0.
const (
	// Failure stands for any error that neither has an ExitCode method nor wraps an
	// error with one.
	Failure = 1
	// Usage stands for an invalid flag, argument, settings file or input file.
	Usage = 2
	// Invariant means that the daemon stopped because an internal invariant was
	// violated; see package core/invariant.
	Invariant = 3
	// Interrupted means that the user interrupted the program. By the convention of
	// shells it is 128 plus the number of the signal SIGINT.
	Interrupted = 130
)

// Of returns the exit code for an error, 0 for nil.
func Of(err error) int {
	if err == nil {
		return 0
	}
	var coded interface{ ExitCode() int }
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return Failure
}
