package plots

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"pumiceline/internal/fleetsim/experiment"
)

// ErrNoSweep is returned for results that have no swept key.
var ErrNoSweep = errors.New("plots: these results have no swept key")

// Sweep draws a measure against the first axis, with 95% confidence intervals over the seeds. Each policy has a line
// for each combination of values of the other axes.
func Sweep(results []*experiment.Result, m experiment.Measure) (*Figure, error) {
	comparisons := experiment.Compare(results, m)
	if len(comparisons) == 0 || len(comparisons[0].Axes) == 0 {
		return nil, ErrNoSweep
	}
	axis := results[0].Axes[0]
	figure := newPlot(results[0].Title, axis.Label, m.Text)
	s := newSweepSeries(comparisons)
	for i, line := range s.lines {
		if err := line.draw(figure, i); err != nil {
			return nil, err
		}
	}
	if s.lowest >= 0 {
		figure.Y.Min = 0
	}
	if len(s.ticks) > 0 {
		figure.X.Tick.Marker = plot.ConstantTicks(s.ticks)
	} else if axis.Log && figure.X.Min > 0 {
		figure.X.Scale, figure.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	return render(fileName("sweep", m.Name), figure)
}

// sweepSeries holds the lines of a sweep, in the order of the comparisons.
type sweepSeries struct {
	lines  []*sweepLine
	byName map[string]*sweepLine
	ticks  []plot.Tick // of values that are not numbers, in order of occurrence
	lowest float64     // lowest end of a confidence interval
}

// sweepLine is the line of one policy at one combination of values of the axes after the first.
type sweepLine struct {
	name   string
	means  plotter.XYs
	errors plotter.YErrors
}

func newSweepSeries(comparisons []experiment.Comparison) *sweepSeries {
	s := &sweepSeries{byName: map[string]*sweepLine{}, lowest: math.Inf(1)}
	for _, c := range comparisons {
		x := s.position(c.Axes[0].Value)
		line := s.lineOf(c)
		if c.Estimate.N == 0 {
			continue
		}
		half := c.Estimate.HalfWidth
		if math.IsNaN(half) {
			half = 0
		}
		line.means = append(line.means, plotter.XY{X: x, Y: c.Estimate.Mean})
		line.errors = append(line.errors, struct{ Low, High float64 }{half, half})
		s.lowest = min(s.lowest, c.Estimate.Mean-half)
	}
	return s
}

// position returns the position of a swept value on the axis. A number is its own position; other values are numbered
// in order of occurrence.
func (s *sweepSeries) position(value any) float64 {
	switch v := value.(type) {
	case float64:
		return v
	case int64:
		return float64(v)
	}
	label := fmt.Sprint(value)
	if i := slices.IndexFunc(s.ticks, func(t plot.Tick) bool { return t.Label == label }); i >= 0 {
		return float64(i)
	}
	x := float64(len(s.ticks))
	s.ticks = append(s.ticks, plot.Tick{Value: x, Label: label})
	return x
}

func (s *sweepSeries) lineOf(c experiment.Comparison) *sweepLine {
	name := c.Policy
	for _, setting := range c.Axes[1:] {
		name += " " + setting.String()
	}
	if s.byName[name] == nil {
		line := &sweepLine{name: name}
		s.byName[name], s.lines = line, append(s.lines, line)
	}
	return s.byName[name]
}

// draw adds the line with its points and error bars.
func (l *sweepLine) draw(figure *plot.Plot, index int) error {
	colour := seriesColour(index)
	if err := addLine(figure, l.name, colour, l.means); err != nil || len(l.means) == 0 {
		return err
	}
	dots, err := plotter.NewScatter(l.means)
	if err != nil {
		return fmt.Errorf("plots: %s: %w", l.name, err)
	}
	dots.Color, dots.Shape, dots.Radius = colour, draw.CircleGlyph{}, vg.Points(2.5)
	bars, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{l.means, l.errors})
	if err != nil {
		return fmt.Errorf("plots: %s: %w", l.name, err)
	}
	bars.Color = colour
	figure.Add(dots, bars)
	return nil
}
