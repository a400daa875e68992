package policy

import (
	"encoding/json"
	"reflect"
)

// Parse reads a file that holds one document or a list of them, and reports
// every field that does not belong there. The problems of specs are left to
// Compile. Problems name the document by its key, or by its place in the file
// when it has none.
func Parse(data []byte) ([]Document, []Problem) {
	var items []json.RawMessage
	if json.Unmarshal(data, &items) != nil {
		items = []json.RawMessage{data}
	}
	var docs []Document
	var problems []Problem
	for _, raw := range items {
		var d Document
		err := json.Unmarshal(raw, &d)
		problemsBefore := len(problems)
		strictChecker{report: func(path, value, message string) {
			problems = append(problems, Problem{Document: d.Key(), Path: path, Value: value, Message: message})
		}}.check("", raw, reflect.TypeFor[Document]())
		if err != nil && len(problems) == problemsBefore {
			problems = append(problems, Problem{Document: d.Key(), Path: "", Value: oneLine(raw), Message: err.Error()})
		}
		docs = append(docs, d)
	}
	return docs, sortProblems(problems)
}
