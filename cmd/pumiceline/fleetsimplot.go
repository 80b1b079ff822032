package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"pumiceline/internal/fleetsim/experiment"
	"pumiceline/internal/fleetsim/plots"
)

type fleetsimPlotCmd struct {
	File     string   `arg:"" help:"Results (JSON lines)."`
	Dir      string   `help:"Folder for the figures and report.html." default:"found/plots" type:"path"`
	Measures []string `help:"Figures to draw against a sweep's axis." default:"g,worst"`
}

// Run draws results.
func (c *fleetsimPlotCmd) Run(out output) error {
	results, err := readResults(c.File)
	if err != nil {
		return err
	}
	return drawFigures(out, results, c.Dir, c.Measures)
}

// defaultMeasures are the measures that --plots draws against a sweep's axis.
var defaultMeasures = []string{"g", "worst", "overdriven"}

// drawFigures writes the figures of results and the report into a folder.
func drawFigures(out output, results []*experiment.Result, dir string, names []string) error {
	measures, err := parseMeasures(names)
	if err != nil {
		return err
	}
	figures, err := plots.All(results, measures)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("fleetsim: plots: %w", err)
	}
	for _, f := range figures {
		if err := f.Save(dir); err != nil {
			return err
		}
	}
	var text bytes.Buffer
	if err := plots.HTML(&text, results, measures, figures); err != nil {
		return fmt.Errorf("fleetsim: report: %w", err)
	}
	name := filepath.Join(dir, "report.html")
	if err := os.WriteFile(name, text.Bytes(), 0o644); err != nil {
		return fmt.Errorf("fleetsim: report: %w", err)
	}
	_, err = fmt.Fprintf(out, "%d figures and %s\n", len(figures), name)
	return err
}
