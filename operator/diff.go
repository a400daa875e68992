package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/policy"
)

// Documents maps the keys of configuration documents to the documents as compact JSON.
type Documents map[config.DocumentKey]json.RawMessage

// Merge returns the documents in before with docs added or replaced. With prune, it returns
// only docs.
func Merge(before Documents, docs []policy.Document, prune bool) (Documents, error) {
	after := make(Documents)
	if !prune {
		maps.Copy(after, before)
	}
	for _, d := range docs {
		raw, err := json.Marshal(d)
		if err != nil {
			return nil, err
		}
		after[config.DocumentKey(d.Key())] = raw
	}
	return after, nil
}

// Difference is one document that differs between two configurations. Before is nil if the
// document was added, After is nil if it was deleted.
type Difference struct {
	Key           config.DocumentKey
	Before, After json.RawMessage
}

// Diff returns the documents that differ, ordered by key.
func Diff(before, after Documents) []Difference {
	keys := make(map[config.DocumentKey]bool)
	for k := range before {
		keys[k] = true
	}
	for k := range after {
		keys[k] = true
	}
	var out []Difference
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		if !bytes.Equal(before[k], after[k]) {
			out = append(out, Difference{Key: k, Before: before[k], After: after[k]})
		}
	}
	return out
}

// WriteDiff prints differences line by line, removed lines with "-" and added
// ones with "+".
func WriteDiff(w io.Writer, diffs []Difference) {
	for _, d := range diffs {
		_, _ = fmt.Fprintln(w, d.Key)
		before, after := indentedLines(d.Before), indentedLines(d.After)
		for _, l := range before {
			if !slices.Contains(after, l) {
				_, _ = fmt.Fprintln(w, "-", l)
			}
		}
		for _, l := range after {
			if !slices.Contains(before, l) {
				_, _ = fmt.Fprintln(w, "+", l)
			}
		}
	}
}

// indentedLines returns the lines of indented JSON.
func indentedLines(raw json.RawMessage) []string {
	if raw == nil {
		return nil
	}
	var b bytes.Buffer
	if json.Indent(&b, raw, "", "  ") != nil {
		return []string{string(raw)}
	}
	return strings.Split(b.String(), "\n")
}
