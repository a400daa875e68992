package main

import (
	"context"
	"fmt"
	"os"

	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/operator"
)

type validateCmd struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"files or directories of documents"`
}

// run prints which policy wins where and each caller's group, or every problem.
func (c *validateCmd) run(context.Context) error {
	set, err := checkFiles(c.Files)
	if err != nil {
		return err
	}
	operator.WriteAssignments(os.Stdout, set)
	return nil
}

// checkFiles reads and compiles files; a directory stands for its *.json files.
func checkFiles(paths []string) (*policy.Set, error) {
	var in []operator.File
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
			in = append(in, operator.File{Path: f, Data: data})
		}
	}
	set, err := operator.Check(in)
	if err != nil {
		return nil, usageError{fmt.Errorf("not valid:\n%w", err)}
	}
	return set, nil
}
