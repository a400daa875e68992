package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// sizes are the pool sizes from the brief's services to the whole fleet.
var poolSizes = []int{6, 22, 100, 1700}

// decide makes one decision and takes in its reply.
func placeAndReply(r *Router, now model.Instant, load model.Load) {
	c, ok := r.Place(now, model.Request{}, nil, 0)
	if ok {
		r.Done(now, c.Upstream.ID, answeredReply(load))
	}
}

func warmUp(r *Router, load model.Load) model.Load {
	for i := range 10_000 {
		load.Seq++
		placeAndReply(r, model.Instant(i)*1000, load)
	}
	return load
}

func TestDecisionsDoNotAllocate(t *testing.T) {
	for _, name := range Names() {
		for _, n := range poolSizes {
			r := newRouter(t, name, n)
			load := warmUp(r, model.Load{Running: 3, Limit: 6, Service: 2 * time.Millisecond})
			allocs := testing.AllocsPerRun(1000, func() {
				load.Seq++
				placeAndReply(r, 10*ms, load)
			})
			assert.Zero(t, allocs, "%s over %d upstreams", name, n)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, name := range Names() {
		for _, n := range poolSizes {
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, n), func(b *testing.B) {
				r := newRouter(b, name, n)
				load := warmUp(r, model.Load{Running: 3, Limit: 6, Service: 2 * time.Millisecond})
				b.ReportAllocs()
				now := 10 * ms
				for b.Loop() {
					now += 1000
					load.Seq++
					placeAndReply(r, now, load)
				}
			})
		}
	}
}
