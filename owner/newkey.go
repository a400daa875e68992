package owner

import (
	"crypto/rand"

	"github.com/dottereltiller/dottereltiller/core/claims"
)

// maxKeyAttempts is the maximum number of random keys that NewKey tries for each
// timestamp in search of a key with a live owner.
const maxKeyAttempts = 64

// NewKey returns a new key whose owner is considered alive, and true. The timestamp of
// the key is the current time. If all grants end before the current time, for example
// because the log is down, the timestamp is one of the newest that the grants cover. If
// NewKey finds no such key, it returns a key with the current time and false. That key
// is valid, but its owner may be lost or unknown.
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

// randomKey returns a key with the given timestamp that is random otherwise.
func randomKey(timestamp claims.Stamp) claims.Key {
	var random [10]byte
	_, _ = rand.Read(random[:])
	return claims.NewKey(timestamp, random)
}

// candidateTimestamps returns the timestamps that a new key may have, in order of
// preference. The first one is now. If no grant extends beyond now, candidateTimestamps
// adds up to maxPastTimestamps earlier timestamps that are granted in some range, newest
// first. It adds none that is older than half of Options.Retention. s.mu is held.
func (s *Service) candidateTimestamps(now claims.Stamp) []claims.Stamp {
	timestamps := []claims.Stamp{now}
	oldestAllowed := now - min(now, claims.Stamp(s.opts.Retention.Milliseconds())/2)
	var latestGrantEnd claims.Stamp
	for r := range claims.Range(s.opts.Ranges) {
		frontier, _ := s.ledger.Frontier(r)
		latestGrantEnd = max(latestGrantEnd, frontier)
	}
	if latestGrantEnd > now || latestGrantEnd <= oldestAllowed {
		return timestamps
	}
	// The ends of the grants of different ranges are at most half a grant
	// duration apart. The added timestamps are a quarter of a grant duration apart,
	// so that some of them are granted in every range.
	grantDuration := claims.Stamp(s.opts.GrantDuration.Milliseconds())
	const maxPastTimestamps = 4
	for i := range claims.Stamp(maxPastTimestamps) {
		if offset := 1 + i*grantDuration/maxPastTimestamps; latestGrantEnd > offset+oldestAllowed {
			timestamps = append(timestamps, latestGrantEnd-offset)
		}
	}
	return timestamps
}

// hasLiveOwner reports whether a key has an owner that is considered alive: the owner is
// not suspected, and is not this daemon while this daemon drains. s.mu is held.
func (s *Service) hasLiveOwner(k claims.Key) bool {
	interval, ownership := s.ledger.Lookup(k.Range(s.opts.Ranges), k.Stamp())
	if ownership != claims.Owned {
		return false
	}
	if interval.Owner == s.self && s.table.IsSealed() {
		return false
	}
	_, suspected := s.suspectedSince[interval.Owner.Incarnation]
	return !suspected
}
