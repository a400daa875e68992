package sidecar

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// BenchmarkMassStart starts many daemons at once in five zones. It reports, by kind of message,
// the bytes that each daemon sends. Traffic is counted until all daemons know each other and
// anti-entropy rounds have become rare.
func BenchmarkMassStart(b *testing.B) {
	const (
		numZones = 5
		// reportDelay is how long after its start an upstream reports.
		reportDelay = 200 * time.Millisecond
		// settleTime is how long traffic is counted after all daemons know each other.
		settleTime = 8 * time.Second
	)
	for _, n := range []int{30, 90, 180} {
		b.Run(fmt.Sprint(n, " daemons"), func(b *testing.B) {
			for range b.N {
				s := newStore(documentOf(1, "b"))
				members := make([]*member, n)
				var wg sync.WaitGroup
				for i := range n {
					wg.Go(func() {
						id := fmt.Sprint("u", i)
						o := optionsFor(b, s, newUpstream(b, id), "b")
						o.Zone = model.AvailabilityZone(fmt.Sprint("z", i%numZones))
						members[i] = startDaemon(b, o, s)
						time.Sleep(reportDelay)
						members[i].Report(readyReport(id, 1, 1, "b"))
					})
				}
				wg.Wait()
				for _, m := range members {
					m.waitForCandidates(b, "b", n)
				}
				time.Sleep(settleTime)
				kinds := slices.Concat(slices.Collect(maps.Values(datagramNameByKind)), slices.Collect(maps.Values(messageNameByPath)))
				totalSent := int64(0)
				for _, kind := range kinds {
					sent := controlBytes(members, kind, "sent") / int64(n)
					b.ReportMetric(float64(sent), kind+"-B")
					totalSent += sent
				}
				b.ReportMetric(float64(totalSent), "all-B")
				for _, m := range members {
					wg.Go(m.stop)
				}
				wg.Wait()
			}
		})
	}
}
