package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/operator"
)

type diffCmd struct {
	logFlags
	From  uint64   `arg:"--from" help:"version to compare from; default: the current one"`
	To    uint64   `arg:"--to" help:"version to compare to, instead of files"`
	Prune bool     `arg:"--prune" help:"treat documents that are in no file as deleted"`
	Files []string `arg:"positional" placeholder:"FILE" help:"files or directories with the documents to compare to"`
}

func (c *diffCmd) run(ctx context.Context) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if (c.To == 0) == (len(c.Files) == 0) {
		return usageError{errors.New("either files or --to is required")}
	}
	before, err := c.documentsAt(ctx, c.From)
	if err != nil {
		return err
	}
	after, err := c.documentsToCompare(ctx, before)
	if err != nil {
		return err
	}
	diffs := operator.Diff(before, after)
	operator.WriteDiff(os.Stdout, diffs)
	fmt.Printf("%d documents differ\n", len(diffs))
	return nil
}

// documentsToCompare returns the documents to compare before with. With --to, they are the
// documents of that version. With files and --prune, they are the documents in the files. With
// files only, they are before with the documents in the files added or replaced.
func (c *diffCmd) documentsToCompare(ctx context.Context, before operator.Documents) (operator.Documents, error) {
	if c.To != 0 {
		return c.documentsAt(ctx, c.To)
	}
	docs, err := readDocuments(c.Files)
	if err != nil {
		return nil, err
	}
	return operator.Merge(before, docs, c.Prune)
}

// documentsAt returns the documents of version v. Zero means the current version.
func (c *diffCmd) documentsAt(ctx context.Context, v uint64) (operator.Documents, error) {
	if v != 0 {
		s, err := operator.StateAt(ctx, c.client(), model.Version(v))
		return s.Documents, err
	}
	view, err := operator.NewView(ctx, c.client())
	if err != nil {
		return nil, err
	}
	return view.State().Documents, nil
}
