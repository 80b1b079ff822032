package plots

import (
	"bytes"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of every plot.
const (
	width  = 20 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// colours is the palette of Okabe and Ito, which is distinguishable with any kind of colour vision.
var colours = []color.RGBA{{0, 114, 178, 255}, {230, 159, 0, 255}, {0, 158, 115, 255}, {213, 94, 0, 255},
	{204, 121, 167, 255},
	{86, 180, 233, 255}, {60, 60, 60, 255}}

// seriesColour is the colour of the i-th line of a plot.
func seriesColour(i int) color.RGBA { return colours[i%len(colours)] }

// Figure is one drawn plot as SVG and PNG.
type Figure struct {
	Name  string // name of the files without extension
	Title string
	SVG   []byte
	PNG   []byte
}

// Save writes the figure's two files into a folder.
func (f *Figure) Save(dir string) error {
	for extension, text := range map[string][]byte{".svg": f.SVG, ".png": f.PNG} {
		if err := os.WriteFile(filepath.Join(dir, f.Name+extension), text, 0o644); err != nil {
			return fmt.Errorf("plots: %w", err)
		}
	}
	return nil
}

// render draws a plot in both formats.
func render(name string, p *plot.Plot) (*Figure, error) {
	f := &Figure{Name: name, Title: p.Title.Text}
	svg := vgsvg.New(width, height)
	drawWithLegend(p, draw.New(svg))
	var out bytes.Buffer
	if _, err := svg.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plots: %s: %w", name, err)
	}
	f.SVG = slices.Clone(out.Bytes())
	out.Reset()
	img := vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	drawWithLegend(p, draw.New(img))
	if _, err := img.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plots: %s: %w", name, err)
	}
	f.PNG = out.Bytes()
	return f, nil
}

// drawWithLegend draws a plot with its legend on the right, outside the axes.
func drawWithLegend(p *plot.Plot, c draw.Canvas) {
	legend := p.Legend
	defer func() { p.Legend = legend }()
	p.Legend = plot.NewLegend()
	r := legend.Rectangle(c)
	legendWidth := r.Max.X - r.Min.X + vg.Points(10)
	p.Draw(draw.Crop(c, 0, -legendWidth, 0, 0))
	legend.Top, legend.Left = true, false
	legend.YOffs = -vg.Points(24)
	legend.Draw(c)
}

// fileName joins the parts that are not empty into a name of lower-case letters, digits, dots and hyphens.
func fileName(parts ...string) string {
	return strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '.' {
			return c
		}
		return '-'
	}, strings.ToLower(strings.Join(slices.DeleteFunc(parts, func(s string) bool { return s == "" }), "-")))
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Title.Padding = vg.Points(6)
	p.Add(plotter.NewGrid())
	p.Legend.Padding = vg.Points(2)
	return p
}

// addLine adds a line with its entry in the legend. A line without points is left out.
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
