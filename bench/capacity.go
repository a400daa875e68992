package bench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
)

// CapacityOptions selects what Capacity measures.
type CapacityOptions struct {
	// StateOnly skips the measurements that need running daemons.
	StateOnly bool
}

// Capacity measures how memory, CPU time and the size of membership messages grow with
// the size of a deployment. It returns the slopes that docs/CAPACITY.md uses. If a
// measurement fails, Capacity returns the slopes measured before it and an error.
func Capacity(ctx context.Context, opts CapacityOptions) ([]Slope, error) {
	measurements := stateMeasurements()
	if !opts.StateOnly {
		measurements = append(measurements, daemonMeasurements()...)
	}
	slopes := make([]Slope, 0, len(measurements))
	for _, m := range measurements {
		s, err := m.fitSlope(ctx)
		if err != nil {
			return slopes, fmt.Errorf("%s: %w", m.name, err)
		}
		slopes = append(slopes, s)
	}
	return slopes, nil
}

// PrintSlopes writes the slopes as a Markdown table, as docs/CAPACITY.md shows it. The
// column "fit error" is FitError in percent.
func PrintSlopes(w io.Writer, slopes []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(t, "| measured\t| unit\t| slope\t| per\t| intercept\t| fit error\t|")
	_, _ = fmt.Fprintln(t, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(t, "| %s\t| %s\t| %.3g\t| %s\t| %.3g\t| %.1f%%\t|\n",
			s.Name, s.Unit, s.Slope, s.Per, s.Intercept, 100*s.FitError)
	}
	return t.Flush()
}
