//go:build !race

package controltest_test

const (
	// mediumFleet is the number of daemons in a medium-sized fleet.
	mediumFleet = 100
	// largestFleet is the number of daemons in the largest fleet.
	largestFleet = 300
	// samples is the number of delays that TestTimeUntilInForce measures in each
	// case. Each change yields one delay per daemon.
	samples = 1000
)
