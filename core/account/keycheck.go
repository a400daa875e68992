package account

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// RecheckInterval is how long before the arrival of a request the version in force may have been
	// confirmed as the newest, for an unknown key to be refused. It is also the least time between
	// the starts of two checks. It is well below the time within which a new version must be in
	// force everywhere.
	RecheckInterval = 500 * time.Millisecond
	// CheckTimeout bounds both a check and the time that a request waits for checks. It has room for
	// two rounds of questions between regions and for the transfer of a new version.
	CheckTimeout = time.Second
	// maxWaiting bounds the requests that wait for a check at the same time.
	maxWaiting = 1024
)

// Verdict says how to proceed with a request whose key the configuration in force does not have.
type Verdict uint8

// The possible values of a Verdict.
const (
	// Unknown means that no account has the key. The request is refused.
	Unknown Verdict = iota + 1
	// Unconfirmed means that it cannot be told whether an account has the key, because the
	// configuration in force may be outdated.
	Unconfirmed
	// Await means that the request waits for the check in progress.
	Await
	// Check means that a check starts now, for which the request waits.
	Check
	// Known means that the key belongs to an account by now. Checker.Decide does not return it.
	Known
)

// Checker decides about requests whose keys the configuration in force does not have. Such a key is
// unknown only if a check has confirmed that this configuration is the newest. All requests share
// one check. The zero value is ready to use. A Checker is not safe for concurrent use.
type Checker struct {
	// startedAt is the start of the latest check, if started is set.
	startedAt        model.Instant
	started, running bool
	// confirmedAt is the start of the latest check that has succeeded, if confirmed is set.
	confirmedAt model.Instant
	confirmed   bool
	// outdated is set if a newer configuration has been heard of during the check in progress.
	outdated bool
	waiting  int
}

// Decide returns how to proceed at the instant now with a request that arrived at the given instant.
// The verdict Check starts a check, for which the caller must call End. After the verdicts Check and
// Await, the caller must call Leave when the request no longer waits. After the check, it asks again.
func (c *Checker) Decide(now, arrived model.Instant) Verdict {
	switch {
	case c.confirmed && c.confirmedAt >= arrived.Add(-RecheckInterval):
		return Unknown
	case c.waiting >= maxWaiting:
		return Unconfirmed
	case c.running:
		c.waiting++
		return Await
	case c.started && now.Sub(c.startedAt) < RecheckInterval:
		return Unconfirmed
	}
	c.waiting++
	c.startedAt, c.started, c.running, c.outdated = now, true, true, false
	return Check
}

// End ends the check in progress. confirmed states whether the configuration in force was found to be
// the newest.
func (c *Checker) End(confirmed bool) {
	c.running = false
	if confirmed && !c.outdated {
		c.confirmedAt, c.confirmed = c.startedAt, true
	}
}

// Outdate records that a configuration exists which is newer than the one in force. What was confirmed
// before proves nothing about the keys of the newer one, so the next unknown key starts a check.
func (c *Checker) Outdate() {
	c.confirmed, c.started, c.outdated = false, false, true
}

// Leave records that a request no longer waits.
func (c *Checker) Leave() { c.waiting-- }
