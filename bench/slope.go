package bench

import (
	"context"
	"math"
)

// Point is a value measured at one size, for example the memory used by 100 upstreams.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a straight line fitted to measured points by least squares.
type Slope struct {
	// Name says what was measured.
	Name string `json:"name"`
	// Unit is the unit of the values, for example bytes.
	Unit string `json:"unit"`
	// Per is the unit of the sizes, for example upstream.
	Per string `json:"per"`
	// Slope is the increase of the value per unit of size.
	Slope float64 `json:"slope"`
	// Intercept is the line's value at size 0.
	Intercept float64 `json:"intercept"`
	// FitError is the largest distance of a measured value from the line, divided by
	// the largest absolute measured value.
	FitError float64 `json:"fit_error"`
	Points   []Point `json:"points"`
}

// At returns the line's value at a size.
func (s Slope) At(size float64) float64 { return s.Intercept + s.Slope*size }

// measurement measures a value at several sizes. Its fields name, unit and per have the
// same meaning as those of Slope.
type measurement struct {
	name, unit, per string
	sizes           []int
	// run measures the value at one size and returns it.
	run func(ctx context.Context, size int) (float64, error)
}

// fitSlope measures the value at all sizes and fits a line to them.
func (m measurement) fitSlope(ctx context.Context) (Slope, error) {
	s := Slope{Name: m.name, Unit: m.unit, Per: m.per}
	for _, n := range m.sizes {
		v, err := m.run(ctx, n)
		if err != nil {
			return s, err
		}
		s.Points = append(s.Points, Point{Size: n, Value: v})
	}
	s.fit()
	return s, nil
}

// fit sets Slope, Intercept and FitError from Points. The line is the least-squares fit.
func (s *Slope) fit() {
	var sx, sy, sxx, sxy float64
	n := float64(len(s.Points))
	for _, p := range s.Points {
		x := float64(p.Size)
		sx += x
		sy += p.Value
		sxx += x * x
		sxy += x * p.Value
	}
	if d := n*sxx - sx*sx; d != 0 {
		s.Slope = (n*sxy - sx*sy) / d
	}
	s.Intercept = (sy - s.Slope*sx) / n
	s.FitError = s.maxFitError()
}

// maxFitError computes FitError from the points and the line. It returns 0 if all
// measured values are 0.
func (s *Slope) maxFitError() float64 {
	var maxError, maxValue float64
	for _, p := range s.Points {
		maxError = math.Max(maxError, math.Abs(p.Value-s.At(float64(p.Size))))
		maxValue = math.Max(maxValue, math.Abs(p.Value))
	}
	if maxValue == 0 {
		return 0
	}
	return maxError / maxValue
}
