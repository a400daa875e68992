package sidecar

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/dottereltiller/dottereltiller/core/lifecycle"
	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/placement"
	"github.com/dottereltiller/dottereltiller/core/route"
	"github.com/dottereltiller/dottereltiller/core/servicetime"
)

// The benchmarks in this file provide the values of docs/CAPACITY.md: what a daemon
// stores and sends per other daemon, per candidate and per route.

// recordOf returns the record of the i-th daemon.
func recordOf(i int) Record {
	return Record{
		Address: fmt.Sprintf("10.1.%d.%d:7460", i/250, i%250), Incarnation: 1_790_000_000_000, Sequence: 7, Zone: "zone-a",
		Service: model.ServiceName(fmt.Sprint("service-", i%77)), State: lifecycle.Ready, Slots: 6,
		Upstream: lifecycle.Incarnation{ID: model.UpstreamID(fmt.Sprintf("i-%010d", i)), Born: 1_790_000_000_000},
	}
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkPeers measures how many bytes each known daemon takes on the heap and in a sync message.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{100, 400, 1700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				bytesBefore := heapBytes()
				p := newPeers(recordOf(0), func() model.Instant { return 0 }, nil)
				records := make([]Record, n)
				for i := range records {
					records[i] = recordOf(i + 1)
				}
				p.fullSyncCount = numBootstrapPeers
				p.merge(records)
				records = nil
				b.ReportMetric((heapBytes()-bytesBefore)/float64(n), "heap-B/daemon")
				encoded, err := json.Marshal(syncMessage{From: p.localRecord(), Records: p.records()})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(encoded))/float64(n), "wire-B/daemon")
				runtime.KeepAlive(p)
			}
		})
	}
}

// BenchmarkChoose measures the choice of an upstream among n candidates with known loads.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 22, 64, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := placement.New(placement.Options{Zone: "zone-0"})
			var upstreams []placement.Upstream
			for i := range n {
				upstreams = append(upstreams, placement.Upstream{Key: fmt.Sprint(i), Zone: model.AvailabilityZone(fmt.Sprint("zone-", i%5)), Slots: 6})
			}
			p.SetUpstreams(upstreams)
			for i := range n {
				p.UpdateLoad(0, fmt.Sprint(i), placement.Load{Running: i % 4, Limit: 4, Slowdown: 1})
			}
			req := placement.Request{ServiceTime: servicetime.Default, Target: 4 * servicetime.Default}
			b.ReportAllocs()
			for b.Loop() {
				p.QueryTargets(0, req, true, placement.MaxLoadAge, placement.MaxLocalQueries)
				c, _ := p.Choose(0, req)
				p.Done(0, c.Upstream.Key, nil)
			}
		})
	}
}

// documentOfRoutes returns a configuration document with n more routes than documentOf.
func documentOfRoutes(n int) route.Document {
	doc := documentOf(1, "b")
	for i := range n {
		r := doc.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("r", i), fmt.Sprintf("/r%d/", i)
		r.Split = []route.WeightedService{{Service: "b", Weight: 1}}
		doc.Routes = append(doc.Routes, r)
	}
	return doc
}

// BenchmarkConfiguration measures the memory per route of a route table.
func BenchmarkConfiguration(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				bytesBefore := heapBytes()
				table, err := route.New(documentOfRoutes(n))
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric((heapBytes()-bytesBefore)/float64(n), "heap-B/route")
				runtime.KeepAlive(table)
			}
		})
	}
}
