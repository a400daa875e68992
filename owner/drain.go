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

// ErrNoSuccessor is returned when no daemon accepted the claims.
var ErrNoSuccessor = errors.New("no daemon accepted the claims; the outcome of their keys will be unknown")

const (
	// A drain waits for executions in flight for the time to its deadline
	// divided by executionWaitDivisor. It hands over the claims of executions
	// that have not finished by then with an unknown outcome.
	executionWaitDivisor = 2
	// maxSuccessors bounds the daemons that are asked to accept the claims.
	maxSuccessors        = 8
	transferPollInterval = 10 * time.Millisecond
	messageTimeout       = 2 * time.Second
	// transferTimeout bounds the wait for the transfer to be on the log. If the
	// daemon stops while the log is down, the transfer is missing and the
	// outcome of the claims is "unknown".
	transferTimeout = 5 * time.Second
)

// Drain stops owning keys: it accepts no more submissions, waits for executions
// in flight, hands the claims over to a successor and records the transfer on
// the log. The daemon must keep serving requests until Drain returns, so that
// other daemons learn that the keys have moved. Drain may be called only once.
func (s *Service) Drain(ctx context.Context) error {
	s.sealTable()
	s.awaitExecutions(ctx)
	s.readGrants(ctx)
	if s.ownedUntil() == 0 {
		return nil
	}
	successor, err := s.handOver(ctx)
	if err != nil {
		s.metrics.handoverFailed.Inc(1)
		return err
	}
	if err := s.appendTransfer(ctx, successor); err != nil {
		s.metrics.handoverFailed.Inc(1)
		return err
	}
	s.metrics.handedOver.Inc(1)
	s.opts.Logger.Info("claims handed over", "to", successor.Daemon)
	return nil
}

func (s *Service) sealTable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Seal()
}

// ownedUntil returns the end of the timestamps that are granted to this
// incarnation, 0 if there are none.
func (s *Service) ownedUntil() claims.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.OwnedUntil(s.self.Incarnation)
}

// ownsNothing reports whether, according to the whole log, this incarnation
// owns no keys.
func (s *Service) ownsNothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Complete() && s.ledger.OwnedUntil(s.self.Incarnation) == 0
}

// awaitExecutions waits for the executions in flight, for at most a fraction of
// the time left.
func (s *Service) awaitExecutions(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/executionWaitDivisor)
		defer cancel()
	}
	for _, e := range s.inFlight() {
		select {
		case <-e.done:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) inFlight() []*execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make([]*execution, 0, len(s.executions))
	for _, e := range s.executions {
		executions = append(executions, e)
	}
	return executions
}

// handOver sends the claims to the first daemon that accepts them all. It tries
// daemons in random order, so that a rolling restart does not concentrate the
// claims on a few of them.
func (s *Service) handOver(ctx context.Context) (claims.Owner, error) {
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
	triedCount := 0
	for _, d := range candidates {
		if d == s.opts.Self {
			continue
		}
		if triedCount++; triedCount > maxSuccessors {
			break
		}
		if incarnation, err := s.handOverTo(ctx, d, chunks); err == nil {
			return claims.Owner{Daemon: d, Incarnation: incarnation}, nil
		}
	}
	return claims.Owner{}, ErrNoSuccessor
}

// handOverTo sends the chunks to one incarnation of a daemon and returns that
// incarnation. A first message without claims asks for the incarnation.
func (s *Service) handOverTo(ctx context.Context, d model.DaemonID, chunks [][]byte) (uint64, error) {
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

// appendTransfer appends the transfer until a read of the log shows it, for at
// most transferTimeout. An append whose response was lost is repeated; a second
// transfer has no effect, because no ownership is left to transfer.
func (s *Service) appendTransfer(ctx context.Context, successor claims.Owner) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	rec := claims.Record{Transfer: &claims.Transfer{From: s.self.Incarnation, To: successor}}
	for !s.ownsNothing() {
		if _, err := s.opts.Log.Append(ctx, recordlog.StreamGrants, [][]byte{rec.Encode()}); err != nil {
			s.metrics.appendFailed.Inc(1)
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

// HandOver imports the claims of another daemon that is draining. For a request
// without claims it only returns the incarnation of this owner, and whether it
// accepts claims.
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

// PeerMessenger sends handover messages through a peer client.
type PeerMessenger struct{ Client *peer.Client }

// HandOver implements Messenger.
func (m PeerMessenger) HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	resp, err := m.Client.To(to).HandOver(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
