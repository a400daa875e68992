//go:build race

package controltest_test

// These values are smaller than in norace_test.go, because tests under the race
// detector take several times as long.
const (
	// mediumFleet is the number of daemons in a medium-sized fleet.
	mediumFleet = 20
	// largestFleet is the number of daemons in the largest fleet.
	largestFleet = 40
	// samples is the number of delays that TestTimeUntilInForce measures in each
	// case.
	samples = 200
)
