//go:build !race

package controltest_test

// The numbers of daemons measured, and of samples of the time to force.
const (
	mediumFleet  = 100
	largestFleet = 300
	samples      = 1000
)
