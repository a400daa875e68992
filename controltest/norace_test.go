//go:build !race

package controltest_test

// Fleet sizes in daemons, and the number of delays that TestTimeUntilInForce
// samples for each case.
const (
	mediumFleet  = 100
	largestFleet = 300
	samples      = 1000
)
