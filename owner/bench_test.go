package owner

import (
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/dottereltiller/dottereltiller/core/claims"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// BenchmarkClaim compares two ways to claim a key: in the table of the key's owner (case
// "owner"), and by an append to the log for each claim (case "log"). The in-memory log
// responds at once. So the case "log" measures batching and the append rate limit of one
// daemon: 20 appends a second if there are few daemons, otherwise the daemon's share of
// 300 appends a second.
func BenchmarkClaim(b *testing.B) {
	const workers = 64
	memory := &recordlog.Memory{}
	server := httptest.NewServer(recordlog.Handler(memory))
	defer server.Close()
	log := &recordlog.Batcher{Log: recordlog.NewRateLimitedLog(recordlog.NewClient(strings.TrimPrefix(server.URL, "http://")))}
	s := New(Options{Self: "127.0.0.1:1", Log: log})
	s.ledger.Apply(0, fullGrant(s.self))
	for name, claim := range map[string]func(claims.Key){
		"owner": func(k claims.Key) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.table.Begin(s.ledger, claims.Request{ID: claims.ID{Key: k}})
			s.table.Finish(claims.ID{Key: k}, 0, nil)
		},
		"log": func(k claims.Key) {
			_, err := log.Append(b.Context(), "claims", [][]byte{k[:]})
			require.NoError(b, err)
		},
	} {
		b.Run(name, func(b *testing.B) {
			hist := hdrhistogram.New(1, int64(time.Minute), 3)
			var mu sync.Mutex
			var wg sync.WaitGroup
			for range workers {
				wg.Go(func() {
					for range max(1, b.N/workers) {
						start := time.Now()
						claim(randomKey(claims.Stamp(start.UnixMilli())))
						elapsed := time.Since(start)
						mu.Lock()
						_ = hist.RecordValue(elapsed.Nanoseconds())
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1e3, "p99-us")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
		})
	}
}

// fullGrant returns a record that grants all timestamps of all key ranges to an owner.
func fullGrant(o claims.Owner) claims.Record {
	grant := &claims.Grant{Owner: o, Until: claims.MaxStamp}
	for r := range claims.Range(claims.DefaultRangeCount) {
		grant.Extensions = append(grant.Extensions, claims.Extension{Range: r})
	}
	return claims.Record{Grant: grant}
}
