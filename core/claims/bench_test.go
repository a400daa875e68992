package claims

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/outcome"
)

// BenchmarkGrants simulates the grant renewals of many daemons for ten minutes of
// virtual time. It reports the records and the bytes that are appended to the log per
// second of virtual time, and the real time per call of Plan.
func BenchmarkGrants(b *testing.B) {
	const (
		simulatedTime = 10 * time.Minute
		tick          = time.Second
	)
	for _, n := range []int{10, 100, 500, 1000, 1700} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			var appendCount, appendedBytes, planCalls int
			for b.Loop() {
				appendCount, appendedBytes, planCalls = 0, 0, 0
				l := NewLedger(DefaultRangeCount, 0)
				planners := newPlanners(n)
				offset := uint64(0)
				start := Stamp(1_700_000_000_000)
				for now := start; now < start+Stamp(simulatedTime.Milliseconds()); now += Stamp(tick.Milliseconds()) {
					for _, p := range planners {
						planCalls++
						if g := p.Plan(l, now); g != nil {
							r := Record{Grant: g}
							appendCount++
							appendedBytes += len(r.Encode())
							l.Apply(offset, r)
							offset++
						}
					}
				}
			}
			b.ReportMetric(float64(appendCount)/simulatedTime.Seconds(), "appends/s")
			b.ReportMetric(float64(appendedBytes)/simulatedTime.Seconds(), "bytes/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(planCalls), "ns/plan")
		})
	}
}

// newPlanners returns the planners of n daemons that are all candidates.
func newPlanners(n int) []*Planner {
	ids := make([]model.DaemonID, n)
	for i := range ids {
		ids[i] = model.DaemonID(fmt.Sprintf("10.%d.%d.%d:8081", i%2, i/200, i%200))
	}
	planners := make([]*Planner, n)
	for i, id := range ids {
		planners[i] = NewPlanner(Owner{Daemon: id, Incarnation: uint64(i + 1)}, DefaultRangeCount, 60*time.Second)
		planners[i].SetCandidates(ids)
	}
	return planners
}

// BenchmarkMemory reports the memory per claim without a retained answer and with
// an answer of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	const claimCount = 50_000
	for _, answerSize := range []int{0, 200} {
		b.Run(fmt.Sprintf("answer=%d", answerSize), func(b *testing.B) {
			l := ledgerOwnedBy(self, 1<<40)
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := NewTable(self, Limits{Claims: claimCount, GroupClaims: claimCount, AnswerBytes: 1 << 30})
				for i := range claimCount {
					r := newRequest(Stamp(i), i, "sorter-1")
					table.Begin(l, r)
					var a *Answer
					if answerSize > 0 {
						a = &Answer{Status: 200, Body: make([]byte, answerSize), Header: map[string][]string{"Content-Type": {"application/json"}}}
					}
					table.Finish(r.ID, outcome.Answered, a)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/claimCount, "B/claim")
		})
	}
}

// BenchmarkCheckpoint reports the size of an encoded checkpoint of a Ledger in which
// 1,700 daemons have requested grants.
func BenchmarkCheckpoint(b *testing.B) {
	l := NewLedger(DefaultRangeCount, 0)
	for _, p := range newPlanners(1700) {
		if g := p.Plan(l, 1_700_000_000_000); g != nil {
			l.Apply(l.Next(), Record{Grant: g})
		}
	}
	encodedSize := 0
	for b.Loop() {
		encodedSize = len(Record{Checkpoint: l.Checkpoint()}.Encode())
	}
	b.ReportMetric(float64(encodedSize), "bytes")
}
