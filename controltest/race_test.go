//go:build race

package controltest_test

// These constants are smaller than those in norace_test.go, because the tests take
// several times as long under the race detector.
const (
	// mediumFleet is the number of daemons in a medium-sized fleet.
	mediumFleet = 20
	// largestFleet is the number of daemons in the largest fleet.
	largestFleet = 40
	// samples is the number of delays that TestTimeUntilInForce measures in each
	// case. Each change yields one delay per daemon.
	samples = 200
)
