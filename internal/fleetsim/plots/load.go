package plots

import (
	"fmt"
	"image/color"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/experiment"
)

// Opacity of the bands, from 0 to 255.
const (
	outerBandAlpha = 50
	innerBandAlpha = 110
)

// drawLoad draws the servers' requests per core, as quantiles over the fleet, for one policy's first seed.
func (p *pointResults) drawLoad(policy string) (*Figure, error) {
	r := p.byPolicy[policy][0]
	figure := newPlot(strings.TrimSpace(fmt.Sprintf("Load of the servers, %s, seed %d %s", policy, r.Seed, p.name)),
		"second",
		"requests per core")
	figure.Y.Min = 0
	if err := addBand(figure, "5 to 95%", outerBandAlpha, loadBand(r, checker.LoadBand5), loadBand(r, checker.LoadBand95)); err != nil {
		return nil, err
	}
	if err := addBand(figure, "25 to 75%", innerBandAlpha, loadBand(r, checker.LoadBand25), loadBand(r, checker.LoadBand75)); err != nil {
		return nil, err
	}
	if err := addLine(figure, "median", seriesColour(0), loadBand(r, checker.LoadBandMedian)); err != nil {
		return nil, err
	}
	if err := addLine(figure, "max", seriesColour(3), loadBand(r, checker.LoadBandMax)); err != nil {
		return nil, err
	}
	return render(fileName("load", policy, p.name), figure)
}

// loadBand returns one entry of a result's LoadBands, by second.
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
