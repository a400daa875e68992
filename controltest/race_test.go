//go:build race

package controltest_test

// Fleet sizes and the number of samples are smaller under the race detector,
// which takes several times as long.
const (
	mediumFleet  = 20
	largestFleet = 40
	samples      = 200
)
