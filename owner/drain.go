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

// ErrNoSuccessor is returned when no daemon took in the claims.
var ErrNoSuccessor = errors.New("no daemon took in the claims; their keys will be answered unknown")

const (
	// executionWaitDivisor is the part of the time to the deadline that a drain gives runs
	// in flight before it hands their claims over as unknown.
	executionWaitDivisor = 2
	// maxSuccessors bounds the daemons that are asked to take the claims.
	maxSuccessors        = 8
	transferPollInterval = 10 * time.Millisecond
	messageTimeout       = 2 * time.Second
	// transferTimeout bounds the wait for the log to take the transfer. A stop during
	// an outage of the log leaves the claims to be answered unknown.
	transferTimeout = 5 * time.Second
)

// Drain stops owning keys: it takes no more submissions, lets runs in flight
// end, hands the claims to a successor and signs that on the log. The daemon
// must go on answering until Drain returns, so that other daemons learn that
// the keys have moved. Drain may be called once.
func (s *Service) Drain(ctx context.Context) error {
	s.seal()
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

func (s *Service) seal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Seal()
}

func (s *Service) ownedUntil() claims.Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.OwnedUntil(s.self.Incarnation)
}

// ownsNothing reports whether the log shows that this life owns nothing.
func (s *Service) ownsNothing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Complete() && s.ledger.OwnedUntil(s.self.Incarnation) == 0
}

// awaitExecutions waits for the runs in flight, for a part of the time that is left.
func (s *Service) awaitExecutions(ctx context.Context) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/executionWaitDivisor)
		defer cancel()
	}
	for _, r := range s.inFlight() {
		select {
		case <-r.done:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) inFlight() []*execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make([]*execution, 0, len(s.executions))
	for _, r := range s.executions {
		runs = append(runs, r)
	}
	return runs
}

// handOver sends the claims to the first daemon that takes them all. Which one
// is left to chance, so that a rolling restart does not heap them up.
func (s *Service) handOver(ctx context.Context) (claims.Owner, error) {
	if s.opts.Messenger == nil {
		return claims.Owner{}, ErrNoSuccessor
	}
	s.mu.Lock()
	parts, err := s.table.Export(s.ledger)
	s.mu.Unlock()
	if err != nil {
		return claims.Owner{}, err
	}
	candidates := s.opts.Candidates()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	tried := 0
	for _, d := range candidates {
		if d == s.opts.Self {
			continue
		}
		if tried++; tried > maxSuccessors {
			break
		}
		if life, err := s.handOverTo(ctx, d, parts); err == nil {
			return claims.Owner{Daemon: d, Incarnation: life}, nil
		}
	}
	return claims.Owner{}, ErrNoSuccessor
}

// handOverTo sends the parts to one life of a daemon and returns the life.
func (s *Service) handOverTo(ctx context.Context, d model.DaemonID, parts [][]byte) (uint64, error) {
	life := uint64(0)
	for _, part := range append([][]byte{nil}, parts...) {
		resp, err := s.sendHandOver(ctx, d, &peerv1.HandOverRequest{From: string(s.opts.Self), Claims: part, ToLife: life})
		if err != nil {
			return 0, err
		}
		if !resp.Accepted {
			return 0, claims.ErrHandover
		}
		life = resp.Life
	}
	return life, nil
}

func (s *Service) sendHandOver(ctx context.Context, d model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return s.opts.Messenger.HandOver(ctx, d, req)
}

// appendTransfer appends the transfer until it is read back, for at most transferTimeout. An append whose reply was
// lost is repeated; a second transfer finds nothing left to move.
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

// HandOver takes in the claims of another daemon's draining owner, or tells this
// life.
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

// PeerMessenger sends handovers through a peer client.
type PeerMessenger struct{ Client *peer.Client }

// HandOver implements Messenger.
func (m PeerMessenger) HandOver(ctx context.Context, to model.DaemonID, req *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	resp, err := m.Client.To(to).HandOver(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
