package operator

import (
	"fmt"
	"strings"

	"github.com/dottereltiller/dottereltiller/core/policy"
)

// File is the content of a file of configuration documents.
type File struct {
	Path string
	Data []byte
}

// CheckError holds all problems found in a set of files.
type CheckError struct {
	Problems []string
}

// Error lists the problems, one per line.
func (e *CheckError) Error() string { return strings.Join(e.Problems, "\n") }

// Check parses the documents in files and compiles them as one configuration. The error is a
// *CheckError that names the file, the document, the JSON path and the value of each problem.
func Check(files []File) (*policy.Set, error) {
	var docs []policy.Document
	var checkErr CheckError
	pathByKey := make(map[string]string)
	for _, f := range files {
		parsed, problems := policy.Parse(f.Data)
		checkErr.addProblems(f.Path, problems)
		for _, d := range parsed {
			if _, ok := pathByKey[d.Key()]; !ok {
				pathByKey[d.Key()] = f.Path
			}
		}
		docs = append(docs, parsed...)
	}
	if len(checkErr.Problems) > 0 {
		return nil, &checkErr
	}
	set, problems := policy.Compile(docs)
	for _, p := range problems {
		checkErr.addProblems(pathByKey[p.Document], []policy.Problem{p})
	}
	if len(checkErr.Problems) > 0 {
		return nil, &checkErr
	}
	return set, nil
}

func (e *CheckError) addProblems(path string, problems []policy.Problem) {
	for _, p := range problems {
		e.Problems = append(e.Problems, fmt.Sprintf("%s: %v", path, p))
	}
}
