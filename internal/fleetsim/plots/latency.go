package plots

import (
	"fmt"
	"math"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/experiment"
)

// percentileScale is an axis of percentiles on which each further nine takes the same space: x stands for 1 - 10^-x.
type percentileScale struct{}

// Normalize implements plot.Normalizer.
func (percentileScale) Normalize(least, most, x float64) float64 { return (x - least) / (most - least) }

// Ticks implements plot.Ticker.
func (percentileScale) Ticks(_, _ float64) []plot.Tick {
	var ticks []plot.Tick
	for i, label := range []string{"0%", "90%", "99%", "99.9%", "99.99%"} {
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: label})
	}
	return append(ticks, plot.Tick{Value: math.Log10(2), Label: "50%"})
}

// Positions on a percentileScale.
const (
	percentileStep    = 0.05 // between the points of a line
	maxPercentileAxis = 4    // 99.99%
)

// drawLatency draws the latency of a class's served requests by percentile, over all seeds, with a line for each
// policy.
func (p *pointResults) drawLatency(class string) (*Figure, error) {
	figure := newPlot(strings.TrimSpace(fmt.Sprintf("Time of served requests, %s %s", class, p.name)), "percentile",
		"milliseconds")
	figure.X.Scale, figure.X.Tick.Marker = percentileScale{}, percentileScale{}
	figure.Y.Scale, figure.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for i, policy := range p.policies {
		latencies, err := mergeLatencies(p.byPolicy[policy], class)
		if err != nil {
			return nil, err
		}
		if err := addLine(figure, policy, seriesColour(i), percentileLine(latencies)); err != nil {
			return nil, err
		}
	}
	return render(fileName("latency", class, p.name), figure)
}

func mergeLatencies(results []*experiment.Result, class string) (*hdrhistogram.Histogram, error) {
	merged := checker.NewLatencyHistogram()
	for _, r := range results {
		h, err := hdrhistogram.Decode([]byte(r.Report.Latency[class]))
		if err != nil {
			return nil, fmt.Errorf("plots: latencies of %s: %w", class, err)
		}
		merged.Merge(h)
	}
	return merged, nil
}

// percentileLine returns the latencies by percentile, in milliseconds. It ends at the last percentile that at least one
// request lies beyond.
func percentileLine(latencies *hdrhistogram.Histogram) plotter.XYs {
	var line plotter.XYs
	for x := percentileStep; x <= maxPercentileAxis && latencies.TotalCount() > 0; x += percentileStep {
		percentile := 100 * (1 - math.Pow(10, -x))
		if float64(latencies.TotalCount())*(1-percentile/100) < 1 {
			break
		}
		line = append(line, plotter.XY{X: x, Y: float64(latencies.ValueAtQuantile(percentile)) / 1e3})
	}
	return line
}
