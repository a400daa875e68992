package operator

import (
	"fmt"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// File is a file of documents as read.
type File struct {
	Path string
	Data []byte
}

// CheckError holds every problem found in files.
type CheckError struct {
	Problems []string
}

// Error lists the problems, one a line.
func (e *CheckError) Error() string { return strings.Join(e.Problems, "\n") }

// Check reads files of documents and compiles them together. Its error is a
// *CheckError that names file, document, JSON path and value of each problem.
func Check(files []File) (*policy.Set, error) {
	var docs []policy.Document
	var found CheckError
	origin := make(map[string]string)
	for _, f := range files {
		in, problems := policy.Parse(f.Data)
		found.addProblems(f.Path, problems)
		for _, d := range in {
			if _, ok := origin[d.Key()]; !ok {
				origin[d.Key()] = f.Path
			}
		}
		docs = append(docs, in...)
	}
	if len(found.Problems) > 0 {
		return nil, &found
	}
	set, problems := policy.Compile(docs)
	for _, p := range problems {
		found.addProblems(origin[p.Document], []policy.Problem{p})
	}
	if len(found.Problems) > 0 {
		return nil, &found
	}
	return set, nil
}

func (e *CheckError) addProblems(path string, problems []policy.Problem) {
	for _, p := range problems {
		e.Problems = append(e.Problems, fmt.Sprintf("%s: %v", path, p))
	}
}
