package soak

import (
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
