package policy

import (
	"fmt"
	"slices"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Selector matches labels. It is a list of terms separated by commas, all of
// which must hold:
//
//	key = value, key == value   the label has the value
//	key != value                the label is absent or has another value
//	key in (a, b)               the label has one of the values
//	key notin (a, b)            the label is absent or has none of the values
//	key                         the label is present
//	!key                        the label is absent
//
// The empty selector matches everything.
type Selector struct {
	text  string
	terms []term
}

// operation is the way in which a term compares a label with its values.
type operation uint8

const (
	opIn operation = iota
	opNotIn
	opExists
	opNotExists
)

// term is one condition of a selector. For example, opIn with one value stands for
// key=value. opExists and opNotExists have no values.
type term struct {
	key    string
	op     operation
	values []string
}

// ParseSelector parses a selector in the syntax described at Selector.
func ParseSelector(s string) (Selector, error) {
	sel := Selector{text: s}
	if strings.TrimSpace(s) == "" {
		return sel, nil
	}
	for _, part := range splitTerms(s) {
		t, err := parseTerm(strings.TrimSpace(part))
		if err != nil {
			return Selector{}, err
		}
		sel.terms = append(sel.terms, t)
	}
	return sel, nil
}

// Empty reports whether the selector has no terms.
func (s Selector) Empty() bool { return len(s.terms) == 0 }

// String returns the text that the selector was parsed from.
func (s Selector) String() string { return s.text }

// Matches reports whether the labels satisfy every term.
func (s Selector) Matches(labels model.Labels) bool { return s.firstUnmatched(labels) == nil }

// firstUnmatched returns the first term that the labels do not satisfy. It returns
// nil when they satisfy all terms.
func (s Selector) firstUnmatched(labels model.Labels) *term {
	for i := range s.terms {
		if !s.terms[i].matches(labels) {
			return &s.terms[i]
		}
	}
	return nil
}

func (t *term) matches(labels model.Labels) bool {
	v, present := labels[t.key]
	switch t.op {
	case opIn:
		return present && slices.Contains(t.values, v)
	case opNotIn:
		return !present || !slices.Contains(t.values, v)
	case opExists:
		return present
	default:
		return !present
	}
}

// String formats the term in its shortest form.
func (t *term) String() string {
	switch {
	case t.op == opExists:
		return t.key
	case t.op == opNotExists:
		return "!" + t.key
	case t.op == opIn && len(t.values) == 1:
		return t.key + "=" + t.values[0]
	case t.op == opNotIn && len(t.values) == 1:
		return t.key + "!=" + t.values[0]
	case t.op == opIn:
		return t.key + " in (" + strings.Join(t.values, ",") + ")"
	default:
		return t.key + " notin (" + strings.Join(t.values, ",") + ")"
	}
}

// splitTerms splits a selector at the commas outside parentheses.
func splitTerms(s string) []string {
	var parts []string
	depth, start := 0, 0
	for i, r := range s {
		switch {
		case r == '(':
			depth++
		case r == ')':
			depth--
		case r == ',' && depth == 0:
			parts = append(parts, s[start:i])
			start = i + 1
		}
	}
	return append(parts, s[start:])
}

// parseTerm parses one term of a selector, without the spaces around it.
func parseTerm(s string) (term, error) {
	if key, ok := strings.CutPrefix(s, "!"); ok {
		return newTerm(s, key, opNotExists)
	}
	if key, value, ok := strings.Cut(s, "!="); ok {
		return newTerm(s, key, opNotIn, value)
	}
	if key, value, ok := strings.Cut(s, "="); ok {
		return newTerm(s, key, opIn, strings.TrimPrefix(value, "="))
	}
	keyAndOperator, list, ok := strings.Cut(s, "(")
	if !ok {
		return newTerm(s, s, opExists)
	}
	list, ok = strings.CutSuffix(list, ")")
	fields := strings.Fields(keyAndOperator)
	if !ok || len(fields) != 2 {
		return term{}, fmt.Errorf("term %q: want key in (a,b)", s)
	}
	values := strings.Split(list, ",")
	switch fields[1] {
	case "in":
		return newTerm(s, fields[0], opIn, values...)
	case "notin":
		return newTerm(s, fields[0], opNotIn, values...)
	}
	return term{}, fmt.Errorf("term %q: unknown operator %q, want in or notin", s, fields[1])
}

// newTerm returns the term with the given key, operation and values. It returns an
// error if the key or a value is invalid. text is the source text of the term and is
// quoted in the error message.
func newTerm(text, key string, op operation, values ...string) (term, error) {
	t := term{key: strings.TrimSpace(key), op: op}
	if !validLabelKey(t.key) {
		return term{}, fmt.Errorf("term %q: %q is not a label key", text, t.key)
	}
	for _, v := range values {
		v = strings.TrimSpace(v)
		if !validLabelValue(v) {
			return term{}, fmt.Errorf("term %q: %q is not a label value", text, v)
		}
		t.values = append(t.values, v)
	}
	return t, nil
}

const (
	maxLabelKeyLength   = 253
	maxLabelValueLength = 63
)

func validLabelKey(s string) bool { return s != "" && len(s) <= maxLabelKeyLength && validChars(s) }

func validLabelValue(s string) bool { return len(s) <= maxLabelValueLength && validChars(s) }

// validChars reports whether s consists of letters, digits and "-_./" only.
func validChars(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && !strings.ContainsRune("-_./", rune(c)) {
			return false
		}
	}
	return true
}
