package experiment

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	// lowerBoundLine is the legend of the lower bound among the policies.
	lowerBoundLine = "lower bound"
)

// figure is a plot of one measurement over load, with one line per policy.
type figure struct {
	file        string
	title       string
	axis        string
	logarithmic bool
	value       func(*Result) float64
}

func figures() []figure {
	return []figure{
		{
			file: "latency", title: "p95 program latency", axis: "seconds", logarithmic: true,
			value: func(r *Result) float64 { return r.LatencyP95 },
		},
		{
			file: "waste", title: "wasted cache", axis: "share of all cache held",
			value: func(r *Result) float64 { return r.WastedCacheShare },
		},
		{
			file: "recomputed", title: "recomputed prefill", axis: "million tokens",
			value: func(r *Result) float64 { return float64(r.RecomputedTokens) / 1e6 },
		},
		{
			file: "refused", title: "refusals", axis: "answers",
			value: func(r *Result) float64 { return float64(r.Refused) },
		},
	}
}

// Plot writes one PNG per site and measurement into directory and returns the paths.
// Each point is the median over the seeds in results.
func Plot(results []Result, directory string) ([]string, error) {
	var paths []string
	for _, site := range lo.Uniq(lo.Map(results, func(r Result, _ int) string { return r.Site })) {
		ofSite := lo.Filter(results, func(r Result, _ int) bool { return r.Site == site })
		for _, wanted := range figures() {
			path := filepath.Join(directory, fmt.Sprintf("%s-%s.png", site, wanted.file))
			if err := wanted.draw(site, ofSite, path); err != nil {
				return paths, fmt.Errorf("plot %s: %w", path, err)
			}
			paths = append(paths, path)
		}
	}
	return paths, nil
}

func (f *figure) draw(site string, results []Result, path string) error {
	drawing := plot.New()
	drawing.Title.Text = site + ": " + f.title
	drawing.X.Label.Text = "load, as a share of capacity"
	drawing.Y.Label.Text = f.axis
	drawing.Legend.Top = true
	drawing.Legend.Left = true
	if f.logarithmic {
		drawing.Y.Scale = plot.LogScale{}
		drawing.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	var lines []any
	for _, policy := range lo.Uniq(lo.Map(results, func(r Result, _ int) string { return r.Policy })) {
		ofPolicy := lo.Filter(results, func(r Result, _ int) bool { return r.Policy == policy })
		lines = append(lines, policy, medians(ofPolicy, f.value))
	}
	if f.file == "latency" {
		lines = append(lines, lowerBoundLine, medians(results, func(r *Result) float64 { return r.LowerBoundP95 }))
	}
	if err := plotutil.AddLinePoints(drawing, lines...); err != nil {
		return err
	}
	return drawing.Save(plotWidth, plotHeight, path)
}

// medians returns the median over the seeds for each load, in order of load.
func medians(results []Result, value func(*Result) float64) plotter.XYs {
	byLoad := lo.GroupBy(results, func(r Result) float64 { return r.Load })
	var points plotter.XYs
	for load, group := range byLoad {
		values := lo.Map(group, func(r Result, _ int) float64 { return value(&r) })
		slices.Sort(values)
		points = append(points, plotter.XY{X: load, Y: values[len(values)/2]})
	}
	slices.SortFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
	return points
}
