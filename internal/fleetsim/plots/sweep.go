package plots

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"pumiceline/internal/fleetsim/experiment"
)

// Sweep draws a measure against the first axis, a line for each policy and value of the other axes, with 95% confidence
// intervals over the seeds.
func Sweep(results []*experiment.Result, m experiment.Measure) (*Figure, error) {
	cells := experiment.Compare(results, m)
	if len(cells) == 0 || len(cells[0].Axes) == 0 {
		return nil, fmt.Errorf("plots: these results have no swept key")
	}
	axis := results[0].Axes[0]
	p := newPlot(m.Text, axis.Label, m.Text)
	p.Title.Text = results[0].Title
	type series struct {
		name string
		xy   plotter.XYs
		err  plotter.YErrors
	}
	var all []*series
	at := map[string]*series{}
	var ticks []plot.Tick
	lowest := math.Inf(1)
	for _, c := range cells {
		x, label := axisValue(c.Axes[0].Value)
		if label != "" { // not a number: places in their order
			x = float64(slices.IndexFunc(ticks, func(t plot.Tick) bool { return t.Label == label }))
			if x < 0 {
				x = float64(len(ticks))
				ticks = append(ticks, plot.Tick{Value: x, Label: label})
			}
		}
		name := c.Policy
		for _, s := range c.Axes[1:] {
			name += " " + s.String()
		}
		s := at[name]
		if s == nil {
			s = &series{name: name}
			at[name], all = s, append(all, s)
		}
		if c.Estimate.N == 0 {
			continue
		}
		half := c.Estimate.HalfWidth
		if math.IsNaN(half) {
			half = 0
		}
		s.xy = append(s.xy, plotter.XY{X: x, Y: c.Estimate.Mean})
		s.err = append(s.err, struct{ Low, High float64 }{half, half})
		lowest = min(lowest, c.Estimate.Mean-half)
	}
	for i, s := range all {
		if err := addLine(p, s.name, seriesColour(i), s.xy); err != nil {
			return nil, err
		}
		if len(s.xy) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(s.xy)
		if err != nil {
			return nil, fmt.Errorf("plots: %s: %w", s.name, err)
		}
		dots.Color, dots.Shape, dots.Radius = seriesColour(i), draw.CircleGlyph{}, vg.Points(2.5)
		bars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{s.xy, s.err})
		if err != nil {
			return nil, fmt.Errorf("plots: %s: %w", s.name, err)
		}
		bars.Color = seriesColour(i)
		p.Add(dots, bars)
	}
	if lowest >= 0 {
		p.Y.Min = 0
	}
	if len(ticks) > 0 {
		p.X.Tick.Marker = plot.ConstantTicks(ticks)
	} else if axis.Log && p.X.Min > 0 {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	return render(fileName("sweep", m.Name), p)
}

// axisValue is a swept value as a place on an axis; label is not empty where it is none.
func axisValue(v any) (x float64, label string) {
	switch v := v.(type) {
	case float64:
		return v, ""
	case int64:
		return float64(v), ""
	}
	return 0, fmt.Sprint(v)
}

func formatEstimate(e experiment.Estimate) string {
	if e.N == 0 {
		return ""
	}
	if e.N == 1 {
		return strconv.FormatFloat(e.Mean, 'f', 3, 64)
	}
	return e.String()
}
