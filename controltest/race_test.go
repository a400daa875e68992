//go:build race

package controltest_test

// These constants are smaller than those in norace_test.go, because the tests take
// several times as long under the race detector.
const (
	// mediumFleetSize is the number of daemons in a medium-sized fleet.
	mediumFleetSize = 20
	// largestFleetSize is the number of daemons in the largest fleet.
	largestFleetSize = 40
	// samplesPerCase is the number of delays that TestTimeUntilInForce measures in each
	// case. Each change yields one delay per daemon.
	samplesPerCase = 200
)
