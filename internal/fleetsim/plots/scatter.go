package plots

import (
	"fmt"

	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// ScatterPoint is a point of a scatter plot. All points of a group have the same colour.
type ScatterPoint struct {
	X, Y  float64
	Group string
}

// ScatterLabels are the texts of a scatter plot.
type ScatterLabels struct{ Title, X, Y string }

// Scatter draws points. The name is that of the figure's files.
func Scatter(name string, labels ScatterLabels, points []ScatterPoint) (*Figure, error) {
	figure := newPlot(labels.Title, labels.X, labels.Y)
	byGroup, groups := map[string]plotter.XYs{}, []string(nil)
	for _, p := range points {
		if byGroup[p.Group] == nil {
			groups = append(groups, p.Group)
		}
		byGroup[p.Group] = append(byGroup[p.Group], plotter.XY{X: p.X, Y: p.Y})
	}
	for i, group := range groups {
		s, err := plotter.NewScatter(byGroup[group])
		if err != nil {
			return nil, fmt.Errorf("plots: %s: %w", name, err)
		}
		s.Color, s.Shape, s.Radius = seriesColour(i), draw.CircleGlyph{}, vg.Points(3)
		figure.Add(s)
		figure.Legend.Add(group, s)
	}
	return render(name, figure)
}
