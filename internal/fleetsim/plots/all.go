// Package plots draws the results of experiments, as SVG and PNG, and writes them into one page of HTML.
package plots

import (
	"errors"

	"pumiceline/internal/fleetsim/experiment"
)

// maxPointsDrawn is the highest number of points of a sweep that get their own figures.
const maxPointsDrawn = 8

// ErrNoReports is returned if none of the results has a report.
var ErrNoReports = errors.New("plots: no run came to its end")

// All draws the results. For a sweep it draws each measure against the first axis. For each of the first maxPointsDrawn
// points it draws the service by second and the load of the servers. If there is only one point, it also draws the
// latencies of each class.
func All(results []*experiment.Result, measures []experiment.Measure) ([]*Figure, error) {
	points := groupByPoint(results)
	if len(points) == 0 {
		return nil, ErrNoReports
	}
	var draw []func() (*Figure, error)
	if len(results[0].Axes) > 0 {
		for _, m := range measures {
			draw = append(draw, func() (*Figure, error) { return Sweep(results, m) })
		}
	}
	for _, p := range points[:min(maxPointsDrawn, len(points))] {
		draw = append(draw, p.drawService, func() (*Figure, error) { return p.drawLoad(p.policies[0]) })
		if len(points) > 1 {
			continue // a figure for each class as well would be too many
		}
		for _, class := range p.byPolicy[p.policies[0]][0].Scenario.Classes {
			draw = append(draw, func() (*Figure, error) { return p.drawLatency(class.Name) })
		}
	}
	var figures []*Figure
	for _, f := range draw {
		figure, err := f()
		if err != nil {
			return nil, err
		}
		figures = append(figures, figure)
	}
	return figures, nil
}

// pointResults are the results of one point that have a report, by policy.
type pointResults struct {
	name     string
	policies []string // in the order of the results
	byPolicy map[string][]*experiment.Result
}

// groupByPoint groups results by point and policy, both in the order in which they first occur.
func groupByPoint(results []*experiment.Result) []*pointResults {
	var points []*pointResults
	byName := map[string]*pointResults{}
	for _, r := range results {
		if r.Report == nil {
			continue
		}
		name := r.PointName()
		p := byName[name]
		if p == nil {
			p = &pointResults{name: name, byPolicy: map[string][]*experiment.Result{}}
			byName[name] = p
			points = append(points, p)
		}
		if p.byPolicy[r.Policy] == nil {
			p.policies = append(p.policies, r.Policy)
		}
		p.byPolicy[r.Policy] = append(p.byPolicy[r.Policy], r)
	}
	return points
}
