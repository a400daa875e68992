package main

import (
	"context"
	"fmt"
	"os"

	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/operator"
)

type validateCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"files or directories with the documents to check"`
}

// run prints the policy of each service and the group of each caller at that service. If the
// documents are not valid, it returns all problems as one error.
func (c *validateCmd) run(context.Context) error {
	set, err := checkFiles(c.Files)
	if err != nil {
		return err
	}
	operator.WriteAssignments(os.Stdout, set)
	return nil
}

// checkFiles reads and compiles the documents in files and in the *.json files of
// directories.
func checkFiles(paths []string) (*policy.Set, error) {
	var inputs []operator.File
	for _, p := range paths {
		files, err := expandPath(p)
		if err != nil {
			return nil, usageError{err}
		}
		for _, f := range files {
			data, err := os.ReadFile(f)
			if err != nil {
				return nil, usageError{err}
			}
			inputs = append(inputs, operator.File{Path: f, Data: data})
		}
	}
	set, err := operator.Check(inputs)
	if err != nil {
		return nil, usageError{fmt.Errorf("not valid:\n%w", err)}
	}
	return set, nil
}
