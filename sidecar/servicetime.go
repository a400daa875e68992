package sidecar

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// routeServiceTime is the mean service time of a route and the time of its last update.
type routeServiceTime struct {
	mean      time.Duration
	updatedAt model.Instant
}

const (
	// defaultServiceTime is assumed for a route without a known service time.
	defaultServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of the newest request in the mean service time of a route.
	// The mean covers about 16 requests.
	serviceTimeWeight = 1.0 / 16
	// maxServiceTimes limits the number of routes whose service time is kept. All service times are
	// discarded before that of one more route is added.
	maxServiceTimes = 4096
	// serviceTimeMaxAge is how long after its last update a service time is used unchanged.
	// Upstreams may have been slow when the service time was measured. It may then exceed the
	// deadline of every later request. If all these requests were refused as too long, no
	// response would ever correct the service time.
	serviceTimeMaxAge = time.Second
	// staleServiceTimeShare limits a service time older than serviceTimeMaxAge to this share of the
	// time left for a request. Requests are then sent, and their responses correct the service time.
	staleServiceTimeShare = 1.0 / 3
	// staleMeanFactor limits a mean that is older than serviceTimeMaxAge to this multiple of the next
	// measured service time, before that is included in the mean.
	staleMeanFactor = 2
)

// serviceTimeOf returns the service time to assume for a request with timeLeft to its deadline.
func (e *entry) serviceTimeOf(routeName string, timeLeft time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.serviceTimes[routeName]
	switch {
	case !ok:
		return defaultServiceTime
	case e.daemon.now().Sub(known.updatedAt) > serviceTimeMaxAge:
		return min(known.mean, time.Duration(staleServiceTimeShare*float64(timeLeft)))
	default:
		return known.mean
	}
}

// recordServiceTime updates the mean service time of a route.
func (e *entry) recordServiceTime(routeName string, serviceTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.serviceTimes[routeName]
	if !ok {
		if len(e.serviceTimes) >= maxServiceTimes {
			clear(e.serviceTimes)
		}
		known.mean = serviceTime
	}
	now := e.daemon.now()
	if now.Sub(known.updatedAt) > serviceTimeMaxAge {
		known.mean = min(known.mean, staleMeanFactor*serviceTime)
	}
	known.mean += time.Duration(float64(serviceTime-known.mean) * serviceTimeWeight)
	known.updatedAt = now
	e.serviceTimes[routeName] = known
}
