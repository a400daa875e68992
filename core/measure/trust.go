package measure

// Report is what an upstream says of itself.
type Report struct {
	// Running is the number of requests that it says it runs.
	Running int
}

// Seen is what the guard knows for certain of the window a report may speak
// of: the fewest and the most requests that it had running there.
type Observation struct {
	MinRunning int
	MaxRunning int
	// Slowed is set when requests took clearly longer than usual.
	Slowed bool
}

// Counts tell how reports compared with what was seen.
type Counts struct {
	// Agreed counts reports that fit, Contradicted those below what certainly
	// ran, Unsupported those that claim other work of which nothing shows.
	Agreed, Contradicted, Unsupported uint64
}

const (
	initialTrust  = 0.5
	agreementGain = 0.1
	// contradictKeep and unsupportedKeep are the parts of trust that remain.
	contradictedFactor = 0.5
	unsupportedFactor  = 0.8
	// mostBelieved is the largest part of the slots that a report can take up:
	// a lying upstream never takes itself out.
	maxExternalShare = 0.5
)

// Trust weighs the load reports of one upstream. The zero value is not usable;
// see NewTrust. It is not safe for concurrent use.
type Trust struct {
	trust    float64
	external float64
	counts   Counts
}

// NewTrust returns a Trust that half believes.
func NewTrust() *Trust { return &Trust{trust: initialTrust} }

// Observe takes in a report.
func (t *Trust) Observe(r Report, s Observation) {
	external := max(r.Running-s.MaxRunning, 0)
	t.external = 0
	switch {
	case r.Running < s.MinRunning:
		t.counts.Contradicted++
		t.trust *= contradictedFactor
	case external > 0 && !s.Slowed:
		t.counts.Unsupported++
		t.trust *= unsupportedFactor
	default:
		t.counts.Agreed++
		t.trust = min(t.trust+agreementGain, 1)
		t.external = float64(external)
	}
}

// Extra returns the number of requests from elsewhere that are believed to run
// at an upstream of the given slots.
func (t *Trust) External(slots int) int {
	return int(min(t.Discrepancy(), maxExternalShare*float64(slots)))
}

// Counts returns how reports compared so far.
func (t *Trust) Counts() Counts { return t.counts }

// Surprise returns how far the last report parted from what was seen, in
// requests, weighed by trust.
func (t *Trust) Discrepancy() float64 { return t.external * t.trust }
