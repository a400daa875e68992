package report

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"

	"github.com/dottereltiller/dottereltiller/core/model"
)

// Image formats of plots.
const (
	FormatSVG = "svg"
	FormatPNG = "png"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Draw writes the plots of the results to a directory, which it creates if needed,
// and returns the paths of the files. The format is FormatSVG or FormatPNG.
func Draw(results []Result, dir, format string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	w := &plotWriter{dir: dir, format: format}
	for _, k := range groupsOf(results) {
		p, err := percentilesPlot(results, k)
		if err := w.save(p, err, "percentiles", k.String()); err != nil {
			return nil, err
		}
		p, err = p99OverTimePlot(results, k)
		if err := w.save(p, err, "latency", k.String()); err != nil {
			return nil, err
		}
	}
	for _, s := range servicesOf(results) {
		for _, r := range results {
			p, err := sharePlot(r, s)
			if err := w.save(p, err, "share", string(s), r.Label); err != nil {
				return nil, err
			}
		}
	}
	return w.paths, nil
}

// plotWriter saves plots and collects the paths of their files.
type plotWriter struct {
	dir    string
	format string
	paths  []string
}

// save writes a plot to a file. The name of the file consists of the parts, joined by
// hyphens. err is the error from drawing the plot. save returns err if it is not nil. If p
// is nil, save does nothing.
func (w *plotWriter) save(p *plot.Plot, err error, nameParts ...string) error {
	if err != nil || p == nil {
		return err
	}
	name := fileName(strings.Join(nameParts, "-")) + "." + w.format
	path := filepath.Join(w.dir, name)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	w.paths = append(w.paths, path)
	return nil
}

// fileName replaces characters that are not safe in file names.
func fileName(s string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '_':
			return r
		default:
			return '-'
		}
	}, s)
}

func servicesOf(results []Result) []model.ServiceName {
	var names []model.ServiceName
	for _, k := range groupsOf(results) {
		if !slices.Contains(names, k.service) {
			names = append(names, k.service)
		}
	}
	return names
}
