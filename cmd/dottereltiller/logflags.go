package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"time"

	"github.com/dottereltiller/dottereltiller/core/policy"
	"github.com/dottereltiller/dottereltiller/recordlog"
)

// logFlags holds the flags of commands that use the platform's log.
type logFlags struct {
	Log     string        `arg:"--log,required,env:DOTTERELTILLER_LOG" placeholder:"HOST:PORT" help:"address of the platform's log"`
	Timeout time.Duration `arg:"--timeout" default:"15s" help:"timeout for all operations on the log"`
}

func (f logFlags) client() recordlog.Log { return recordlog.NewClient(f.Log) }

// withTimeout returns ctx with the timeout of --timeout.
func (f logFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.Timeout)
}

// authorFlags holds the flags for the author and the comment of a published change.
type authorFlags struct {
	Author  string `arg:"--author,env:DOTTERELTILLER_AUTHOR" help:"author of the change; default: the name of the current user"`
	Comment string `arg:"-m,--comment" help:"reason for the change, shown by the history command"`
}

// author returns the value of --author or, without --author, the name of the current user.
func (f authorFlags) author() string {
	if f.Author != "" {
		return f.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// usageError is an error in flags or input files. It makes the command exit with exitUsage.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }
func (e usageError) Unwrap() error { return e.err }
func (usageError) ExitCode() int   { return exitUsage }

// exitUsage is the exit code for wrong usage or invalid input.
const exitUsage = 2

// readDocuments reads documents from files and from the *.json files of directories. Each
// file holds one document or a list of documents. It returns an error if two documents have the
// same key.
func readDocuments(paths []string) ([]policy.Document, error) {
	var docs []policy.Document
	for _, p := range paths {
		files, err := expandPath(p)
		if err != nil {
			return nil, usageError{err}
		}
		for _, f := range files {
			parsed, err := parseFile(f)
			if err != nil {
				return nil, usageError{fmt.Errorf("%s: %w", f, err)}
			}
			docs = append(docs, parsed...)
		}
	}
	return docs, checkDuplicates(docs)
}

// expandPath returns the *.json files of a directory, or path itself if it is not a directory. It
// returns an error if path does not exist.
func expandPath(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil || !info.IsDir() {
		return []string{path}, err
	}
	files, err := filepath.Glob(filepath.Join(path, "*.json"))
	slices.Sort(files)
	return files, err
}

// parseFile parses the documents in a file. If several are invalid, it returns only the first problem.
func parseFile(path string) ([]policy.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	docs, problems := policy.Parse(data)
	if len(problems) > 0 {
		return nil, problems[0]
	}
	return docs, nil
}

// checkDuplicates returns an error if two documents have the same key.
func checkDuplicates(docs []policy.Document) error {
	seenKeys := make(map[string]bool)
	for _, d := range docs {
		if seenKeys[d.Key()] {
			return usageError{fmt.Errorf("document %s is defined more than once", d.Key())}
		}
		seenKeys[d.Key()] = true
	}
	return nil
}
