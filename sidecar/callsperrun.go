package sidecar

// called notes a request that began on this VM and goes to another service: a call
// of the own upstream, or of a caller beside it, which counts as one.
func (g *guard) called() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls++
}

const (
	// recentRuns is how many runs the count of calls covers, halved when it is
	// full; before fewRuns of them usualCalls are assumed of each.
	runWindow          = 128
	minRuns            = 8
	assumedCallsPerRun = 1
)

// countRun notes a run. g.mu is held.
func (g *guard) countRun() {
	if g.runs++; g.runs >= runWindow {
		g.runs, g.calls = g.runs/2, g.calls/2
	}
}

// recentCallsPerRun is callsPerRun for who does not hold g.mu.
func (g *guard) recentCallsPerRun() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.callsPerRun()
}

// callsPerRun returns how many calls a run of the own upstream makes. g.mu is held.
func (g *guard) callsPerRun() float64 {
	if g.runs < minRuns {
		return assumedCallsPerRun
	}
	return g.calls / g.runs
}
