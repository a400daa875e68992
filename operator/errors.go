package operator

import (
	"fmt"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// The exit codes of the commands that publish.
const (
	// ExitSuperseded means that another change with the same base version came first.
	ExitSuperseded = 3
	// ExitInvalid means that the change is not valid.
	ExitInvalid = 4
	// ExitUnknown means that it is not known whether the change was accepted.
	ExitUnknown = 5
	// ExitLagging means that the change was accepted but is not in force everywhere yet.
	ExitLagging = 6
)

// InvalidError reports a change that is not valid, for example because the resulting
// configuration does not compile.
type InvalidError struct{ Problem error }

// Error names the problem.
func (e *InvalidError) Error() string { return fmt.Sprintf("invalid: %v", e.Problem) }

// Unwrap returns the problem.
func (e *InvalidError) Unwrap() error { return e.Problem }

// ExitCode returns ExitInvalid.
func (e *InvalidError) ExitCode() int { return ExitInvalid }

// SupersededError reports that the change was not accepted because another change with the
// same base version came first.
type SupersededError struct {
	ChangeID string
	// Base is the version that the change is based on.
	Base model.Version
	// Current is the current version.
	Current model.Version
	// By, ByChange and ByComment are the author, id and comment of the change
	// that came first. They are empty if the log no longer holds that change.
	By, ByChange, ByComment string
	// Differences are the differences that the change would make to the current version.
	Differences []Difference
}

// Error names the change that came first and its author.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("superseded: version %d was made by %q (change %s, %q) before this change based on version %d; version %d is current",
		e.Base+1, e.By, e.ByChange, e.ByComment, e.Base, e.Current)
}

// ExitCode returns ExitSuperseded.
func (e *SupersededError) ExitCode() int { return ExitSuperseded }

// UnknownError reports that it is not known whether a change was accepted.
type UnknownError struct {
	ChangeID string
	Err      error
}

// Error contains the id of the change, by which the operator can look for it.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown: change %s may or may not have been accepted; look for it with \"history\": %v", e.ChangeID, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// ExitCode returns ExitUnknown.
func (e *UnknownError) ExitCode() int { return ExitUnknown }

// LaggingError reports that a version is not yet in force at every daemon.
type LaggingError struct {
	Version model.Version
	// Zones is the last known status of all availability zones.
	Zones []ZoneStatus
}

// Error names the zones in which the version may not be in force yet at some queried daemon.
func (e *LaggingError) Error() string {
	text := fmt.Sprintf("version %d is accepted but not yet in force everywhere:", e.Version)
	for _, z := range e.Zones {
		if z.Lags(e.Version) {
			text += fmt.Sprintf(" %s (oldest version %d, %d of %d daemons responded)", z.Zone, z.Oldest, z.Answered, z.Asked)
		}
	}
	return text
}

// ExitCode returns ExitLagging.
func (e *LaggingError) ExitCode() int { return ExitLagging }
