package decision

import (
	"fmt"
	"strings"
)

// retentionByClass states for each class which of its lines are kept.
var retentionByClass = map[Class]string{
	Plain:   "sampled, dropped first",
	Trouble: "within the rate limit",
	State:   "always",
}

// Page returns the Markdown table of all kinds for docs/LOGS.md.
func Page() string {
	var b strings.Builder
	b.WriteString("| `msg` | meaning | fields | kept |\n|---|---|---|---|\n")
	for _, d := range Declarations() {
		fmt.Fprintf(&b, "| %s | %s | `%s` | %s |\n", d.Kind, d.Description, strings.Join(d.Fields, "`, `"), retentionByClass[d.Class])
	}
	return b.String()
}
