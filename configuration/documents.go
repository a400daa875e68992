package configuration

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/dottereltiller/dottereltiller/core/config"
	"github.com/dottereltiller/dottereltiller/core/policy"
)

// NewStateMachine returns a state machine for the config stream that validates
// documents in the same way as every daemon does.
func NewStateMachine() *config.StateMachine { return config.NewStateMachine(validate) }

// validate checks each document on its own and returns the error of the first
// invalid one. It need not check the documents in combination: the operator's command
// compiled the whole configuration before it proposed the change, and the change is
// accepted only if the configuration has not changed since that compilation.
func validate(documents map[config.DocumentKey]json.RawMessage) error {
	keys := make([]config.DocumentKey, 0, len(documents))
	for k := range documents {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	for _, k := range keys {
		if err := validateDocument(k, documents[k]); err != nil {
			return err
		}
	}
	return nil
}

// validateDocument requires that a document can be decoded, is stored under its own key,
// and compiles when it is the only document.
func validateDocument(k config.DocumentKey, raw json.RawMessage) error {
	var d policy.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		return fmt.Errorf("document %s: %w", k, err)
	}
	if config.DocumentKey(d.Key()) != k {
		return fmt.Errorf("document %s is stored under the key %s", d.Key(), k)
	}
	if _, problems := policy.Compile([]policy.Document{d}); len(problems) > 0 {
		return problems[0]
	}
	return nil
}

// Documents returns the decoded documents of a state, ordered by key. It leaves out
// documents that cannot be decoded.
func Documents(s config.State) []policy.Document {
	docs := make([]policy.Document, 0, len(s.Documents))
	for _, raw := range s.Documents {
		var d policy.Document
		if json.Unmarshal(raw, &d) == nil {
			docs = append(docs, d)
		}
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Key() < docs[j].Key() })
	return docs
}
