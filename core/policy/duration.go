package policy

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration written in JSON as a string with a unit, such as
// "250ms".
type Duration time.Duration

// UnmarshalJSON accepts a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return fmt.Errorf("duration %s: want a string with a unit such as \"250ms\"", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: want a number with a unit such as \"250ms\"", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration as a string with units.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}
