package outcome

import "time"

// Kind is one of the three outcomes. The zero value is Unknown, so that an
// outcome nobody has settled never claims more than is proved.
type Kind uint8

// The outcomes.
const (
	Unknown Kind = iota
	NotRun
	Answered
)

// String returns the word used in the response header and in reports.
func (k Kind) String() string {
	switch k {
	case NotRun:
		return "not-run"
	case Answered:
		return "answered"
	default:
		return "unknown"
	}
}

// ParseKind is the inverse of Kind.String. Any other word is Unknown, false.
func ParseKind(s string) (Kind, bool) {
	switch s {
	case "not-run":
		return NotRun, true
	case "answered":
		return Answered, true
	case "unknown":
		return Unknown, true
	default:
		return Unknown, false
	}
}

// Reason tells why an outcome came about. It is part of the caller interface:
// values are stable, documented in docs/CALLERS.md and used as a metric tag.
type Reason string

// The reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoService        Reason = "no-such-service"
	ReasonNoUpstream       Reason = "no-upstream"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonForbidden        Reason = "forbidden"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonNoMemory         Reason = "no-memory"
	ReasonQueueFull        Reason = "queue-full"
	ReasonShed             Reason = "over-share"
	ReasonCeiling          Reason = "over-ceiling"
	ReasonDeadline         Reason = "deadline"
	ReasonDraining         Reason = "draining"
	ReasonWithdrawn        Reason = "withdrawn"
	ReasonUpstreamRefused  Reason = "upstream-refused"
	ReasonConnect          Reason = "connect-failed"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonTruncated        Reason = "truncated"
	ReasonCancelled        Reason = "cancelled"
	ReasonQuarantined      Reason = "quarantined"
	ReasonKeyInProgress    Reason = "key-in-progress"
	ReasonKeyMismatch      Reason = "key-mismatch"
	ReasonKeyInvalid       Reason = "key-invalid"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonKeyNotOwned      Reason = "key-not-owned"
	ReasonKeyOwnerLost     Reason = "key-owner-lost"
	ReasonKeyAnswerGone    Reason = "key-answer-gone"
	ReasonKeyOutcome       Reason = "key-outcome-unknown"
	ReasonDepth            Reason = "too-deep"
	ReasonInternal         Reason = "internal"
	ReasonNotReady         Reason = "not-ready"
	ReasonUpstreamCrashed  Reason = "upstream-crashed"
	ReasonUpgradeForbidden Reason = "upgrade-refused"
)

// Outcome is the outcome of one attempt or of a whole request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter tells the caller when to come back. Zero means no advice.
	RetryAfter time.Duration
}

// NotRunBecause returns a proved "not run" outcome.
func NotRunBecause(r Reason) Outcome { return Outcome{Kind: NotRun, Reason: r} }

// UnknownBecause returns an outcome for which neither running nor not running
// is proved.
func UnknownBecause(r Reason) Outcome { return Outcome{Kind: Unknown, Reason: r} }

// Done returns the outcome of a whole answer.
func Done() Outcome { return Outcome{Kind: Answered} }

// Elsewhere reports whether another upstream may do better at once. It does not
// say that sending the request again is safe; MayRetry does.
func (o Outcome) Elsewhere() bool {
	switch o.Reason {
	case ReasonNoUpstream, ReasonQueueFull, ReasonShed, ReasonDraining, ReasonWithdrawn,
		ReasonUpstreamRefused, ReasonConnect, ReasonConnectionLost, ReasonTruncated,
		ReasonUpstreamCrashed:
		return true
	default:
		return false
	}
}

// Costless reports whether the attempt put no load on any upstream and failed
// only because the choice of upstream was out of date.
func (o Outcome) Costless() bool {
	return o.Kind == NotRun && (o.Reason == ReasonDraining || o.Reason == ReasonWithdrawn)
}

// MayRetry reports whether sending the request again is safe.
func (o Outcome) MayRetry(idempotent bool) bool {
	switch o.Kind {
	case NotRun:
		return true
	case Unknown:
		return idempotent
	default:
		return false
	}
}

// After returns the outcome of a request whose attempt before this one ended as
// earlier: once an attempt is unknown, a later "not run" proves nothing about
// the request.
func (o Outcome) After(earlier Outcome) Outcome {
	if o.Kind == NotRun && earlier.Kind == Unknown {
		return earlier
	}
	return o
}
