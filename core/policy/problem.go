package policy

import (
	"cmp"
	"fmt"
	"slices"
)

// Problem is an error found in a document.
type Problem struct {
	// Document is the key of the document, "kind/name"; see Document.Key.
	Document string
	// Path is the JSON path of the field, such as "spec.groups[1].weight".
	Path string
	// Value is the invalid value as written in the document.
	Value string
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s: %s (got %s)", p.Document, p.Path, p.Message, p.Value)
}

// sortProblems orders problems by document and path, and drops repeated ones.
func sortProblems(ps []Problem) []Problem {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Document, b.Document), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(ps)
}
