package plots

import (
	"strings"

	"gonum.org/v1/plot/plotter"

	"pumiceline/internal/fleetsim/experiment"
)

// drawService draws the service by second as the mean over the seeds, with a line for each policy.
func (p *pointResults) drawService() (*Figure, error) {
	figure := newPlot(strings.TrimSpace("Service by second "+p.name), "second", "value served of value offered")
	figure.Y.Min, figure.Y.Max = 0, 1
	for i, policy := range p.policies {
		if err := addLine(figure, policy, seriesColour(i), meanService(p.byPolicy[policy])); err != nil {
			return nil, err
		}
	}
	return render(fileName("service", p.name), figure)
}

// meanService returns the mean service of the results by second. It leaves out the first second, and seconds in which
// no value was offered.
func meanService(results []*experiment.Result) plotter.XYs {
	var sum, count []float64
	for _, r := range results {
		for second, service := range r.Report.ServiceBySecond {
			if second >= len(sum) {
				sum, count = append(sum, 0), append(count, 0)
			}
			if service >= 0 {
				sum[second], count[second] = sum[second]+service, count[second]+1
			}
		}
	}
	var line plotter.XYs
	for second := range sum {
		if count[second] > 0 && second > 0 {
			line = append(line, plotter.XY{X: float64(second), Y: sum[second] / count[second]})
		}
	}
	return line
}
