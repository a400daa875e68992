package sidecar

// countCall counts a request from this VM to another service. The caller may be the local
// upstream or any other process on the VM.
func (g *guard) countCall() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.callCount++
}

const (
	// maxRunCount bounds the runs that callsPerRun averages over: when that many are counted,
	// the counts of runs and calls are halved. With fewer than minRuns, callsPerRun returns
	// assumedCallsPerRun.
	maxRunCount        = 128
	minRuns            = 8
	assumedCallsPerRun = 1
)

// countRun counts a request that the local upstream runs. The caller holds g.mu.
func (g *guard) countRun() {
	if g.runCount++; g.runCount >= maxRunCount {
		g.runCount, g.callCount = g.runCount/2, g.callCount/2
	}
}

// currentCallsPerRun locks g.mu and returns callsPerRun.
func (g *guard) currentCallsPerRun() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callsPerRun()
}

// callsPerRun returns the recent average number of calls to other services for each request
// that the local upstream runs. The caller holds g.mu.
func (g *guard) callsPerRun() float64 {
	if g.runCount < minRuns {
		return assumedCallsPerRun
	}
	return g.callCount / g.runCount
}
