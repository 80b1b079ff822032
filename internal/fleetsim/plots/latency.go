package plots

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// percentileScale is an axis of percentiles on which each nine takes as much room.
type percentileScale struct{}

func (percentileScale) Normalize(min, max, x float64) float64 { return (x - min) / (max - min) }

func (percentileScale) Ticks(min, max float64) []plot.Tick {
	var t []plot.Tick
	for i, label := range []string{"0%", "90%", "99%", "99.9%", "99.99%"} {
		t = append(t, plot.Tick{Value: float64(i), Label: label})
	}
	return append(t, plot.Tick{Value: math.Log10(2), Label: "50%"})
}

// Latency draws the time of the answers by percentile, over all seeds, a line for each policy, for one class.
func Latency(g *pointResults, class string) (*Figure, error) {
	p := newPlot(strings.TrimSpace(fmt.Sprintf("Time of served requests, %s %s", class, g.name)), "percentile", "milliseconds")
	p.X.Scale, p.X.Tick.Marker = percentileScale{}, percentileScale{}
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, policy := range g.policies {
		sum := hdrhistogram.New(1, 60_000_000, 3)
		for _, r := range g.byPolicy[policy] {
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
		if err := addLine(p, policy, seriesColour(i), xy); err != nil {
			return nil, err
		}
	}
	return render(fileName("latency", class, g.name), p)
}
