package demo

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/load"
	"github.com/dottereltiller/dottereltiller/local"
)

// GroupResult holds the results of one group of callers at one service.
type GroupResult struct {
	load.Stats
	// MeasuringShare is the slot time that the daemons' polls of load reports used at the service,
	// as a share of the service's capacity. The capacity is the number of slots times the length of
	// the run.
	MeasuringShare float64 `json:"measuring_share"`
}

// Result holds the results of a run.
type Result struct {
	Groups []GroupResult `json:"groups"`
	Total  load.Stats    `json:"total"`
	// Violations lists the invariants that did not hold.
	Violations []string `json:"violations"`
	// VersionInForce is the configuration version in force at the first daemon. If another
	// daemon has a different version in force, there is a violation.
	VersionInForce model.Version `json:"version_in_force"`
}

// newResult returns the results of a load. A wrong answer is a response that is incomplete or does
// not belong to its request. The result has a violation for each wrong answer in
// loadResult.WrongAnswers, and one violation with the number of wrong answers not listed there.
// shareByService is the result of measuringShares.
func newResult(loadResult *load.Result, shareByService map[model.ServiceName]float64) *Result {
	r := &Result{Total: loadResult.Total, Violations: []string{}}
	r.Total.Series = nil
	for _, g := range loadResult.Groups {
		g.Series = nil
		r.Groups = append(r.Groups, GroupResult{Stats: g, MeasuringShare: shareByService[g.Service]})
	}
	for _, request := range loadResult.WrongAnswers {
		r.Violations = append(r.Violations, "wrong answer to request "+request)
	}
	if unlisted := loadResult.Wrong - int64(len(loadResult.WrongAnswers)); unlisted > 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("%d more wrong answers", unlisted))
	}
	return r
}

// checkVersions sets VersionInForce to the configuration version in force at the first
// daemon. It returns a violation for each daemon that has another version or none in force.
func (r *Result) checkVersions(deployment *local.Deployment) []string {
	var out []string
	for i, n := range deployment.Nodes {
		s := n.Daemon.Status()
		if i == 0 {
			r.VersionInForce = s.Version
		}
		if s.Version != r.VersionInForce || s.Version == 0 {
			out = append(out, fmt.Sprintf("%s in %s has version %d in force, not %d", s.Daemon, s.Zone, s.Version, r.VersionInForce))
		}
	}
	return out
}

// print writes the results as a table, and after the table whether all invariants hold or the
// number of violations.
func (r *Result) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "service\tgroup\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tslot time\tmeasuring\t")
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.1f%%\t%.3f%%\t\n",
			g.Service, g.Group, g.Answered, g.NotRun, g.Unknown,
			ms(g.P50), ms(g.P99), ms(g.P999), 100*g.SlotTimeShare, 100*g.MeasuringShare)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		_, err := fmt.Fprintf(w, "%d violations of invariants\n", len(r.Violations))
		return err
	}
	_, err := fmt.Fprintf(w, "all invariants hold: every response is complete and belongs to its request; no request reported as not run has run; no non-idempotent request ran twice; version %d is in force in every zone\n",
		r.VersionInForce)
	return err
}

// ms converts microseconds to milliseconds.
func ms(us int64) float64 { return float64(us) / 1000 }
