package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/peer"
	peerv1 "github.com/dottereltiller/dottereltiller/proto/dottereltiller/peer/v1"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// ErrNoSuccessor is returned when no other daemon accepted the claims of a draining
// daemon.
var ErrNoSuccessor = errors.New("no daemon accepted the claims; the outcome of their keys will be unknown")

const (
	// executionWaitDivisor determines how long a drain waits for executions in
	// flight: for the time to the deadline of the drain, divided by
	// executionWaitDivisor. If an execution has not finished when the wait ends, its
	// claim is handed over with an unknown outcome.
	executionWaitDivisor = 2
	// maxSuccessors bounds the number of daemons that are asked to accept the
	// claims.
	maxSuccessors = 8
	// transferPollInterval is the pause between two attempts to append the
	// transfer, the record that makes the successor the owner.
	transferPollInterval = 10 * time.Millisecond
	// messageTimeout bounds one handover message.
	messageTimeout = 2 * time.Second
	// transferTimeout bounds the wait for the transfer to be on the log. If the
	// transfer does not get onto the log, for example because the log is down, the
	// outcome of the claimed requests is "unknown" once the daemon has stopped.
	transferTimeout = 5 * time.Second
)

// Drain gives up the ownership of keys. It stops accepting submissions, waits for
// executions in flight, hands the claims over to a successor and records the
// transfer on the log. It returns ErrNoSuccessor if no daemon accepts the claims,
// and the error of the context if the transfer does not get onto the log in time. If
// this daemon owns no keys, Drain returns nil without a handover. The daemon must keep
// serving requests until Drain returns, so that other daemons learn that the keys are
// moving. Drain may be called only once.
func (s *Service) Drain(ctx context.Context) error {
	s.sealTable()
	s.awaitExecutions(ctx)
	s.readGrants(ctx)
	if s.ownedUntil() == 0 {
		return nil
	}
	successor, err := s.sendClaimsToSuccessor(ctx)
	if err != nil {
		s.metrics.failedHandovers.Inc(1)
		return err
	}
	if err := s.appendTransfer(ctx, successor); err != nil {
		s.metrics.failedHandovers.Inc(1)
		return err
	}
	s.metrics.handovers.Inc(1)
	s.opts.Logger.Info("claims handed over", "to", successor.Daemon)
	return nil
}

// sealTable makes the claim table accept no more claims.
func (s *Service) sealTable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Seal()
}

// ownedUntil returns the end of the last interval of timestamps that is granted to this
// incarnation of the owner, or 0 if none is granted.
func (s *Service) ownedUntil() claims.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.OwnedUntil(s.self.Incarnation)
}

// ownsNothing reports whether the ledger is complete and shows that this incarnation
// of the owner owns no keys.
func (s *Service) ownsNothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.IsComplete() && s.ledger.OwnedUntil(s.self.Incarnation) == 0
}

// awaitExecutions waits until the executions in flight are done. If ctx has a deadline,
// it waits for at most the time to that deadline divided by executionWaitDivisor.
func (s *Service) awaitExecutions(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/executionWaitDivisor)
		defer cancel()
	}
	for _, e := range s.executionsInFlight() {
		select {
		case <-e.done:
		case <-ctx.Done():
			return
		}
	}
}

// executionsInFlight returns the executions in flight.
func (s *Service) executionsInFlight() []*execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make([]*execution, 0, len(s.executions))
	for _, e := range s.executions {
		executions = append(executions, e)
	}
	return executions
}

// sendClaimsToSuccessor sends the claims to one daemon after the other until a
// daemon accepts them all, and returns that daemon. The order is random, so that
// a rolling restart does not concentrate the claims on a few daemons. If none of
// the first maxSuccessors daemons accepts them, it returns ErrNoSuccessor.
func (s *Service) sendClaimsToSuccessor(ctx context.Context) (claims.Owner, error) {
	if s.opts.Messenger == nil {
		return claims.Owner{}, ErrNoSuccessor
	}
	s.mu.Lock()
	chunks, err := s.table.Export(s.ledger)
	s.mu.Unlock()
	if err != nil {
		return claims.Owner{}, err
	}
	candidates := s.opts.Candidates()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	attemptCount := 0
	for _, d := range candidates {
		if d == s.opts.Self {
			continue
		}
		if attemptCount++; attemptCount > maxSuccessors {
			break
		}
		if incarnation, err := s.sendClaimsTo(ctx, d, chunks); err == nil {
			return claims.Owner{Daemon: d, Incarnation: incarnation}, nil
		}
	}
	return claims.Owner{}, ErrNoSuccessor
}

// sendClaimsTo sends the chunks of the encoded claims to a daemon and returns the
// incarnation of the owner that accepted them all. The first message has no claims: it
// asks for the incarnation, which the messages with claims then require. If the daemon
// rejects a message, sendClaimsTo returns claims.ErrHandover.
func (s *Service) sendClaimsTo(ctx context.Context, d model.DaemonID, chunks [][]byte) (uint64, error) {
	incarnation := uint64(0)
	for _, chunk := range append([][]byte{nil}, chunks...) {
		resp, err := s.sendHandOver(ctx, d, &peerv1.HandOverRequest{From: string(s.opts.Self), Claims: chunk, ToLife: incarnation})
		if err != nil {
			return 0, err
		}
		if !resp.Accepted {
			return 0, claims.ErrHandover
		}
		incarnation = resp.Life
	}
	return incarnation, nil
}

func (s *Service) sendHandOver(ctx context.Context, d model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return s.opts.Messenger.HandOver(ctx, d, req)
}

// appendTransfer appends the transfer repeatedly, for at most transferTimeout, until a
// read of the log shows that this incarnation owns no keys. So it also repeats an append
// whose response was lost. A second copy of the transfer on the log has no effect,
// because no ownership is left to transfer.
func (s *Service) appendTransfer(ctx context.Context, successor claims.Owner) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	rec := claims.Record{Transfer: &claims.Transfer{From: s.self.Incarnation, To: successor}}
	for !s.ownsNothing() {
		if _, err := s.opts.Log.Append(ctx, recordlog.StreamGrants, [][]byte{rec.Encode()}); err != nil {
			s.metrics.failedAppends.Inc(1)
		}
		s.readGrants(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(transferPollInterval):
		}
	}
	return nil
}

// HandOver imports the claims of another daemon that is draining. It does not accept the
// claims if the request names another incarnation than that of this owner, or if the
// claims cannot be imported. For a request without claims it only returns the
// incarnation of this owner and whether this owner accepts claims.
func (s *Service) HandOver(_ context.Context, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	resp := &peerv1.HandOverResponse{Life: s.self.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(req.Claims) == 0 {
		resp.Accepted = !s.table.IsSealed()
		return resp, nil
	}
	resp.Accepted = req.ToLife == s.self.Incarnation && s.table.Import(req.Claims) == nil
	return resp, nil
}

// PeerMessenger is a Messenger that sends handover messages through a peer client.
type PeerMessenger struct{ Client *peer.Client }

// HandOver implements Messenger.
func (m PeerMessenger) HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	resp, err := m.Client.To(to).HandOver(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
