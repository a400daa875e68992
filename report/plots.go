package report

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dottereltiller/dottereltiller/core/model"
	"github.com/dottereltiller/dottereltiller/load"
)

// newPlot returns a plot with a grid and its legend at the top.
func newPlot(title, xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Title.Padding = padding
	p.Legend.Top = true
	p.Legend.XOffs = -padding
	p.Add(plotter.NewGrid())
	return p
}

const (
	padding = 3 * vg.Millimeter
	// logScaleRatio is the ratio of the largest to the smallest value at which the
	// y axis becomes logarithmic. Below this ratio the axis is linear.
	logScaleRatio = 20
)

// scaleYAxis makes the y axis start at 0. If the ratio of the largest to the smallest
// value is at least logScaleRatio, it makes the axis logarithmic instead. The values must
// be positive. scaleYAxis must be called after all lines have been added.
func scaleYAxis(p *plot.Plot) {
	if p.Y.Max/p.Y.Min < logScaleRatio {
		p.Y.Min = 0
		return
	}
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
}

// addLine adds a line and its legend entry. lineIndex is the number of lines that the plot
// already has. It determines the colour and the dashes.
func addLine(p *plot.Plot, points plotter.XYs, lineIndex int, label string) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(lineIndex)
	line.Dashes = plotutil.Dashes(lineIndex / len(plotutil.DefaultColors))
	p.Add(line)
	p.Legend.Add(label, line)
	return nil
}

// percentilesPlot draws p50, p99, p99.9 and the maximum of a group's latency. Each
// result gets a line, and a second line for its ideal bound if it has one. The plot is
// nil if no result has latencies for the group.
func percentilesPlot(results []Result, k groupKey) (*plot.Plot, error) {
	p := newPlot(k.String()+": latency", "", "ms")
	p.NominalX("p50", "p99", "p99.9", "max")
	lineCount := 0
	for _, r := range results {
		stats, ok := r.statsOf(k)
		if !ok || stats.P50 <= 0 {
			continue
		}
		if err := addLine(p, percentilesOf(stats.Latency), lineCount, r.Label); err != nil {
			return nil, err
		}
		lineCount++
		if stats.Ideal.P50 <= 0 {
			continue
		}
		if err := addLine(p, percentilesOf(stats.Ideal), lineCount, r.Label+" (bound)"); err != nil {
			return nil, err
		}
		lineCount++
	}
	if lineCount == 0 {
		return nil, nil
	}
	scaleYAxis(p)
	return p, nil
}

func percentilesOf(l load.Latency) plotter.XYs {
	values := []int64{l.P50, l.P99, l.P999, l.Max}
	points := make(plotter.XYs, len(values))
	for i, us := range values {
		points[i] = plotter.XY{X: float64(i), Y: milliseconds(us)}
	}
	return points
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// p99OverTimePlot draws the p99 latency of a group over time, one line for each result.
// The plot is nil if no result has a series with answered requests for the group.
func p99OverTimePlot(results []Result, k groupKey) (*plot.Plot, error) {
	p := newPlot(k.String()+": p99 of the requests due in each second", "s", "ms")
	lineCount := 0
	for _, r := range results {
		stats, _ := r.statsOf(k)
		var points plotter.XYs
		for _, point := range stats.Series {
			if point.P99 > 0 {
				points = append(points, plotter.XY{X: startSeconds(point), Y: milliseconds(point.P99)})
			}
		}
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, points, lineCount, r.Label); err != nil {
			return nil, err
		}
		lineCount++
	}
	if lineCount == 0 {
		return nil, nil
	}
	scaleYAxis(p)
	return p, nil
}

// startSeconds returns the start of a point's interval, in seconds since the start of
// the run.
func startSeconds(p load.Point) float64 { return float64(p.AtMs) / 1000 }

// sharePlot draws each group's share of a service's slot time over time. The plot is
// nil if the result has no series with slot time for the service.
func sharePlot(r Result, s model.ServiceName) (*plot.Plot, error) {
	p := newPlot(string(s)+": share of slot time, "+r.Label, "s", "%")
	p.Y.Min, p.Y.Max = 0, 100
	totalUsByStartMs := slotTimeByStartMs(r, s)
	lineCount := 0
	for _, stats := range r.Groups {
		if stats.Service != s || len(stats.Series) == 0 {
			continue
		}
		var points plotter.XYs
		for _, point := range stats.Series {
			if totalUs := totalUsByStartMs[point.AtMs]; totalUs > 0 {
				points = append(points, plotter.XY{X: startSeconds(point), Y: 100 * float64(point.SlotTimeUs) / float64(totalUs)})
			}
		}
		if len(points) == 0 {
			continue
		}
		if err := addLine(p, points, lineCount, string(stats.Group)); err != nil {
			return nil, err
		}
		lineCount++
	}
	if lineCount == 0 {
		return nil, nil
	}
	return p, nil
}

// slotTimeByStartMs returns the slot time of a service, summed over its groups, in
// microseconds for each point of the series. The keys are the values of Point.AtMs.
func slotTimeByStartMs(r Result, s model.ServiceName) map[int64]int64 {
	totalUsByStartMs := make(map[int64]int64)
	for _, stats := range r.Groups {
		if stats.Service != s {
			continue
		}
		for _, point := range stats.Series {
			totalUsByStartMs[point.AtMs] += point.SlotTimeUs
		}
	}
	return totalUsByStartMs
}
