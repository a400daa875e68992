package owner

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
	"github.com/dottereltiller/dottereltiller/hop"
	"github.com/dottereltiller/dottereltiller/wire"
)

// retryTimeouts are the times since the start of Submit after which the routing side
// stops retrying a submission.
type retryTimeouts struct {
	// ownerUnreachable applies if the owner is unreachable or responds that it
	// does not own the key. When this time has passed, the outcome of the
	// submission is unknown with outcome.ReasonKeyOwnerLost.
	ownerUnreachable time.Duration
	// unassigned applies if the ledger names no owner, because the timestamp of
	// the key is beyond all grants or the ledger is incomplete.
	unassigned time.Duration
}

func defaultRetryTimeouts() retryTimeouts {
	return retryTimeouts{ownerUnreachable: 2 * time.Second, unassigned: time.Second}
}

// maxSuspectedOwners bounds the number of suspected owners that are remembered.
const maxSuspectedOwners = 1024

// Submit sends a keyed call with its body to the owner of the key and returns the
// result. It retries while the key has no known owner, and while the owner is
// unreachable or is handing over its claims. Retries are safe because the owner
// recognizes the key. If Submit gets no final outcome from an owner, the outcome
// is unknown.
func (s *Service) Submit(ctx context.Context, c *wire.Call, body []byte) *wire.Result {
	key, err := claims.ParseKey(c.Key)
	if err != nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonKeyInvalid))
	}
	start := time.Now()
	for refreshed := false; ; refreshed = true {
		interval, ownership := s.lookup(key)
		if ownership == claims.Pruned {
			return s.unresolved(outcome.ReasonKeyExpired)
		}
		reason, timeout := outcome.ReasonKeyNotOwned, s.retryTimeouts.unassigned
		if ownership == claims.Owned {
			result := s.submitTo(ctx, interval.Owner, c, body)
			if result.Outcome.Kind == outcome.Answered || isFinal(result.Outcome) {
				s.clearSuspicion(interval.Owner.Incarnation)
				return result
			}
			reason, timeout = result.Outcome.Reason, s.retryTimeout(interval.Owner.Incarnation)
			if reason == reasonOwnerMoving {
				timeout = c.Timeout
			}
		}
		if refreshed && time.Since(start) >= timeout || ctx.Err() != nil {
			return s.giveUp(ctx, interval.Owner, ownership, reason)
		}
		s.metrics.resubmissions.Inc(1)
		s.refresh(ctx)
	}
}

// isFinal reports whether an outcome without a response is the final outcome of the
// submission. The outcome is not final if the owner could not be reached, does
// not own the key after all, or is handing over its claims.
func isFinal(o outcome.Outcome) bool {
	if o.Kind == outcome.NotRun {
		return true
	}
	switch o.Reason {
	case outcome.ReasonKeyNotOwned, reasonOwnerMoving, reasonOwnerUnreachable:
		return false
	default:
		return true
	}
}

// These reasons are used only inside this package.
const (
	// reasonOwnerUnreachable means that no response of the owner arrived.
	reasonOwnerUnreachable outcome.Reason = "owner-unreached"
	// reasonOwnerMoving means that the owner is handing over its claims.
	reasonOwnerMoving outcome.Reason = "owner-moving"
)

// giveUp returns the result of a submission for which no final outcome arrived in
// time. If the key is owned and the context has not ended, giveUp also makes the owner o
// suspected. reason is the reason in the outcome of the last attempt.
func (s *Service) giveUp(ctx context.Context, o claims.Owner, ownership claims.Ownership, reason outcome.Reason) *wire.Result {
	switch {
	case ctx.Err() != nil:
		return s.unresolved(outcome.ReasonDeadline)
	case ownership == claims.Owned:
		s.suspectOwner(o.Incarnation)
		return s.unresolved(outcome.ReasonKeyOwnerLost)
	default:
		return s.unresolved(reason)
	}
}

// unresolved counts a submission without a final outcome, and returns its result: the
// outcome is unknown, with the given reason.
func (s *Service) unresolved(r outcome.Reason) *wire.Result {
	s.metrics.countUnresolved(r)
	o := outcome.Outcome{Kind: outcome.Unknown, Reason: r}
	if r == outcome.ReasonKeyNotOwned || r == outcome.ReasonDeadline {
		o.RetryAfter = retryAfter
	}
	return wire.NoResponse(o)
}

// lookup returns the ownership of a key. If the key is owned, it also returns the
// interval of granted timestamps that contains the key, with the owner.
func (s *Service) lookup(key claims.Key) (claims.Interval, claims.Ownership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Lookup(key.Range(s.opts.Ranges), key.Stamp())
}

// submitTo sends one submission to an owner, which may be in this daemon. The submission
// is a copy of c with an ID of its own, the given body and the time that ctx leaves.
func (s *Service) submitTo(ctx context.Context, o claims.Owner, c *wire.Call, body []byte) *wire.Result {
	submission := *c
	submission.ID = uuid.NewString()
	submission.Header = c.Header.Clone()
	submission.ContentLength = int64(len(body))
	submission.Body = nil
	if len(body) > 0 {
		submission.Body = bytes.NewReader(body)
	}
	if deadline, ok := ctx.Deadline(); ok {
		submission.Timeout = time.Until(deadline)
	}
	if o.Daemon == s.opts.Self {
		return s.handleSubmission(ctx, &submission)
	}
	return s.submitRemote(ctx, o.Daemon, &submission)
}

// submitRemote sends a submission to an owner in another daemon. It reads a response that
// is small enough to be retained completely before it returns. If such a response is
// truncated, the result is that of an unreachable owner, so that Submit retries.
func (s *Service) submitRemote(ctx context.Context, to model.DaemonID, c *wire.Call) *wire.Result {
	c.SetInternalHeaders(c.Header)
	c.Header.Set(wire.HeaderDestination, wire.DestinationOwner)
	c.Header.Set(wire.HeaderAuth, s.opts.PeerSecret)
	resp, _, err := s.opts.Client.Do(ctx, hop.Request{
		Address:       string(to),
		Method:        c.Method,
		Target:        c.Target,
		Host:          string(to),
		Header:        c.Header,
		Body:          c.Body,
		ContentLength: c.ContentLength,
	})
	if err != nil {
		return ownerUnreachable()
	}
	result, err := wire.ReadResult(resp, c.ID)
	if err != nil {
		_ = resp.Body.Close()
		return ownerUnreachable()
	}
	if result.Outcome.Kind != outcome.Answered {
		_ = result.Body.Close()
		return wire.NoResponse(result.Outcome)
	}
	if result.ContentLength < 0 || result.ContentLength > s.opts.MaxResponseBytes {
		return result
	}
	body, err := io.ReadAll(result.Body)
	_ = result.Body.Close()
	if err != nil {
		return ownerUnreachable()
	}
	result.Body = io.NopCloser(bytes.NewReader(body))
	return result
}

// ownerUnreachable returns the result of an attempt that got no response.
func ownerUnreachable() *wire.Result {
	return wire.NoResponse(outcome.UnknownBecause(reasonOwnerUnreachable))
}

// retryTimeout returns for how long Submit retries an owner that does not respond.
// For a suspected owner the time is 0, so that Submit tries only once more, after a
// refresh of the ledger.
func (s *Service) retryTimeout(incarnation uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, suspected := s.suspectedSince[incarnation]; suspected {
		return 0
	}
	return s.retryTimeouts.ownerUnreachable
}

// suspectOwner remembers that an owner could not be reached, so that NewKey
// returns no keys of that owner. It first forgets suspicions that are older than
// GrantDuration. If maxSuspectedOwners suspicions are left, it adds none.
func (s *Service) suspectOwner(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for suspected, since := range s.suspectedSince {
		if time.Since(since) > s.opts.GrantDuration {
			delete(s.suspectedSince, suspected)
		}
	}
	if len(s.suspectedSince) < maxSuspectedOwners {
		s.suspectedSince[incarnation] = time.Now()
	}
}

// clearSuspicion removes an owner that has responded from the suspected owners.
func (s *Service) clearSuspicion(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspectedSince, incarnation)
}
