package main

import (
	"context"
	"fmt"

	plots "github.com/dottereltiller/dottereltiller/report"
)

type reportCmd struct {
	Results []string `arg:"positional,required" help:"files with the results of load --out or replay --json" placeholder:"FILE"`
	Label   []string `arg:"--label,separate" help:"name of a result in the plots; may be repeated, in the order of the files; default: the name of the file"`
	Out     string   `arg:"--out" default:"report" help:"directory to write the plots to" placeholder:"DIR"`
	Format  string   `arg:"--format" default:"svg" help:"file format of the plots: svg or png"`
}

func (c *reportCmd) run(context.Context) error {
	if c.Format != plots.FormatSVG && c.Format != plots.FormatPNG {
		return usageError{fmt.Errorf("--format: must be svg or png (got %q)", c.Format)}
	}
	if len(c.Label) > len(c.Results) {
		return usageError{fmt.Errorf("--label: %d names for %d files", len(c.Label), len(c.Results))}
	}
	var results []plots.Result
	for i, path := range c.Results {
		label := ""
		if i < len(c.Label) {
			label = c.Label[i]
		}
		r, err := plots.Read(path, label)
		if err != nil {
			return usageError{err}
		}
		results = append(results, r)
	}
	files, err := plots.Draw(results, c.Out, c.Format)
	for _, f := range files {
		fmt.Println(f)
	}
	return err
}
