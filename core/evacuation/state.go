package evacuation

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// State holds the evacuated zones. The zero value is the state before the start of the log.
type State struct {
	// Version is an offset of the log. The State holds the evacuations that the records before it
	// started and did not end.
	Version uint64
	// Zones are the evacuated zones, sorted and without duplicates.
	Zones []model.AvailabilityZone
}

// Supersedes reports whether s is newer than old.
func (s *State) Supersedes(old *State) bool { return s.Version > old.Version }

// Includes reports whether a zone is evacuated.
func (s *State) Includes(z model.AvailabilityZone) bool {
	_, found := slices.BinarySearch(s.Zones, z)
	return found
}

// With returns the State after the record at an offset, which starts or ends the evacuation of a
// zone. The record must not be older than the State.
func (s *State) With(offset uint64, z model.AvailabilityZone, evacuated bool) State {
	zones := slices.DeleteFunc(slices.Clone(s.Zones), func(x model.AvailabilityZone) bool { return x == z })
	if evacuated {
		zones = append(zones, z)
		slices.Sort(zones)
	}
	return State{Version: offset + 1, Zones: zones}
}

// maxZoneBytes is the longest name of a zone that can be encoded.
const maxZoneBytes = 255

// Append appends the encoded State to b: the version in 8 bytes, then each zone as its length in one
// byte and its name. Zones with longer names than maxZoneBytes are left out.
func (s *State) Append(b []byte) []byte {
	b = binary.BigEndian.AppendUint64(b, s.Version)
	for _, z := range s.Zones {
		if len(z) <= maxZoneBytes {
			b = append(append(b, byte(len(z))), z...)
		}
	}
	return b
}

// ErrEncoding reports an encoded State that is malformed.
var ErrEncoding = errors.New("evacuation: malformed state")

// Decode decodes a State that Append encoded. The error is ErrEncoding.
func Decode(b []byte) (State, error) {
	const versionBytes = 8
	if len(b) < versionBytes {
		return State{}, ErrEncoding
	}
	s := State{Version: binary.BigEndian.Uint64(b)}
	for b = b[versionBytes:]; len(b) > 0; {
		n := 1 + int(b[0])
		if n > len(b) {
			return State{}, ErrEncoding
		}
		s.Zones = append(s.Zones, model.AvailabilityZone(b[1:n]))
		b = b[n:]
	}
	slices.Sort(s.Zones)
	s.Zones = slices.Compact(s.Zones)
	return s, nil
}
