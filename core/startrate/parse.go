package startrate

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// LimitError reports a value that is not a valid limit.
type LimitError struct{ Value string }

// Error names the value.
func (e *LimitError) Error() string {
	return fmt.Sprintf("rate limit: want a number of requests per second, got %q", e.Value)
}

// ParseLimit parses the values of the header in which an upstream names its limit, in requests per second. Of
// several values, the smallest counts. Without a value, limited is false. If any value is not a finite number or
// is negative, the error is a *LimitError.
func ParseLimit(values []string) (perSecond float64, limited bool, err error) {
	for _, value := range values {
		n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || !(n >= 0) || math.IsInf(n, 1) {
			return 0, false, &LimitError{Value: value}
		}
		if !limited || n < perSecond {
			perSecond, limited = n, true
		}
	}
	return perSecond, limited, nil
}
