package outcome

import "time"

// Kind is one of the three outcomes. The zero value is Unknown, so an Outcome that has not
// been set makes no claim about whether the request ran.
type Kind uint8

// The possible outcomes. The package comment defines them.
const (
	Unknown Kind = iota
	NotRun
	Answered
)

// String returns the name that the response header Dottereltiller-Outcome and reports use.
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

// ParseKind returns the Kind with the given name, as returned by Kind.String. It returns
// Unknown and false if no Kind has this name.
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

// Reason explains an outcome. It is part of the interface to callers: the values are
// stable, documented in docs/CALLERS.md, and used as metric labels.
type Reason string

// The possible reasons. Reason.Detail describes each of them.
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
	ReasonEvacuated        Reason = "evacuated"
	ReasonDraining         Reason = "draining"
	ReasonWithdrawn        Reason = "withdrawn"
	ReasonUpstreamRefused  Reason = "upstream-refused"
	ReasonConnect          Reason = "connect-failed"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonTruncated        Reason = "truncated"
	ReasonResponseTooLarge Reason = "response-too-large"
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
	ReasonOverQuota        Reason = "over-quota"
	ReasonQuotaUnknown     Reason = "quota-unknown"
)

// Outcome is the outcome of one attempt or of a whole request.
type Outcome struct {
	Kind   Kind
	Reason Reason
	// RetryAfter tells the caller when to retry. Zero means that no time is given.
	RetryAfter time.Duration
}

// NotRunBecause returns the Outcome of a request that provably did not run, for reason r.
func NotRunBecause(r Reason) Outcome { return Outcome{Kind: NotRun, Reason: r} }

// UnknownBecause returns the Outcome of a request that may or may not have run, for reason r.
func UnknownBecause(r Reason) Outcome { return Outcome{Kind: Unknown, Reason: r} }

// ResponseComplete returns the Outcome of a request whose complete response was received.
func ResponseComplete() Outcome { return Outcome{Kind: Answered} }

// MaySucceedElsewhere reports whether an immediate attempt at another upstream may succeed.
// MayRetry reports whether such an attempt is safe.
func (o Outcome) MaySucceedElsewhere() bool {
	switch o.Reason {
	case ReasonNoUpstream, ReasonQueueFull, ReasonShed, ReasonDraining, ReasonWithdrawn,
		ReasonUpstreamRefused, ReasonConnect, ReasonConnectionLost, ReasonTruncated,
		ReasonResponseTooLarge, ReasonUpstreamCrashed:
		return true
	default:
		return false
	}
}

// NeedsNoRetryBudget reports whether the attempt put no load on any upstream and failed only because
// the upstream was chosen from outdated information. A retry after such an attempt needs no
// retry budget.
func (o Outcome) NeedsNoRetryBudget() bool {
	return o.Kind == NotRun && (o.Reason == ReasonDraining || o.Reason == ReasonWithdrawn)
}

// MayRetry reports whether sending the request again is safe. idempotent is set if running
// the request twice does no harm.
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

// After returns the outcome of a request after an attempt with outcome o. earlier is the
// outcome of the request before that attempt. The result is o, with one exception: if o is
// NotRun and earlier is Unknown, the result is earlier, since an earlier attempt may have run
// the request.
func (o Outcome) After(earlier Outcome) Outcome {
	if o.Kind == NotRun && earlier.Kind == Unknown {
		return earlier
	}
	return o
}
