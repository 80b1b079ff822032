// Package plots draws the results of experiments, as SVG and PNG, and writes them into one page of HTML.
package plots

import (
	"bytes"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"pumiceline/internal/fleetsim/experiment"
)

// The size of every plot.
const (
	width  = 20 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// colours are Okabe and Ito's, which readers with any colour vision can tell apart.
var colours = []color.RGBA{{0, 114, 178, 255}, {230, 159, 0, 255}, {0, 158, 115, 255}, {213, 94, 0, 255}, {204, 121, 167, 255},
	{86, 180, 233, 255}, {60, 60, 60, 255}}

func colour(i int) color.RGBA { return colours[i%len(colours)] }

// Figure is one drawn plot.
type Figure struct {
	Name  string // of its files, without ending
	Title string
	SVG   []byte
	PNG   []byte
}

// Save writes the figure's two files into a folder.
func (f *Figure) Save(dir string) error {
	for ending, text := range map[string][]byte{".svg": f.SVG, ".png": f.PNG} {
		if err := os.WriteFile(filepath.Join(dir, f.Name+ending), text, 0o644); err != nil {
			return fmt.Errorf("plots: %w", err)
		}
	}
	return nil
}

func render(name string, p *plot.Plot) (*Figure, error) {
	f := &Figure{Name: name, Title: p.Title.Text}
	svg := vgsvg.New(width, height)
	drawBeside(p, draw.New(svg))
	var out bytes.Buffer
	if _, err := svg.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plots: %s: %w", name, err)
	}
	f.SVG = slices.Clone(out.Bytes())
	out.Reset()
	img := vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	drawBeside(p, draw.New(img))
	if _, err := img.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plots: %s: %w", name, err)
	}
	f.PNG = out.Bytes()
	return f, nil
}

// drawBeside draws a plot with its legend to the right of it, where no line can pass under it.
func drawBeside(p *plot.Plot, c draw.Canvas) {
	legend := p.Legend
	defer func() { p.Legend = legend }()
	p.Legend = plot.NewLegend()
	r := legend.Rectangle(c)
	room := r.Max.X - r.Min.X + vg.Points(10)
	p.Draw(draw.Crop(c, 0, -room, 0, 0))
	legend.Top, legend.Left = true, false
	legend.YOffs = -vg.Points(24)
	legend.Draw(c)
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.Padding = vg.Points(6)
	p.Add(plotter.NewGrid())
	p.Legend.Padding = vg.Points(2)
	return p
}

// group sorts results by point, keeping the order in which points and policies first come.
type group struct {
	name     string
	policies []string
	of       map[string][]*experiment.Result
}

func groups(results []*experiment.Result) []*group {
	var all []*group
	at := map[string]*group{}
	for _, r := range results {
		if r.Report == nil {
			continue
		}
		g := at[r.Name()]
		if g == nil {
			g = &group{name: r.Name(), of: map[string][]*experiment.Result{}}
			at[g.name] = g
			all = append(all, g)
		}
		if g.of[r.Policy] == nil {
			g.policies = append(g.policies, r.Policy)
		}
		g.of[r.Policy] = append(g.of[r.Policy], r)
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

// Service draws the service by second at each point: the mean over the seeds, a line for each policy.
func Service(g *group) (*Figure, error) {
	p := newPlot(strings.TrimSpace("Service by second "+g.name), "second", "worth got of worth asked")
	p.Y.Min, p.Y.Max = 0, 1
	for i, policy := range g.policies {
		var sum, n []float64
		for _, r := range g.of[policy] {
			for s, x := range r.Report.Service {
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
		if err := addLine(p, policy, colour(i), xy); err != nil {
			return nil, err
		}
	}
	return render(fileName("service", g.name), p)
}

func addLine(p *plot.Plot, label string, c color.Color, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return fmt.Errorf("plots: %s: %w", label, err)
	}
	l.Color, l.Width = c, vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(label, l)
	return nil
}

// Load draws what the servers hold for each core, as bands of the fleet, for one policy's first seed at a point.
func Load(g *group, policy string) (*Figure, error) {
	r := g.of[policy][0]
	p := newPlot(strings.TrimSpace(fmt.Sprintf("Load of the servers, %s, seed %d %s", policy, r.Seed, g.name)), "second",
		"requests held per core")
	p.Y.Min = 0
	at := func(i int) plotter.XYs {
		xy := make(plotter.XYs, len(r.Report.Bands))
		for s, b := range r.Report.Bands {
			xy[s] = plotter.XY{X: float64(s + 1), Y: b[i]}
		}
		return xy
	}
	base := colour(0)
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
	if err := addLine(p, "most", colour(3), at(5)); err != nil {
		return nil, err
	}
	return render(fileName("load", policy, g.name), p)
}

// percentiles is an axis of percentiles on which each nine takes as much room.
type percentiles struct{}

func (percentiles) Normalize(min, max, x float64) float64 { return (x - min) / (max - min) }
func (percentiles) Ticks(min, max float64) []plot.Tick {
	var t []plot.Tick
	for i, label := range []string{"0%", "90%", "99%", "99.9%", "99.99%"} {
		t = append(t, plot.Tick{Value: float64(i), Label: label})
	}
	return append(t, plot.Tick{Value: math.Log10(2), Label: "50%"})
}

// Latency draws the time of the answers by percentile, over all seeds, a line for each policy, for one class.
func Latency(g *group, class string) (*Figure, error) {
	p := newPlot(strings.TrimSpace(fmt.Sprintf("Time of served requests, %s %s", class, g.name)), "percentile", "milliseconds")
	p.X.Scale, p.X.Tick.Marker = percentiles{}, percentiles{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, policy := range g.policies {
		sum := hdrhistogram.New(1, 60_000_000, 3)
		for _, r := range g.of[policy] {
			h, err := hdrhistogram.Decode([]byte(r.Report.Latency[class]))
			if err != nil {
				return nil, fmt.Errorf("plots: latencies of %s: %w", class, err)
			}
			sum.Merge(h)
		}
		var xy plotter.XYs
		for x := 0.05; x <= 4 && sum.TotalCount() > 0; x += 0.05 {
			q := 100 * (1 - math.Pow(10, -x))
			if float64(sum.TotalCount())*(1-q/100) < 1 {
				break // past the last of them
			}
			xy = append(xy, plotter.XY{X: x, Y: float64(sum.ValueAtQuantile(q)) / 1e3})
		}
		if err := addLine(p, policy, colour(i), xy); err != nil {
			return nil, err
		}
	}
	return render(fileName("latency", class, g.name), p)
}

// Sweep draws a measure against the first axis, a line for each policy and value of the other axes, with 95% confidence
// intervals over the seeds.
func Sweep(results []*experiment.Result, m experiment.Measure) (*Figure, error) {
	cells := experiment.Compare(results, m)
	if len(cells) == 0 || len(cells[0].X) == 0 {
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
		x, label := number(c.X[0].Value)
		if label != "" { // not a number: places in their order
			x = float64(slices.IndexFunc(ticks, func(t plot.Tick) bool { return t.Label == label }))
			if x < 0 {
				x = float64(len(ticks))
				ticks = append(ticks, plot.Tick{Value: x, Label: label})
			}
		}
		name := c.Policy
		for _, s := range c.X[1:] {
			name += " " + s.String()
		}
		s := at[name]
		if s == nil {
			s = &series{name: name}
			at[name], all = s, append(all, s)
		}
		if c.Is.N == 0 {
			continue
		}
		half := c.Is.Half
		if math.IsNaN(half) {
			half = 0
		}
		s.xy = append(s.xy, plotter.XY{X: x, Y: c.Is.Mean})
		s.err = append(s.err, struct{ Low, High float64 }{half, half})
		lowest = min(lowest, c.Is.Mean-half)
	}
	for i, s := range all {
		if err := addLine(p, s.name, colour(i), s.xy); err != nil {
			return nil, err
		}
		if len(s.xy) == 0 {
			continue
		}
		dots, err := plotter.NewScatter(s.xy)
		if err != nil {
			return nil, fmt.Errorf("plots: %s: %w", s.name, err)
		}
		dots.Color, dots.Shape, dots.Radius = colour(i), draw.CircleGlyph{}, vg.Points(2.5)
		bars, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{s.xy, s.err})
		if err != nil {
			return nil, fmt.Errorf("plots: %s: %w", s.name, err)
		}
		bars.Color = colour(i)
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

// number is a swept value as a place on an axis; label is not empty where it is none.
func number(v any) (x float64, label string) {
	switch v := v.(type) {
	case float64:
		return v, ""
	case int64:
		return float64(v), ""
	}
	return 0, fmt.Sprint(v)
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
		s.Color, s.Shape, s.Radius = colour(i), draw.CircleGlyph{}, vg.Points(3)
		p.Add(s)
		p.Legend.Add(k, s)
	}
	return render(name, p)
}

// mostPoints is how many points of a sweep get figures of their own.
const mostPoints = 8

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
	all := groups(results)
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
	for _, g := range all[:min(mostPoints, len(all))] {
		if err := add(Service(g)); err != nil {
			return nil, err
		}
		if err := add(Load(g, g.policies[0])); err != nil {
			return nil, err
		}
		if len(all) > 1 {
			continue // a figure for each class as well would be too many
		}
		for _, c := range g.of[g.policies[0]][0].World.Classes {
			if err := add(Latency(g, c.Name)); err != nil {
				return nil, err
			}
		}
	}
	return figures, nil
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
