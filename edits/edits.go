// Package edits applies text replacements to source files. Mutation tests use it to insert
// bugs that the checks must find, and ablation studies to disable a mechanism.
package edits

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Edit is one text replacement in a source file.
type Edit struct {
	// File is the slash-separated path from the root of the source.
	File string
	// Old is the text to replace. It must occur exactly once in the file.
	Old string
	// New is the text that replaces Old.
	New string
}

// New returns an edit that replaces old by replacement in a file.
func New(file, old, replacement string) Edit { return Edit{File: file, Old: old, New: replacement} }

// CountError reports that the text to replace does not occur exactly once in its file.
type CountError struct {
	Edit Edit
	// Count is the number of occurrences of Edit.Old.
	Count int
}

// Error returns the file, the text and the number of its occurrences.
func (e *CountError) Error() string {
	return fmt.Sprintf("%s: %q occurs %d times, want once", e.Edit.File, e.Edit.Old, e.Count)
}

// Apply returns the edited text of every file that the edits change, by Edit.File. root is the
// directory to which Edit.File is relative. Apply does not write the files. Edits of the same file
// are applied in order. The error is a *CountError if the old text of an edit does not occur exactly
// once after the preceding edits.
func Apply(root string, edits []Edit) (map[string]string, error) {
	textByFile := make(map[string]string)
	for _, e := range edits {
		text, ok := textByFile[e.File]
		if !ok {
			source, err := os.ReadFile(filepath.Join(root, filepath.FromSlash(e.File)))
			if err != nil {
				return nil, err
			}
			text = string(source)
		}
		if n := strings.Count(text, e.Old); n != 1 {
			return nil, &CountError{Edit: e, Count: n}
		}
		textByFile[e.File] = strings.Replace(text, e.Old, e.New, 1)
	}
	return textByFile, nil
}
