package experiment

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pumiceline/internal/fleetsim/model"
)

// Point is one combination of the swept values.
type Point struct {
	Settings []Setting // of all sweeps: each axis, followed by the keys of its With
	Axes     []Setting // the axes alone
	Scenario model.Scenario
}

// Name returns the axes' settings as "key=value", separated by spaces. It is empty if nothing is swept.
func (p *Point) Name() string { return pointName(p.Axes) }

func pointName(axes []Setting) string {
	words := make([]string, len(axes))
	for i, s := range axes {
		words[i] = s.String()
	}
	return strings.Join(words, " ")
}

// Points returns all combinations of the swept values, or a single point if nothing is swept. The last sweep varies
// fastest.
func (e *Experiment) Points() ([]Point, error) {
	points := []Point{{Scenario: e.Scenario}}
	for i := range e.Sweeps {
		sweep := &e.Sweeps[i]
		var next []Point
		for _, p := range points {
			for k := range sweep.Values {
				q, err := p.with(sweep, k)
				if err != nil {
					return nil, e.errorAt(fmt.Sprintf("sweep.%d.key", i), "%v", err)
				}
				next = append(next, q)
			}
		}
		points = next
	}
	return points, nil
}

// with returns a copy of the point with the k-th value of a sweep applied.
func (p *Point) with(sweep *Sweep, k int) (Point, error) {
	axis := Setting{sweep.Key, sweep.Values[k]}
	settings := []Setting{axis}
	for _, key := range slices.Sorted(maps.Keys(sweep.With)) {
		settings = append(settings, Setting{key, sweep.With[key][k]})
	}
	q := Point{Settings: append(slices.Clone(p.Settings), settings...), Axes: append(slices.Clone(p.Axes), axis),
		Scenario: p.Scenario.Clone()}
	for _, s := range settings {
		if err := s.Apply(&q.Scenario); err != nil {
			return Point{}, err
		}
	}
	return q, nil
}
