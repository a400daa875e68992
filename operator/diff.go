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

// Documents holds configuration documents as compact JSON, by their keys.
type Documents map[config.DocumentKey]json.RawMessage

// Merge returns the documents in before together with docs. A document in docs replaces the one
// in before with the same key. If prune is true, Merge returns only docs. It returns an error if a
// document cannot be encoded as JSON.
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

// Difference is one document that differs between two configurations.
type Difference struct {
	Key config.DocumentKey
	// Before is nil if the document was added. After is nil if the document was deleted.
	Before, After json.RawMessage
}

// Diff returns the documents that differ between before and after, ordered by key.
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

// WriteDiff prints the key of each differing document, then its removed lines after "-" and its
// added lines after "+". It compares only whether a line occurs, not where.
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

// indentedLines indents raw and returns its lines. If raw is not valid JSON, it is returned as one
// line.
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
