package route

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Splitter deals the requests of routes to the parts of their splits. It is not
// safe for concurrent use. The zero value is ready.
type Splitter struct {
	// places holds a place for each route with more than one part.
	states map[string]*splitState
}

// place is how far the parts of one split are ahead of their shares.
type splitState struct {
	parts          []Part
	currentWeights []float64
}

// maxPlaces bounds the places kept; routes beyond it start anew, which costs
// them at most one request of exactness.
const maxStates = 4096

// Pick returns the service that takes the next request of a route. Each part is
// owed its share of every request, and the part that is owed most takes it, so
// that no share is ever off by more than one request.
func (s *Splitter) Pick(r *Route) model.ServiceName {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	state := s.state(r)
	totalWeight := 0.0
	for i, part := range r.Parts {
		totalWeight += part.Weight
		state.currentWeights[i] += part.Weight
	}
	best := 0
	for i := range state.currentWeights {
		if state.currentWeights[i] > state.currentWeights[best] {
			best = i
		}
	}
	state.currentWeights[best] -= totalWeight
	return r.Parts[best].Service
}

func (s *Splitter) state(r *Route) *splitState {
	if s.states == nil || len(s.states) > maxStates {
		s.states = make(map[string]*splitState)
	}
	state := s.states[r.Name]
	if state == nil || !slices.Equal(state.parts, r.Parts) {
		state = &splitState{parts: r.Parts, currentWeights: make([]float64, len(r.Parts))}
		s.states[r.Name] = state
	}
	return state
}
