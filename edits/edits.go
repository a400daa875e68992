// Package edits changes the text of source files, for trials of the code with a
// deliberate change: a fault that checks must find, or a mechanism switched off.
package edits

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Edit replaces text in a source file.
type Edit struct {
	// File is the path from the root of the source, with slashes.
	File string
	// Old must be in the file exactly once.
	Old string
	New string
}

// New returns the edit of a file that puts a text in the place of an old one.
func New(file, old, text string) Edit { return Edit{File: file, Old: old, New: text} }

// CountError tells that the text to replace is not in its file exactly once.
type CountError struct {
	Edit  Edit
	Count int
}

// Error names the file, the text and how often it is there.
func (e *CountError) Error() string {
	return fmt.Sprintf("%s: %q is there %d times, want once", e.Edit.File, e.Edit.Old, e.Count)
}

// Apply returns the text of the files that the edits change, by their paths from the
// root. Edits of one file follow each other. An edit that does not apply is a *CountError.
func Apply(root string, list []Edit) (map[string]string, error) {
	out := make(map[string]string)
	for _, e := range list {
		text, ok := out[e.File]
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
		out[e.File] = strings.Replace(text, e.Old, e.New, 1)
	}
	return out, nil
}
