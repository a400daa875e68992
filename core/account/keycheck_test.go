package account_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
)

// Load pattern: a key that was added a moment ago is used at a daemon that has not heard of it. The
// request must wait for a check and must not be refused before.
func TestUnknownKeyIsRefusedOnlyAfterACheck(t *testing.T) {
	var c account.Checker
	now := model.Instant(time.Hour)
	assert.Equal(t, account.Check, c.Decide(now, now))
	assert.Equal(t, account.Await, c.Decide(now, now))
	c.End(true)
	assert.Equal(t, account.Unknown, c.Decide(now.Add(time.Millisecond), now))
	assert.Equal(t, account.Unknown, c.Decide(now.Add(account.RecheckInterval), now.Add(account.RecheckInterval)))
	later := now.Add(account.RecheckInterval + 1)
	assert.Equal(t, account.Check, c.Decide(later, later), "the confirmation is too old for this request")
}

// Load pattern: requests of a removed or added key arrive at a daemon that reaches nobody. They must
// get no claim about their key.
func TestUnansweredCheckRefusesNoKey(t *testing.T) {
	var c account.Checker
	now := model.Instant(time.Hour)
	assert.Equal(t, account.Check, c.Decide(now, now))
	c.End(false)
	assert.Equal(t, account.Unconfirmed, c.Decide(now.Add(1), now))
	later := now.Add(account.RecheckInterval)
	assert.Equal(t, account.Check, c.Decide(later, later))
}

// Load pattern: a flood of requests with invented keys. The number of checks is bounded by time and
// the number of waiting requests by a constant, whatever the answers are; and no key is refused
// without a confirmation that is recent enough.
func TestFloodOfUnknownKeysCostsFewChecks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var c account.Checker
		now, checks, waiting := model.Instant(time.Hour), []model.Instant{}, 0
		var confirmedAt model.Instant
		running := false
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(rt, "ms")) * time.Millisecond)
			if running && rapid.IntRange(0, 4).Draw(rt, "end") == 0 {
				confirmed := rapid.Bool().Draw(rt, "confirmed")
				c.End(confirmed)
				if running = false; confirmed {
					confirmedAt = checks[len(checks)-1]
				}
				for ; waiting > 0; waiting-- {
					c.Leave()
				}
			}
			switch c.Decide(now, now) {
			case account.Check:
				checks, running, waiting = append(checks, now), true, waiting+1
			case account.Await:
				assert.True(rt, running)
				waiting++
			case account.Unknown:
				assert.GreaterOrEqual(rt, confirmedAt, now.Add(-account.RecheckInterval))
			}
		}
		for i := 1; i < len(checks); i++ {
			assert.GreaterOrEqual(rt, checks[i].Sub(checks[i-1]), account.RecheckInterval)
		}
	})
}

// Load pattern: more requests with invented keys arrive during one check than may wait.
func TestWaitingRequestsAreBounded(t *testing.T) {
	var c account.Checker
	now, waiting := model.Instant(time.Hour), 0
	for range 5000 {
		if v := c.Decide(now, now); v == account.Check || v == account.Await {
			waiting++
		}
	}
	assert.Less(t, waiting, 2000)
	c.Leave()
	assert.Equal(t, account.Await, c.Decide(now, now))
}

func TestStandingOfRequests(t *testing.T) {
	x, err := account.NewIndex([]account.Account{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"l"}}})
	assert.NoError(t, err)
	k := account.CredentialOf("k")
	assert.Equal(t, account.Valid, x.StandingOf("a", k))
	assert.Equal(t, account.Moved, x.StandingOf("b", k))
	assert.Equal(t, account.Removed, x.StandingOf("a", account.CredentialOf("gone")))
	assert.Equal(t, account.Valid, (*account.Index)(nil).StandingOf("a", k), "without accounts no key is needed")
}
