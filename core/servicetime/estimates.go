package servicetime

import (
	"time"

	"github.com/dottereltiller/dottereltiller/core/model"
)

const (
	// Default is assumed for a route of which no request has been served yet.
	Default = 50 * time.Millisecond
	// newestWeight is the weight of the newest request in the mean of a route. The mean covers about
	// 16 requests.
	newestWeight = 1.0 / 16
	// maxRoutes limits the number of routes. All estimates are discarded before that of one more
	// route is added.
	maxRoutes = 4096
	// maxAge is how long after its last update an estimate is used unchanged.
	maxAge = time.Second
	// staleShare limits an older estimate to this share of the time left for a request.
	staleShare = 1.0 / 3
	// staleFactor limits an older mean to this multiple of the next service time, before that is
	// included in the mean.
	staleFactor = 2
)

// Estimates holds the estimates of all routes. It is not safe for concurrent use. The zero value is
// ready to use.
type Estimates struct {
	// byRoute holds the estimates by the name of the route.
	byRoute map[string]estimate
}

// estimate is the mean service time of a route and the time of its last update.
type estimate struct {
	mean      time.Duration
	updatedAt model.Instant
}

// Expected returns the service time to expect of a request of a route. timeLeft is the time until the
// deadline of the request.
func (e *Estimates) Expected(now model.Instant, route string, timeLeft time.Duration) time.Duration {
	known, ok := e.byRoute[route]
	switch {
	case !ok:
		return Default
	case now.Sub(known.updatedAt) > maxAge:
		return min(known.mean, time.Duration(staleShare*float64(timeLeft)))
	default:
		return known.mean
	}
}

// Record updates the estimate of a route with the service time of a request.
func (e *Estimates) Record(now model.Instant, route string, serviceTime time.Duration) {
	known, ok := e.byRoute[route]
	if !ok {
		if e.byRoute == nil || len(e.byRoute) >= maxRoutes {
			e.byRoute = make(map[string]estimate)
		}
		known.mean = serviceTime
	}
	if now.Sub(known.updatedAt) > maxAge {
		known.mean = min(known.mean, staleFactor*serviceTime)
	}
	known.mean += time.Duration(float64(serviceTime-known.mean) * newestWeight)
	known.updatedAt = now
	e.byRoute[route] = known
}
