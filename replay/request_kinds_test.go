package replay_test

import (
	"math"
	"time"
)

// requestKind is a kind of requests. Share is its part of all.
type requestKind struct {
	share                         float64
	serviceTime, target, deadline time.Duration
	rank                          int
}

// defaultKinds are requests of one kind, of which three in ten are more urgent.
func defaultKinds() []requestKind {
	return []requestKind{
		{share: 0.3, serviceTime: meshServiceTime, target: meshTarget, deadline: meshDeadline, rank: 0},
		{share: 0.7, serviceTime: meshServiceTime, target: meshTarget, deadline: meshDeadline, rank: 1},
	}
}

// drawRequest draws the kind of a request and the seconds of work that it needs.
func (m *mesh) drawRequest() (requestKind, float64) {
	all := 0.0
	for _, k := range m.kinds {
		all += k.share
	}
	at, kind := m.rng.Float64()*all, m.kinds[len(m.kinds)-1]
	for _, k := range m.kinds {
		if at -= k.share; at < 0 {
			kind = k
			break
		}
	}
	return kind, kind.serviceTime.Seconds() * math.Exp(0.3*m.rng.NormFloat64())
}
