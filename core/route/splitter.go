package route

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Splitter deals the requests of routes to the parts of their splits. It is not
// safe for concurrent use. The zero value is ready.
type Splitter struct {
	// places holds a place for each route with more than one part.
	places map[string]*place
}

// place is how far the parts of one split are ahead of their shares.
type place struct {
	parts []Part
	owed  []float64
}

// maxPlaces bounds the places kept; routes beyond it start anew, which costs
// them at most one request of exactness.
const maxPlaces = 4096

// Pick returns the service that takes the next request of a route. Each part is
// owed its share of every request, and the part that is owed most takes it, so
// that no share is ever off by more than one request.
func (s *Splitter) Pick(r *Route) model.ServiceName {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	p := s.place(r)
	total := 0.0
	for i, part := range r.Parts {
		total += part.Weight
		p.owed[i] += part.Weight
	}
	best := 0
	for i := range p.owed {
		if p.owed[i] > p.owed[best] {
			best = i
		}
	}
	p.owed[best] -= total
	return r.Parts[best].Service
}

func (s *Splitter) place(r *Route) *place {
	if s.places == nil || len(s.places) > maxPlaces {
		s.places = make(map[string]*place)
	}
	p := s.places[r.Name]
	if p == nil || !slices.Equal(p.parts, r.Parts) {
		p = &place{parts: r.Parts, owed: make([]float64, len(r.Parts))}
		s.places[r.Name] = p
	}
	return p
}
