package trace

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// entrySpanName is the name of the outermost span that a daemon records for a
// request.
const entrySpanName = "entry"

// Tree holds the spans of one trace. It has one root unless spans are missing.
type Tree struct {
	TraceID string
	Roots   []*Node
}

// Node is a span with its child spans, ordered by start time.
type Node struct {
	Record
	Children []*Node
}

// Duration returns the time from the start of the first root to the end of the root
// that ended last.
func (t *Tree) Duration() time.Duration {
	var lastEnd time.Time
	for _, r := range t.Roots {
		if rootEnd := r.Start.Add(r.elapsed()); rootEnd.After(lastEnd) {
			lastEnd = rootEnd
		}
	}
	return lastEnd.Sub(t.Roots[0].Start)
}

func (r Record) elapsed() time.Duration { return time.Duration(r.DurationUs) * time.Microsecond }

// Complete reports whether the entry span is the only root. Otherwise a span is
// missing, for example because a Ring has overwritten it.
func (t *Tree) Complete() bool { return len(t.Roots) == 1 && t.Roots[0].Name == entrySpanName }

// BuildTrees groups records into one tree for each trace. The records may come from
// several daemons and in any order. A span whose parent is missing becomes a root.
// Complete trees come first, then incomplete ones; both are sorted by duration,
// longest first.
func BuildTrees(records []Record) []*Tree {
	// The keys of nodesByID are a trace ID followed by a span ID.
	nodesByID := make(map[string]*Node, len(records))
	for _, r := range records {
		nodesByID[r.TraceID+r.SpanID] = &Node{Record: r}
	}
	treesByTraceID := make(map[string]*Tree)
	for _, n := range nodesByID {
		if parent := nodesByID[n.TraceID+n.ParentID]; parent != nil && n.ParentID != "" {
			parent.Children = append(parent.Children, n)
			continue
		}
		t := treesByTraceID[n.TraceID]
		if t == nil {
			t = &Tree{TraceID: n.TraceID}
			treesByTraceID[n.TraceID] = t
		}
		t.Roots = append(t.Roots, n)
	}
	out := make([]*Tree, 0, len(treesByTraceID))
	for _, t := range treesByTraceID {
		sortNodes(t.Roots)
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b *Tree) int {
		return cmp.Or(
			compareBool(b.Complete(), a.Complete()),
			cmp.Compare(b.Duration(), a.Duration()),
			cmp.Compare(a.TraceID, b.TraceID))
	})
	return out
}

// compareBool compares two bools like cmp.Compare, with false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func sortNodes(nodes []*Node) {
	slices.SortFunc(nodes, func(a, b *Node) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.SpanID, b.SpanID))
	})
	for _, n := range nodes {
		sortNodes(n.Children)
	}
}

// printedAttributes lists the attributes that Print shows, in that order.
var printedAttributes = []string{
	"http.request.method", "url.path", "service", "group", "caller", "upstream", "attempt", "outcome", "reason",
}

// Print writes the tree as a table with one row for each span: its start relative
// to the first root, its duration, name, daemon, zone and attributes.
func (t *Tree) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "trace %s\n", t.TraceID); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "  at ms\ttook ms\tspan\tdaemon\tzone\t")
	for _, n := range t.Roots {
		printNode(table, n, t.Roots[0].Start, 0)
	}
	return table.Flush()
}

func printNode(w io.Writer, n *Node, traceStart time.Time, depth int) {
	var attributes []string
	for _, key := range printedAttributes {
		if v := n.Attributes[key]; v != "" {
			attributes = append(attributes, key[strings.LastIndexByte(key, '.')+1:]+"="+v)
		}
	}
	_, _ = fmt.Fprintf(w, "  %.2f\t%.2f\t%s%s\t%s\t%s\t%s\n",
		milliseconds(n.Start.Sub(traceStart)), milliseconds(n.elapsed()),
		strings.Repeat("  ", depth), n.Name, n.Daemon, n.Zone, strings.Join(attributes, " "))
	for _, c := range n.Children {
		printNode(w, c, traceStart, depth+1)
	}
}

func milliseconds(d time.Duration) float64 { return d.Seconds() * 1000 }
