package route

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Splitter distributes the requests of each route among the services of the
// route's traffic split by smooth weighted round robin. It is not safe for
// concurrent use. The zero value is ready to use.
type Splitter struct {
	// stateByRoute holds the state of each route with more than one service, by the
	// name of the route.
	stateByRoute map[string]*splitState
}

// splitState is the state of smooth weighted round robin over one split.
type splitState struct {
	split []WeightedService
	// currentWeights holds the current weight of each service; see Splitter.Pick.
	currentWeights []float64
}

// maxStates bounds the states that a Splitter keeps. When it has more, the next call of
// Pick resets all states. A reset changes the number of requests that a service gets by at
// most one in a split between two services, and by at most n-1 in a split between n
// services. These are the largest deviations from the service's share of the requests at
// any time; see Pick.
const maxStates = 4096

// Pick returns the service for the next request of a route. It first adds the weight
// of each service to the current weight of the service. It then picks the service
// with the largest current weight, and subtracts the sum of all weights from this
// current weight. In a split between two services, the number of requests that a
// service has got never differs by more than one from its share, by weight, of the
// requests so far. In a split between n services, it never differs by more than n-1.
func (s *Splitter) Pick(r *Route) model.ServiceName {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	state := s.state(r)
	totalWeight := 0.0
	for i, service := range r.Split {
		totalWeight += service.Weight
		state.currentWeights[i] += service.Weight
	}
	bestIndex := 0
	for i := range state.currentWeights {
		if state.currentWeights[i] > state.currentWeights[bestIndex] {
			bestIndex = i
		}
	}
	state.currentWeights[bestIndex] -= totalWeight
	return r.Split[bestIndex].Service
}

// state returns the state of the route's split, or a new state if the split has
// changed.
func (s *Splitter) state(r *Route) *splitState {
	if s.stateByRoute == nil || len(s.stateByRoute) > maxStates {
		s.stateByRoute = make(map[string]*splitState)
	}
	state := s.stateByRoute[r.Name]
	if state == nil || !slices.Equal(state.split, r.Split) {
		state = &splitState{split: r.Split, currentWeights: make([]float64, len(r.Split))}
		s.stateByRoute[r.Name] = state
	}
	return state
}
