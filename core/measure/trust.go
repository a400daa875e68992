package measure

// Report is the load that an upstream reports about itself.
type Report struct {
	// Running is the number of requests that the upstream reports to be running.
	Running int
}

// Observation is what the guard knows for certain about the time that a report may
// refer to.
type Observation struct {
	// MinRunning is the lowest number of the guard's requests that were running.
	MinRunning int
	// MaxRunning is the highest number of the guard's requests that were running.
	MaxRunning int
	// Slowed is set if requests took clearly longer than usual.
	Slowed bool
}

// Counts counts the reports by the result of comparing them with observations.
type Counts struct {
	// Agreed counts reports that are consistent with the observation.
	Agreed uint64
	// Contradicted counts reports of fewer requests than were certainly running.
	Contradicted uint64
	// Unsupported counts reports of more requests than the guard had running, if the guard's
	// own requests were not slowed down at that time.
	Unsupported uint64
}

const (
	// initialWeight is the weight of reports (see Trust) before the first report.
	initialWeight = 0.5
	// agreementGain is added to the weight after a report that agrees with the observation.
	agreementGain = 0.1
	// contradictedFactor is what the weight is multiplied by after a contradicted report.
	contradictedFactor = 0.5
	// unsupportedFactor is what the weight is multiplied by after an unsupported report.
	unsupportedFactor = 0.8
	// maxExternalShare is the largest share of the slots that can count as occupied by
	// requests from elsewhere. A false report thus never makes an upstream look full.
	maxExternalShare = 0.5
)

// Trust tracks how far the load reports of one upstream can be trusted. It expresses the trust
// as a weight of reports, from 0 to 1. Use NewTrust to create a Trust. A Trust is not safe for
// concurrent use.
type Trust struct {
	// weight is the weight of a report, from 0 to 1.
	weight float64
	// externalRequests is the number of requests from elsewhere in the last report, or 0 if
	// that report was contradicted or unsupported (see Counts).
	externalRequests float64
	counts           Counts
}

// NewTrust returns a Trust that gives reports a weight of one half.
func NewTrust() *Trust { return &Trust{weight: initialWeight} }

// Observe compares a report with an observation and updates the weight of reports.
func (t *Trust) Observe(r Report, observed Observation) {
	external := max(r.Running-observed.MaxRunning, 0)
	t.externalRequests = 0
	switch {
	case r.Running < observed.MinRunning:
		t.counts.Contradicted++
		t.weight *= contradictedFactor
	case external > 0 && !observed.Slowed:
		t.counts.Unsupported++
		t.weight *= unsupportedFactor
	default:
		t.counts.Agreed++
		t.weight = min(t.weight+agreementGain, 1)
		t.externalRequests = float64(external)
	}
}

// ExternalRequests returns how many requests from elsewhere, that is, not from the guard, the
// upstream is assumed to be running. slots is the number of slots of the upstream, which bounds
// the result (see maxExternalShare).
func (t *Trust) ExternalRequests(slots int) int {
	return int(min(t.Discrepancy(), maxExternalShare*float64(slots)))
}

// Counts returns the results of the comparisons so far.
func (t *Trust) Counts() Counts { return t.counts }

// Discrepancy returns by how many requests the last report exceeded the observation, multiplied
// by the weight of reports. It is 0 if the last report was contradicted or unsupported (see
// Counts).
func (t *Trust) Discrepancy() float64 { return t.externalRequests * t.weight }
