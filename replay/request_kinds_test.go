package replay_test

import (
	"math"
	"time"
)

// requestKind is a kind of requests.
type requestKind struct {
	share float64 // relative to the sum of the shares of all kinds
	// serviceTime is the median service time at the usual speed. A request should be
	// served within target. It is given up after deadline.
	serviceTime, target, deadline time.Duration
	rank                          int // priority rank: 0 is served first
}

// defaultKinds returns two kinds that differ only in their priority rank: 30% of the
// requests have rank 0, which is served first, and 70% rank 1.
func defaultKinds() []requestKind {
	return []requestKind{
		{share: 0.3, serviceTime: meshMedianServiceTime, target: meshTarget, deadline: meshDeadline, rank: 0},
		{share: 0.7, serviceTime: meshMedianServiceTime, target: meshTarget, deadline: meshDeadline, rank: 1},
	}
}

// drawRequest draws the kind and the service time of a request. The service time is in
// seconds at usual speed and has a log-normal distribution.
func (m *mesh) drawRequest() (requestKind, float64) {
	shareSum := 0.0
	for _, k := range m.kinds {
		shareSum += k.share
	}
	draw, kind := m.rng.Float64()*shareSum, m.kinds[len(m.kinds)-1]
	for _, k := range m.kinds {
		if draw -= k.share; draw < 0 {
			kind = k
			break
		}
	}
	return kind, kind.serviceTime.Seconds() * math.Exp(0.3*m.rng.NormFloat64())
}
