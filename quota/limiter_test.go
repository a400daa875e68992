package quota_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"github.com/dottereltiller/dottereltiller/bubble"
	"github.com/dottereltiller/dottereltiller/core/account"
	"github.com/dottereltiller/dottereltiller/core/model"
	corequota "github.com/dottereltiller/dottereltiller/core/quota"
	"github.com/dottereltiller/dottereltiller/quota"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var zones = []model.AvailabilityZone{"a", "b", "c"}

// network connects limiters, one in each zone. Messages take a millisecond.
type network struct {
	limiters map[string]*quota.Limiter
	// down holds the daemons that get no messages.
	down sync.Map
	sent atomic.Int64
}

func addressIn(zone model.AvailabilityZone) string { return "daemon-" + string(zone) }

// newNetwork starts the limiters. They end with the test's context.
func newNetwork(t testing.TB, ctx context.Context, accounts ...account.Account) *network {
	x, err := account.NewIndex(accounts)
	require.NoError(t, err)
	n := &network{limiters: make(map[string]*quota.Limiter)}
	var members []corequota.Member
	for _, z := range zones {
		members = append(members, corequota.Member{Address: addressIn(z), Zone: z})
	}
	start := time.Now()
	for _, z := range zones {
		self := addressIn(z)
		l := quota.New(quota.Options{
			Self: self, Zone: z, Zones: zones, Rules: corequota.Rules{Window: 5 * time.Second},
			Now: func() model.Instant { return model.Instant(time.Since(start)) },
			Members: func(uint64) quota.Membership {
				return quota.Membership{Generation: 1, Members: members, Complete: true}
			},
			Send: func(to string, k quota.MessageKind, exchange uint32, body []byte) {
				n.sent.Add(1)
				time.AfterFunc(time.Millisecond, func() { n.deliver(self, to, k, exchange, body) })
			},
			Scope: tally.NoopScope,
		})
		l.SetAccounts(x)
		n.limiters[self] = l
		go func() { _ = l.Serve(ctx) }()
	}
	return n
}

func (n *network) deliver(from, to string, k quota.MessageKind, exchange uint32, body []byte) {
	for _, end := range []string{from, to} {
		if _, down := n.down.Load(end); down {
			return
		}
	}
	if k == quota.RequestMessage {
		n.limiters[to].HandleRequest(from, exchange, body)
	} else {
		n.limiters[to].HandleReply(exchange, body)
	}
}

func accountOf(perSecond, burst float64) account.Account {
	return account.Account{Name: "firm", Keys: []string{"key"}, Quota: account.Quota{PerSecond: perSecond, Burst: burst}}
}

// takeAll has count requests take tokens at once and counts the verdicts.
func takeAll(ctx context.Context, l *quota.Limiter, a *account.Account, count int) map[corequota.Kind]int {
	var mu sync.Mutex
	verdicts := make(map[corequota.Kind]int)
	var wg sync.WaitGroup
	for range count {
		wg.Go(func() {
			v := l.Take(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			verdicts[v.Kind]++
		})
	}
	wg.Wait()
	return verdicts
}

// inBubble runs a test in virtual time, with limiters that have had time to fill their buckets.
func inBubble(t *testing.T, a account.Account, test func(t *testing.T, ctx context.Context, n *network)) {
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Messages under way arrive.
			time.Sleep(time.Second)
			synctest.Wait()
		}()
		n := newNetwork(t, ctx, a)
		time.Sleep(time.Minute)
		test(t, ctx, n)
	})
}

// A burst that arrives at one daemon gets what all zones hold, with few messages.
func TestBurstAtOneDaemonGetsTheWholeQuota(t *testing.T) {
	a := accountOf(30, 60)
	inBubble(t, a, func(t *testing.T, ctx context.Context, n *network) {
		verdicts := takeAll(ctx, n.limiters[addressIn("a")], &a, 500)
		assert.Equal(t, map[corequota.Kind]int{corequota.Allowed: 60, corequota.Denied: 440}, verdicts)
		assert.LessOrEqual(t, n.sent.Load(), int64(20), "requests that wait share exchanges")
	})
}

// Requests far above the quota must not lead to a message each.
func TestRefusedAccountIsNotAskedForAgainAtOnce(t *testing.T) {
	a := accountOf(1, 3)
	inBubble(t, a, func(t *testing.T, ctx context.Context, n *network) {
		l := n.limiters[addressIn("b")]
		takeAll(ctx, l, &a, 50)
		before := n.sent.Load()
		for range 1000 {
			v := l.Take(ctx, &a)
			require.Equal(t, corequota.Denied, v.Kind)
			require.Positive(t, v.RetryAfter)
		}
		assert.LessOrEqual(t, n.sent.Load()-before, int64(4))
	})
}

// A zone that is cut off has its own share and no more, and so have the others.
func TestBothSidesOfACutHaveTheirShares(t *testing.T) {
	a := accountOf(0.6, 60)
	inBubble(t, a, func(t *testing.T, ctx context.Context, n *network) {
		time.Sleep(time.Minute)
		n.down.Store(addressIn("a"), true)
		verdicts := takeAll(ctx, n.limiters[addressIn("a")], &a, 100)
		assert.Equal(t, map[corequota.Kind]int{corequota.Allowed: 20, corequota.Denied: 80}, verdicts)
		verdicts = takeAll(ctx, n.limiters[addressIn("b")], &a, 100)
		assert.Equal(t, map[corequota.Kind]int{corequota.Allowed: 40, corequota.Denied: 60}, verdicts)
	})
}

// A daemon that nobody asks notices all the same that it has become a holder, so that its buckets fill.
func TestMembersAreWatchedWithoutRequests(t *testing.T) {
	a := accountOf(30, 60)
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		start := time.Now()
		var complete atomic.Bool
		l := quota.New(quota.Options{
			Self: "self", Zone: "a", Zones: zones[:1], Now: func() model.Instant { return model.Instant(time.Since(start)) },
			Members: func(uint64) quota.Membership {
				if complete.Load() {
					return quota.Membership{Generation: 2, Complete: true}
				}
				return quota.Membership{Generation: 1}
			},
			Scope: tally.NoopScope,
		})
		go func() { _ = l.Serve(ctx) }()
		x, err := account.NewIndex([]account.Account{a})
		require.NoError(t, err)
		l.SetAccounts(x)
		time.Sleep(time.Second)
		complete.Store(true)
		time.Sleep(time.Minute)
		assert.Equal(t, 60, takeAll(ctx, l, &a, 100)[corequota.Allowed])
	})
}

// Other requests must not keep those that wait for a silent holder from their verdict.
func TestRepliesTimeOutUnderLoad(t *testing.T) {
	a := accountOf(30, 60)
	inBubble(t, a, func(t *testing.T, ctx context.Context, n *network) {
		l := n.limiters[addressIn("a")]
		n.down.Store(addressIn("b"), true)
		n.down.Store(addressIn("c"), true)
		takeAll(ctx, l, &a, 10)
		var done atomic.Bool
		go func() {
			takeAll(ctx, l, &a, 100)
			done.Store(true)
		}()
		for range 200 {
			time.Sleep(time.Millisecond)
			l.HandleRequest(addressIn("b"), 1, corequota.Request{Account: corequota.IDOf(a.Name), FromHolder: true}.AppendTo(nil))
		}
		synctest.Wait()
		assert.True(t, done.Load())
	})
}

// unreachable returns a Limiter that holds nothing and reaches nobody.
func unreachable() *quota.Limiter {
	start := time.Now()
	return quota.New(quota.Options{
		Self: "self", Zone: "a", Zones: zones, Now: func() model.Instant { return model.Instant(time.Since(start)) },
		Members: func(uint64) quota.Membership {
			return quota.Membership{Generation: 1, Members: []corequota.Member{{Address: "other", Zone: "b"}}}
		},
		Send:  func(string, quota.MessageKind, uint32, []byte) {},
		Scope: tally.NoopScope,
	})
}

// A daemon that reaches no holder does not know whether the account is above its quota.
func TestNoHolderIsReached(t *testing.T) {
	a := accountOf(30, 60)
	bubble.Run(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l := unreachable()
		go func() { _ = l.Serve(ctx) }()
		v := l.Take(ctx, &a)
		assert.Equal(t, corequota.Unknown, v.Kind)
		assert.Positive(t, v.RetryAfter)
	})
}

func TestRequestsThatGiveUpTakeNoToken(t *testing.T) {
	a := accountOf(30, 60)
	l := unreachable()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, map[corequota.Kind]int{corequota.Waiting: 20}, takeAll(ctx, l, &a, 20))
}

func TestRequestsWithoutQuotaPass(t *testing.T) {
	l := unreachable()
	unlimited := account.Account{Name: "other"}
	for _, a := range []*account.Account{nil, &unlimited} {
		assert.Equal(t, corequota.Allowed, l.Take(t.Context(), a).Kind)
	}
}

// A request that has not run gives its token back, so that the next one needs none.
func TestReturnedTokenIsUsedAgain(t *testing.T) {
	a := accountOf(0.06, 3)
	inBubble(t, a, func(t *testing.T, ctx context.Context, n *network) {
		l := n.limiters[addressIn("a")]
		v := l.Take(ctx, &a)
		for range 10 {
			if v.Kind == corequota.Allowed {
				l.Return(&a, v.Token)
			}
			v = l.Take(ctx, &a)
			require.Equal(t, corequota.Allowed, v.Kind)
		}
	})
}

func TestLoweredQuotaBindsAtOnce(t *testing.T) {
	a := accountOf(30, 300)
	inBubble(t, a, func(t *testing.T, ctx context.Context, n *network) {
		lowered, err := account.NewIndex([]account.Account{accountOf(0.3, 3)})
		require.NoError(t, err)
		for _, l := range n.limiters {
			l.SetAccounts(lowered)
		}
		assert.LessOrEqual(t, takeAll(ctx, n.limiters[addressIn("a")], &a, 100)[corequota.Allowed], 3)
	})
}

func TestMalformedMessagesAreIgnored(t *testing.T) {
	l := unreachable()
	l.HandleRequest("x", 1, []byte("x"))
	l.HandleReply(1, nil)
	l.HandleReply(1, make([]byte, corequota.ReplyBytes))
}

// manyAccounts is the number of accounts of a large deployment.
const manyAccounts = 10_000

// newLarge returns the only Limiter of its zone, with many accounts, and their list.
func newLarge(b *testing.B) (*quota.Limiter, []account.Account) {
	start := time.Now()
	l := quota.New(quota.Options{
		Self: "self", Zone: "a", Zones: zones[:1], Rules: corequota.Rules{Window: 5 * time.Second, Slack: 20},
		Now:     func() model.Instant { return model.Instant(time.Hour + time.Since(start)) },
		Members: func(uint64) quota.Membership { return quota.Membership{Generation: 1, Complete: true} },
		Send:    func(string, quota.MessageKind, uint32, []byte) {},
		Scope:   tally.NoopScope,
	})
	accounts := make([]account.Account, manyAccounts)
	for i := range accounts {
		accounts[i] = account.Account{Name: account.Name(fmt.Sprint("account-", i)), Quota: account.Quota{PerSecond: 1e9, Burst: 1e6}}
	}
	x, err := account.NewIndex(accounts)
	require.NoError(b, err)
	l.SetAccounts(x)
	return l, accounts
}

// BenchmarkTake takes tokens of one account, most of them from a valid lease.
func BenchmarkTake(b *testing.B) {
	l, accounts := newLarge(b)
	b.ReportAllocs()
	for b.Loop() {
		if l.Take(b.Context(), &accounts[0]).Kind != corequota.Allowed {
			b.Fatal("refused")
		}
	}
}

// BenchmarkGrant handles requests of other daemons for tokens of many accounts.
func BenchmarkGrant(b *testing.B) {
	l, accounts := newLarge(b)
	bodies := make([][]byte, len(accounts))
	for i := range accounts {
		bodies[i] = corequota.Request{Account: corequota.IDOf(accounts[i].Name), Need: 1, Want: 1, ReturnedAgo: -1}.AppendTo(nil)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.HandleRequest("other", uint32(i), bodies[i%len(bodies)])
		i++
	}
	b.ReportMetric(float64(l.Held()), "accounts")
}

// BenchmarkMemory reports the memory of one account at its holder, and of one with a lease at an entry.
func BenchmarkMemory(b *testing.B) {
	heapBytes := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heapBytes()
		l, accounts := newLarge(b)
		configured := heapBytes()
		for i := range accounts {
			l.Take(b.Context(), &accounts[i])
		}
		used := heapBytes()
		b.ReportMetric((configured-before)/manyAccounts, "B/account")
		b.ReportMetric((used-configured)/manyAccounts, "B/used-account")
		runtime.KeepAlive(l)
	}
}
