package owner

import (
	"crypto/rand"

	"github.com/dottereltiller/dottereltiller/core/claims"
)

// maxKeyAttempts bounds the keys that are drawn in search of one with an owner, for each
// stamp that is tried.
const maxKeyAttempts = 64

// NewKey returns a fresh key whose range has an owner that is thought alive. Its
// stamp is the present time or, when the grants do not reach that far because
// the log is down, the last one that they reach. It reports false when no such
// key was found; the key is then good but has no owner yet.
func (s *Service) NewKey() (claims.Key, bool) {
	now := s.stamp()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stamp := range s.candidateStamps(now) {
		for range maxKeyAttempts {
			if k := randomKey(stamp); s.hasLiveOwner(k) {
				return k, true
			}
		}
	}
	return randomKey(now), false
}

func randomKey(stamp claims.Stamp) claims.Key {
	var random [10]byte
	_, _ = rand.Read(random[:])
	return claims.NewKey(stamp, random)
}

// candidateStamps returns the present stamp and, while that lies beyond all grants,
// the last stamps that grants reach within half of the retention. s.mu is held.
func (s *Service) candidateStamps(now claims.Stamp) []claims.Stamp {
	stamps := []claims.Stamp{now}
	oldest := now - min(now, claims.Stamp(s.opts.Retention.Milliseconds())/2)
	var furthest claims.Stamp
	for r := range claims.Range(s.opts.Ranges) {
		frontier, _ := s.ledger.Frontier(r)
		furthest = max(furthest, frontier)
	}
	if furthest > now || furthest <= oldest {
		return stamps
	}
	// Frontiers lie within half of a grant of each other.
	grant := claims.Stamp(s.opts.GrantDuration.Milliseconds())
	const steps = 4
	for i := range claims.Stamp(steps) {
		if back := 1 + i*grant/steps; furthest > back+oldest {
			stamps = append(stamps, furthest-back)
		}
	}
	return stamps
}

// hasLiveOwner reports whether a key has an owner that is thought alive. s.mu is held.
func (s *Service) hasLiveOwner(k claims.Key) bool {
	in, standing := s.ledger.Lookup(k.Range(s.opts.Ranges), k.Stamp())
	if standing != claims.Owned {
		return false
	}
	if in.Owner == s.self && s.table.IsSealed() {
		return false
	}
	_, suspect := s.suspectedOwners[in.Owner.Incarnation]
	return !suspect
}
