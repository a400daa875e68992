//go:build !race

package controltest_test

const (
	// mediumFleetSize is the number of daemons in a medium-sized fleet.
	mediumFleetSize = 100
	// largestFleetSize is the number of daemons in the largest fleet.
	largestFleetSize = 300
	// samplesPerCase is the number of delays that TestTimeUntilInForce measures in each
	// case. Each change yields one delay per daemon.
	samplesPerCase = 1000
)
