package policy

import (
	"encoding/json"
	"reflect"
)

// Parse decodes the contents of a file that holds one document or a list of
// documents. It returns a problem for each unknown field and each value of the wrong
// type. For data that is not valid JSON it returns a problem with an empty JSON path.
// It does not look into the specs of the documents, which Compile checks.
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
