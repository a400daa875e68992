package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/platform/platformtest"
)

// TestCheckerFindsViolationsOfAccounts guards against a checker that misses a violation of what a
// request may state of its account, and against one that reports allowed behaviour.
func TestCheckerFindsViolationsOfAccounts(t *testing.T) {
	up := &platformtest.Upstream{}
	key := sentKey{account: "account 1", version: 3}
	for name, c := range map[string]struct {
		account, key string
		removedFor   time.Duration
		want         string
	}{
		"no violation":     {"account 1", "", 0, ""},
		"removed just now": {"account 1", "", maxConfigDelay, ""},
		"removed long ago": {"account 1", "", maxConfigDelay + time.Second, "key"},
		"another account":  {"account 2", "", 0, "account"},
		"no account":       {"", "", 0, "account"},
		"key is passed on": {"account 1", "Bearer k", 0, "key"},
	} {
		t.Run(name, func(t *testing.T) {
			ck := newChecker()
			ck.removedFor = func(sentKey) time.Duration { return c.removedFor }
			ck.recordSent("x", "a", false)
			ck.recordKey("x", key)
			ck.AccountStated(up, "x", c.account, c.key)
			if c.want == "" {
				require.Empty(t, ck.allViolations())
				return
			}
			require.Len(t, ck.allViolations(), 1)
			require.Contains(t, ck.allViolations()[0], c.want+":")
		})
	}
}

// TestCheckerFindsViolationsOfQuotas guards against a checker that counts requests which may have passed before
// the window, or that applies a lowered rate to requests sent under a higher one.
func TestCheckerFindsViolationsOfQuotas(t *testing.T) {
	const bound, earlier = 3, 1
	for name, c := range map[string]struct {
		requests, sentBefore, oldest int
		age                          time.Duration
		want                         bool
	}{
		"as many as the quota allows":            {bound, 0, 2, 0, false},
		"more than the quota allows":             {bound + 1, 0, 2, 0, true},
		"sent before the window":                 {bound + 1, 0, 2, 2 * quotaWindow, false},
		"sent while a higher rate was in force":  {bound + 1, 0, 1, 0, false},
		"above the higher rate":                  {2*bound + 1, 0, 1, 0, true},
		"one of them while it was still allowed": {bound, earlier, 2, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			ck := newChecker()
			ck.quotaBound = func(_ string, oldest int) float64 { return float64(bound * (3 - oldest)) }
			for i := range c.requests + c.sentBefore {
				attempt, oldest := fmt.Sprint(i), c.oldest
				if i < c.sentBefore {
					oldest = 1
				}
				ck.recordSent(attempt, "a", false)
				ck.recordsByAttempt[attempt].sentAt = time.Now().Add(-c.age)
				ck.recordKey(attempt, sentKey{account: "account 1", oldest: oldest})
				ck.AccountStated(&platformtest.Upstream{}, attempt, "account 1", "")
			}
			require.Equal(t, c.want, len(ck.allViolations()) > 0, ck.allViolations())
		})
	}
}

// TestAnswerOverQuotaNamesATimeToReturn checks that 429 without Retry-After is a violation.
func TestAnswerOverQuotaNamesATimeToReturn(t *testing.T) {
	for retryAfter, want := range map[time.Duration]int{0: 1, time.Second: 0} {
		ck := newChecker()
		ck.recordSent("x", "a", false)
		ck.checkResponse("x", platformtest.Result{Status: http.StatusTooManyRequests, RetryAfter: retryAfter})
		require.Len(t, ck.allViolations(), want)
	}
}

// TestStoreIsRefilledWithoutDeadlock has the store lose its records while the checker, which locks its own
// mutex first, needs the newest version. Once the injection held the harness' mutex while it waited for the
// checker's, and the run never ended.
func TestStoreIsRefilledWithoutDeadlock(t *testing.T) {
	h := &harness{checker: newChecker(), store: platformtest.NewStore(), publicationTimes: make(map[int]time.Time), plan: Plan{VMs: 1}}
	h.checker.mu.Lock()
	injected, read := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(injected)
		h.injectStoreFault(Fault{Mode: "forget"})
	}()
	go func() {
		defer close(read)
		for range 1000 {
			h.latestPublication()
			time.Sleep(100 * time.Microsecond)
		}
	}()
	select {
	case <-read:
	case <-time.After(10 * time.Second):
		h.checker.mu.Unlock()
		t.Fatal("the newest version cannot be read while the store is refilled")
	}
	h.checker.mu.Unlock()
	<-injected
}
