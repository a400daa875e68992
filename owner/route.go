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

// retryTimeouts is how long the routing side tries what does not succeed at once.
type retryTimeouts struct {
	// ownerLost is for an owner that cannot be reached or says that it is not the
	// owner. Then it counts as lost.
	ownerLost time.Duration
	// unassigned is for a stamp beyond all grants, and for a ledger not proven yet.
	unassigned time.Duration
}

func defaultRetryTimeouts() retryTimeouts {
	return retryTimeouts{ownerLost: 2 * time.Second, unassigned: time.Second}
}

// maxSuspects bounds the owners remembered as lost.
const maxSuspects = 1024

// Submit sends a keyed call with its body to the owner of the key and returns the
// answer. It sends again while the owner moves or cannot be reached, since the
// owner recognises the key. Whatever it cannot settle is unknown.
func (s *Service) Submit(ctx context.Context, c *wire.Call, body []byte) *wire.Result {
	key, err := claims.ParseKey(c.Key)
	if err != nil {
		return wire.NoResponse(outcome.NotRunBecause(outcome.ReasonKeyInvalid))
	}
	started := time.Now()
	for refreshed := false; ; refreshed = true {
		in, standing := s.lookup(key)
		if standing == claims.Pruned {
			return s.unresolved(outcome.ReasonKeyExpired)
		}
		reason, wait := outcome.ReasonKeyNotOwned, s.retryTimeouts.unassigned
		if standing == claims.Owned {
			a := s.submitTo(ctx, in.Owner, c, body)
			if a.Outcome.Kind == outcome.Answered || isFinal(a.Outcome) {
				s.clearSuspicion(in.Owner.Incarnation)
				return a
			}
			reason, wait = a.Outcome.Reason, s.retryTimeout(in.Owner.Incarnation)
			if reason == reasonOwnerMoving {
				wait = c.Timeout
			}
		}
		if refreshed && time.Since(started) >= wait || ctx.Err() != nil {
			return s.giveUp(ctx, in.Owner, standing, reason)
		}
		s.metrics.resubmitted.Inc(1)
		s.refresh(ctx)
	}
}

// isFinal reports whether an owner's outcome settles the submission. All others
// come from the way to the owner, or from a daemon that is not the owner.
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

// These reasons do not leave the package. reasonOwnerUnreachable marks an owner whose
// answer did not arrive, reasonOwnerMoving one that hands its claims over.
const (
	reasonOwnerUnreachable outcome.Reason = "owner-unreached"
	reasonOwnerMoving      outcome.Reason = "owner-moving"
)

func (s *Service) giveUp(ctx context.Context, o claims.Owner, standing claims.Ownership, reason outcome.Reason) *wire.Result {
	switch {
	case ctx.Err() != nil:
		return s.unresolved(outcome.ReasonDeadline)
	case standing == claims.Owned:
		s.suspectOwner(o.Incarnation)
		return s.unresolved(outcome.ReasonKeyOwnerLost)
	default:
		return s.unresolved(reason)
	}
}

func (s *Service) unresolved(r outcome.Reason) *wire.Result {
	s.metrics.countUnresolved(r)
	o := outcome.Outcome{Kind: outcome.Unknown, Reason: r}
	if r == outcome.ReasonKeyNotOwned || r == outcome.ReasonDeadline {
		o.RetryAfter = retryAfter
	}
	return wire.NoResponse(o)
}

func (s *Service) lookup(key claims.Key) (claims.Interval, claims.Ownership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Lookup(key.Range(s.opts.Ranges), key.Stamp())
}

// submitTo makes one submission to an owner.
func (s *Service) submitTo(ctx context.Context, o claims.Owner, c *wire.Call, body []byte) *wire.Result {
	sub := *c
	sub.ID = uuid.NewString()
	sub.Header = c.Header.Clone()
	sub.ContentLength = int64(len(body))
	sub.Body = nil
	if len(body) > 0 {
		sub.Body = bytes.NewReader(body)
	}
	if deadline, ok := ctx.Deadline(); ok {
		sub.Timeout = time.Until(deadline)
	}
	if o.Daemon == s.opts.Self {
		return s.handleSubmission(ctx, &sub)
	}
	return s.submitRemote(ctx, o.Daemon, &sub)
}

// submitRemote sends a submission to an owner in another daemon. A small answer
// is read whole, so that one that breaks off can be asked for again.
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
	a, err := wire.ReadResult(resp, c.ID)
	if err != nil {
		_ = resp.Body.Close()
		return ownerUnreachable()
	}
	if a.Outcome.Kind != outcome.Answered {
		_ = a.Body.Close()
		return wire.NoResponse(a.Outcome)
	}
	if a.ContentLength < 0 || a.ContentLength > s.opts.MaxResponseBytes {
		return a
	}
	data, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	if err != nil {
		return ownerUnreachable()
	}
	a.Body = io.NopCloser(bytes.NewReader(data))
	return a
}

func ownerUnreachable() *wire.Result {
	return wire.NoResponse(outcome.UnknownBecause(reasonOwnerUnreachable))
}

// retryTimeout returns how long an owner that does not answer is tried: one that
// others have tried in vain only once more, with the newest grants.
func (s *Service) retryTimeout(life uint64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, suspect := s.suspectedOwners[life]; suspect {
		return 0
	}
	return s.retryTimeouts.ownerLost
}

// suspectOwner remembers an owner that could not be reached, so that no keys are
// handed out for it.
func (s *Service) suspectOwner(life uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for l, since := range s.suspectedOwners {
		if time.Since(since) > s.opts.GrantDuration {
			delete(s.suspectedOwners, l)
		}
	}
	if len(s.suspectedOwners) < maxSuspects {
		s.suspectedOwners[life] = time.Now()
	}
}

func (s *Service) clearSuspicion(life uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspectedOwners, life)
}
