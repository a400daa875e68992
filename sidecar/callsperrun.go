package sidecar

// countCall counts a request from this VM to another service. The caller may be the local
// upstream or any other process on the VM.
func (g *guard) countCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callCount++
}

const (
	// maxRunCount is the number of runs at which the counts of runs and calls are halved. It
	// bounds how far back callsPerRun averages.
	maxRunCount = 128
	// minRuns is the least number of runs for an average. With fewer, callsPerRun returns
	// assumedCallsPerRun.
	minRuns = 8
	// assumedCallsPerRun is the result of callsPerRun while too few runs are counted.
	assumedCallsPerRun = 1
)

// countRun counts a request that the local upstream runs. It halves the counts of runs and calls
// at maxRunCount. g.mu is held.
func (g *guard) countRun() {
	if g.runCount++; g.runCount >= maxRunCount {
		g.runCount, g.callCount = g.runCount/2, g.callCount/2
	}
}

// currentCallsPerRun returns the same value as callsPerRun, but locks g.mu itself.
func (g *guard) currentCallsPerRun() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callsPerRun()
}

// callsPerRun returns the recent average number of calls to other services for each request that
// the local upstream runs. g.mu is held.
func (g *guard) callsPerRun() float64 {
	if g.runCount < minRuns {
		return assumedCallsPerRun
	}
	return g.callCount / g.runCount
}
