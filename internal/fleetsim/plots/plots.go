// Package plots draws the results of experiments, as SVG and PNG, and writes them into one page of HTML.
package plots

import (
	"fmt"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"pumiceline/internal/fleetsim/experiment"
)

// The size of every plot.
const (
	width  = 20 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// pointResults sorts results by point, keeping the order in which points and policies first come.
type pointResults struct {
	name     string
	policies []string
	byPolicy map[string][]*experiment.Result
}

func groupByPoint(results []*experiment.Result) []*pointResults {
	var all []*pointResults
	at := map[string]*pointResults{}
	for _, r := range results {
		if r.Report == nil {
			continue
		}
		g := at[r.Name()]
		if g == nil {
			g = &pointResults{name: r.Name(), byPolicy: map[string][]*experiment.Result{}}
			at[g.name] = g
			all = append(all, g)
		}
		if g.byPolicy[r.Policy] == nil {
			g.policies = append(g.policies, r.Policy)
		}
		g.byPolicy[r.Policy] = append(g.byPolicy[r.Policy], r)
	}
	return all
}

func fileName(parts ...string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '.' {
			return c
		}
		return '-'
	}, strings.ToLower(strings.Join(slices.DeleteFunc(parts, func(s string) bool { return s == "" }), "-")))
}

// ServiceBySecond draws the service by second at each point: the mean over the seeds, a line for each policy.
func Service(g *pointResults) (*Figure, error) {
	p := newPlot(strings.TrimSpace("Service by second "+g.name), "second", "worth got of worth asked")
	p.Y.Min, p.Y.Max = 0, 1
	for i, policy := range g.policies {
		var sum, n []float64
		for _, r := range g.byPolicy[policy] {
			for s, x := range r.Report.ServiceBySecond {
				if s >= len(sum) {
					sum, n = append(sum, 0), append(n, 0)
				}
				if x >= 0 {
					sum[s], n[s] = sum[s]+x, n[s]+1
				}
			}
		}
		var xy plotter.XYs
		for s := range sum {
			if n[s] > 0 && s > 0 {
				xy = append(xy, plotter.XY{X: float64(s), Y: sum[s] / n[s]})
			}
		}
		if err := addLine(p, policy, seriesColour(i), xy); err != nil {
			return nil, err
		}
	}
	return render(fileName("service", g.name), p)
}

// Load draws what the servers hold for each core, as bands of the fleet, for one policy's first seed at a point.
func Load(g *pointResults, policy string) (*Figure, error) {
	r := g.byPolicy[policy][0]
	p := newPlot(strings.TrimSpace(fmt.Sprintf("Load of the servers, %s, seed %d %s", policy, r.Seed, g.name)), "second",
		"requests held per core")
	p.Y.Min = 0
	at := func(i int) plotter.XYs {
		xy := make(plotter.XYs, len(r.Report.LoadBands))
		for s, b := range r.Report.LoadBands {
			xy[s] = plotter.XY{X: float64(s + 1), Y: b[i]}
		}
		return xy
	}
	base := seriesColour(0)
	for _, band := range []struct {
		lo, hi int
		alpha  uint8
		label  string
	}{{0, 4, 50, "5 to 95%"}, {1, 3, 110, "25 to 75%"}} {
		lo, hi := at(band.lo), at(band.hi)
		slices.Reverse(lo)
		area, err := plotter.NewPolygon(append(hi, lo...))
		if err != nil {
			return nil, fmt.Errorf("plots: load: %w", err)
		}
		area.Color = color.NRGBA{base.R, base.G, base.B, band.alpha}
		area.LineStyle.Width = 0
		p.Add(area)
		p.Legend.Add(band.label, area)
	}
	if err := addLine(p, "median", base, at(2)); err != nil {
		return nil, err
	}
	if err := addLine(p, "most", seriesColour(3), at(5)); err != nil {
		return nil, err
	}
	return render(fileName("load", policy, g.name), p)
}

// Scatter draws points against each other, each with a group that gives its colour.
func Scatter(name, title, xLabel, yLabel string, xs, ys []float64, in []string) (*Figure, error) {
	p := newPlot(title, xLabel, yLabel)
	by, order := map[string]plotter.XYs{}, []string(nil)
	for i := range xs {
		if by[in[i]] == nil {
			order = append(order, in[i])
		}
		by[in[i]] = append(by[in[i]], plotter.XY{X: xs[i], Y: ys[i]})
	}
	for i, k := range order {
		s, err := plotter.NewScatter(by[k])
		if err != nil {
			return nil, fmt.Errorf("plots: %s: %w", name, err)
		}
		s.Color, s.Shape, s.Radius = seriesColour(i), draw.CircleGlyph{}, vg.Points(3)
		p.Add(s)
		p.Legend.Add(k, s)
	}
	return render(name, p)
}

// maxPointsDrawn is how many points of a sweep get figures of their own.
const maxPointsDrawn = 8

// All draws what results hold: for a sweep the measures against its axis, and for each of its first points the service
// by second, the load of the servers and the latencies.
func All(results []*experiment.Result, measures []experiment.Measure) ([]*Figure, error) {
	var figures []*Figure
	add := func(f *Figure, err error) error {
		if err == nil {
			figures = append(figures, f)
		}
		return err
	}
	all := groupByPoint(results)
	if len(all) == 0 {
		return nil, fmt.Errorf("plots: no play came to its end")
	}
	if len(results[0].Axes) > 0 {
		for _, m := range measures {
			if err := add(Sweep(results, m)); err != nil {
				return nil, err
			}
		}
	}
	for _, g := range all[:min(maxPointsDrawn, len(all))] {
		if err := add(Service(g)); err != nil {
			return nil, err
		}
		if err := add(Load(g, g.policies[0])); err != nil {
			return nil, err
		}
		if len(all) > 1 {
			continue // a figure for each class as well would be too many
		}
		for _, c := range g.byPolicy[g.policies[0]][0].Scenario.Classes {
			if err := add(Latency(g, c.Name)); err != nil {
				return nil, err
			}
		}
	}
	return figures, nil
}
