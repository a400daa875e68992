package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// poolSizes are the numbers of upstreams with which placement is tested, from a small service
// to a large fleet.
var poolSizes = []int{6, 22, 100, 1700}

// placeAndReply places one request and records a successful reply with the given load. It
// records nothing if no upstream is usable.
func placeAndReply(r *Router, now model.Instant, load model.Load) {
	c, ok := r.Place(now, model.Request{}, nil, 0)
	if ok {
		r.Done(now, c.Upstream.ID, answeredReply(load))
	}
}

// warmUp places 10,000 requests, so that all state of the Router is allocated. It returns
// the last load that it recorded.
func warmUp(r *Router, load model.Load) model.Load {
	for i := range 10_000 {
		load.Seq++
		placeAndReply(r, model.Instant(i)*1000, load)
	}
	return load
}

func TestPlacementDoesNotAllocate(t *testing.T) {
	for _, name := range PolicyNames() {
		for _, n := range poolSizes {
			r := newRouter(t, name, n)
			load := warmUp(r, model.Load{Running: 3, Limit: 6, ServiceTime: 2 * time.Millisecond})
			allocs := testing.AllocsPerRun(1000, func() {
				load.Seq++
				placeAndReply(r, 10*ms, load)
			})
			assert.Zero(t, allocs, "%s over %d upstreams", name, n)
		}
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, name := range PolicyNames() {
		for _, n := range poolSizes {
			b.Run(fmt.Sprintf("%s/upstreams=%d", name, n), func(b *testing.B) {
				r := newRouter(b, name, n)
				load := warmUp(r, model.Load{Running: 3, Limit: 6, ServiceTime: 2 * time.Millisecond})
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
