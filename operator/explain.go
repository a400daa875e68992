package operator

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/core/policy"
)

// WriteExplanation prints why a caller belongs to its group at a service: the policies and
// groups that were considered, and which of them apply.
func WriteExplanation(w io.Writer, e policy.Explanation) {
	_, _ = fmt.Fprintf(w, "service %s, caller %s\n", e.Service, callerLabel(e.Caller))
	_, _ = fmt.Fprintln(w, "policies, in the order in which they are tried:")
	for _, p := range e.Policies {
		_, _ = fmt.Fprintf(w, "%s %s (priority %d): %s\n", winnerMark(p.Wins), p.Name, p.Priority, p.Why)
	}
	if len(e.Groups) > 0 {
		_, _ = fmt.Fprintln(w, "groups of the winning policy, in order:")
	}
	for _, g := range e.Groups {
		_, _ = fmt.Fprintf(w, "%s %s: %s\n", winnerMark(g.Wins), g.Name, g.Why)
	}
	if e.Group == "" {
		_, _ = fmt.Fprintln(w, "the caller belongs to no group and is refused: forbidden")
		return
	}
	_, _ = fmt.Fprintf(w, "group %s: %.1f%% of each upstream when all groups are busy, deadline %v\n", e.Group, 100*e.Share, e.Deadline)
}

// winnerMark returns the prefix of a line. The prefix has a star if the policy or group in the
// line applies.
func winnerMark(wins bool) string {
	if wins {
		return "  *"
	}
	return "   "
}

// callerLabel returns the caller's name, or a label for callers without credentials.
func callerLabel(c model.CallerName) string {
	if c == "" {
		return "without credentials"
	}
	return string(c)
}

// WriteAssignments prints a table with the policy of each service and the group of each caller at that
// service. For each service, the last row is for callers without credentials.
func WriteAssignments(w io.Writer, set *policy.Set) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "service\tpolicy\tcaller\tgroup\tshare when all are busy")
	for _, service := range set.Services() {
		for _, caller := range append(set.Callers(), "") {
			e, err := set.Explain(caller, service)
			if err != nil {
				continue
			}
			writeAssignment(t, set, e)
		}
	}
	_ = t.Flush()
}

// writeAssignment prints the row for one service and caller.
func writeAssignment(w io.Writer, set *policy.Set, e policy.Explanation) {
	svc, _ := set.Service(e.Service)
	winner := svc.Policy
	if winner == "" {
		winner = "none"
	}
	if e.Group == "" {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\trefused\t\n", e.Service, winner, callerLabel(e.Caller))
		return
	}
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f%%\n", e.Service, winner, callerLabel(e.Caller), e.Group, 100*e.Share)
}
