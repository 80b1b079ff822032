package plots

import (
	"fmt"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"pumiceline/internal/fleetsim/experiment"
)

// Indexes of a report's load bands, whose quantiles are 5, 25, 50, 75, 95 and 100%.
const (
	band5 = iota
	band25
	bandMedian
	band75
	band95
	bandMax
)

// drawLoad draws the servers' requests per core, as bands of the fleet, for one policy's first seed.
func (p *pointResults) drawLoad(policy string) (*Figure, error) {
	r := p.byPolicy[policy][0]
	figure := newPlot(strings.TrimSpace(fmt.Sprintf("Load of the servers, %s, seed %d %s", policy, r.Seed, p.name)),
		"second",
		"requests per core")
	figure.Y.Min = 0
	if err := addBand(figure, "5 to 95%", 50, loadBand(r, band5), loadBand(r, band95)); err != nil {
		return nil, err
	}
	if err := addBand(figure, "25 to 75%", 110, loadBand(r, band25), loadBand(r, band75)); err != nil {
		return nil, err
	}
	if err := addLine(figure, "median", seriesColour(0), loadBand(r, bandMedian)); err != nil {
		return nil, err
	}
	if err := addLine(figure, "max", seriesColour(3), loadBand(r, bandMax)); err != nil {
		return nil, err
	}
	return render(fileName("load", policy, p.name), figure)
}

// loadBand is one band of a result by second.
func loadBand(r *experiment.Result, band int) plotter.XYs {
	line := make(plotter.XYs, len(r.Report.LoadBands))
	for i, bands := range r.Report.LoadBands {
		line[i] = plotter.XY{X: float64(i + 1), Y: bands[band]}
	}
	return line
}

// addBand fills the area between two lines.
func addBand(figure *plot.Plot, label string, alpha uint8, low, high plotter.XYs) error {
	slices.Reverse(low)
	area, err := plotter.NewPolygon(append(high, low...))
	if err != nil {
		return fmt.Errorf("plots: %s: %w", label, err)
	}
	base := seriesColour(0)
	area.Color = color.NRGBA{base.R, base.G, base.B, alpha}
	area.LineStyle.Width = 0
	figure.Add(area)
	figure.Legend.Add(label, area)
	return nil
}
