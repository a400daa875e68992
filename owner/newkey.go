package owner

import (
	"crypto/rand"

	"github.com/dottereltiller/dottereltiller/core/claims"
)

// maxKeyAttempts is the maximum number of random keys that NewKey tries for each
// timestamp in search of a key with a live owner.
const maxKeyAttempts = 64

// NewKey returns a new key whose owner is considered alive. The timestamp of the
// key is the current time. If the grants end before the current time because the
// log is down, the timestamp is one of the last that the grants cover. The second
// result is false if NewKey found no such key. The returned key is valid all the
// same, but may have no owner that is alive.
func (s *Service) NewKey() (claims.Key, bool) {
	now := s.currentTimestamp()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, timestamp := range s.candidateTimestamps(now) {
		for range maxKeyAttempts {
			if k := randomKey(timestamp); s.hasLiveOwner(k) {
				return k, true
			}
		}
	}
	return randomKey(now), false
}

// randomKey returns a random key with a timestamp.
func randomKey(timestamp claims.Stamp) claims.Key {
	var random [10]byte
	_, _ = rand.Read(random[:])
	return claims.NewKey(timestamp, random)
}

// candidateTimestamps returns the timestamps that a new key may have. The first and
// preferred one is the current timestamp. If all grants end before the current
// timestamp, candidateTimestamps adds up to maxPastTimestamps granted ones, newest
// first. It adds none that is older than half of the retention. s.mu is held.
func (s *Service) candidateTimestamps(now claims.Stamp) []claims.Stamp {
	timestamps := []claims.Stamp{now}
	oldest := now - min(now, claims.Stamp(s.opts.Retention.Milliseconds())/2)
	var furthest claims.Stamp
	for r := range claims.Range(s.opts.Ranges) {
		frontier, _ := s.ledger.Frontier(r)
		furthest = max(furthest, frontier)
	}
	if furthest > now || furthest <= oldest {
		return timestamps
	}
	// The ends of the grants of different ranges are at most half a grant
	// duration apart. The timestamps are a quarter of a grant duration apart, so that
	// some of them are granted in every range.
	grantDuration := claims.Stamp(s.opts.GrantDuration.Milliseconds())
	const maxPastTimestamps = 4
	for i := range claims.Stamp(maxPastTimestamps) {
		if offset := 1 + i*grantDuration/maxPastTimestamps; furthest > offset+oldest {
			timestamps = append(timestamps, furthest-offset)
		}
	}
	return timestamps
}

// hasLiveOwner reports whether a key has an owner that is considered alive.
// s.mu is held.
func (s *Service) hasLiveOwner(k claims.Key) bool {
	interval, ownership := s.ledger.Lookup(k.Range(s.opts.Ranges), k.Stamp())
	if ownership != claims.Owned {
		return false
	}
	if interval.Owner == s.self && s.table.IsSealed() {
		return false
	}
	_, suspected := s.suspectedOwners[interval.Owner.Incarnation]
	return !suspected
}
