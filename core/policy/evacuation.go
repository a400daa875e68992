package policy

import (
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// KindEvacuation is the kind of documents that evacuate an availability zone. An evacuation lasts as
// long as its document is in force.
const KindEvacuation = "Evacuation"

// EvacuationSpec is the spec of an Evacuation document.
type EvacuationSpec struct {
	// Zone is the availability zone whose upstreams get no requests.
	Zone model.AvailabilityZone `json:"zone"`
}

func (c *compiler) addEvacuation(d Document) {
	var spec EvacuationSpec
	if !c.decode(d, &spec) {
		return
	}
	if spec.Zone == "" {
		c.addProblem(d, "spec.zone", "", "must not be empty")
		return
	}
	if i, found := slices.BinarySearch(c.set.evacuatedZones, spec.Zone); !found {
		c.set.evacuatedZones = slices.Insert(c.set.evacuatedZones, i, spec.Zone)
	}
}

// EvacuatedZones returns the evacuated availability zones, sorted.
func (s *Set) EvacuatedZones() []model.AvailabilityZone { return slices.Clone(s.evacuatedZones) }

// IsEvacuated reports whether an availability zone is evacuated.
func (s *Set) IsEvacuated(z model.AvailabilityZone) bool {
	_, found := slices.BinarySearch(s.evacuatedZones, z)
	return found
}
