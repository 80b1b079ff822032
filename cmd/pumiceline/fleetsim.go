package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"

	"pumiceline/internal/fleetsim/experiment"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/fleetsim/plots"
	"pumiceline/internal/fleetsim/progress"
)

// fleetsimCmd is `pumiceline fleetsim`, which was `pumiceline lab` first.
type fleetsimCmd struct {
	Check   fleetsimCheckCmd   `cmd:"" help:"Validate an experiment and say how many runs it has."`
	Run     fleetsimRunCmd     `cmd:"" help:"Run an experiment as it stands, without its sweeps, and show each result."`
	Sweep   fleetsimSweepCmd   `cmd:"" help:"Run all points of an experiment and show them in a table."`
	Compare fleetsimCompareCmd `cmd:"" help:"Show how policies differ, seed by seed, with confidence intervals."`
	Plot    fleetsimPlotCmd    `cmd:"" help:"Draw results as SVG and PNG and write a report in HTML."`
	Replay  fleetsimReplayCmd  `cmd:"" help:"Repeat one run: of an experiment, or of a line of a results file."`
}

// experimentFlags are those of run, sweep and compare.
type experimentFlags struct {
	File           string   `arg:"" help:"Experiment (TOML)."`
	Out            string   `help:"Write the results to this file, as JSON lines." type:"path"`
	Workers        int      `name:"jobs" help:"Runs at a time; 0: one for each core." default:"0"`
	Settings       []string `name:"set" help:"Change a value of the experiment: world.servers=50." sep:"none"`
	Seeds          int      `help:"Run this many seeds, from 1, in place of the experiment's." default:"0"`
	PlotsDir       string   `name:"plots" help:"Draw the results into this folder." type:"path"`
	FailOnViolated bool     `name:"keep" help:"Fail if the first policy violates a rule."`
}

// load reads the experiment with the command line's changes.
func (f *experimentFlags) load() (*experiment.Experiment, error) {
	e, err := experiment.Load(f.File)
	if err != nil {
		return nil, err
	}
	if e.Overrides, err = applySettings(&e.Scenario, f.Settings); err != nil {
		return nil, err
	}
	if f.Seeds > 0 {
		e.Seeds = nil
		for s := range f.Seeds {
			e.Seeds = append(e.Seeds, uint64(s+1))
		}
	}
	return e, nil
}

// applySettings changes the scenario by key=value texts of the command line. Each leaves a valid scenario.
func applySettings(scenario *model.Scenario, texts []string) ([]experiment.Setting, error) {
	var settings []experiment.Setting
	for _, text := range texts {
		s, err := experiment.ParseSetting(text)
		if err == nil {
			err = s.Apply(scenario)
		}
		if err == nil {
			err = scenario.Validate()
		}
		if err != nil {
			return nil, fmt.Errorf("--set: %w", err)
		}
		settings = append(settings, s)
	}
	return settings, nil
}

// execute runs e with progress on standard error and keeps the results. Its error names the command for each run that
// failed; the results are complete then, too.
func (f *experimentFlags) execute(e *experiment.Experiment, out output) ([]*experiment.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	file := io.Discard
	if f.Out != "" {
		created, err := os.Create(f.Out)
		if err != nil {
			return nil, fmt.Errorf("fleetsim: results: %w", err)
		}
		defer created.Close()
		file = created
	}
	workers := f.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	bar := progress.NewBar(os.Stderr, e.Count())
	var results []*experiment.Result
	var failed []error
	err := e.Run(ctx, workers, func(r *experiment.Result) error {
		bar.Step()
		results = append(results, r)
		if err := f.runError(e, r); err != nil {
			failed = append(failed, err)
		}
		return r.Write(file)
	})
	if err != nil {
		return nil, err
	}
	if f.PlotsDir != "" {
		if err := drawFigures(out, results, f.PlotsDir, defaultMeasures); err != nil {
			return nil, err
		}
	}
	return results, errors.Join(failed...)
}

// runError says why a run fails the command, with the command that repeats it; nil: it does not.
func (f *experimentFlags) runError(e *experiment.Experiment, r *experiment.Result) error {
	switch {
	case r.Error != "":
		return fmt.Errorf("%s ended early: %s\n  again: %s", r.Policy, r.Error, r.Replay)
	case f.FailOnViolated && r.Policy == e.Policies[0] && !r.Report.HasNoViolations():
		return fmt.Errorf("%s broke a rule: %v\n  again: %s", r.Policy, r.Report.Violations[0], r.Replay)
	}
	return nil
}

type fleetsimCheckCmd struct {
	File string `arg:"" help:"Experiment (TOML)."`
}

// Run validates an experiment.
func (c *fleetsimCheckCmd) Run(out output) error {
	e, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d plays\n", c.File, e.Count())
	return err
}

type fleetsimRunCmd struct{ experimentFlags }

// Run makes the run of every policy and seed of the experiment, without its sweeps.
func (c *fleetsimRunCmd) Run(out output) error {
	e, err := c.load()
	if err != nil {
		return err
	}
	e.Sweeps = nil
	results, failed := c.execute(e, out)
	for _, r := range results {
		progress.PrintResult(out, r)
	}
	return failed
}

type fleetsimSweepCmd struct {
	experimentFlags
	Measures []string `help:"Figures to show." default:"g,worst,broken"`
}

// Run makes all runs of the experiment and prints a table.
func (c *fleetsimSweepCmd) Run(out output) error {
	e, err := c.load()
	if err != nil {
		return err
	}
	measures, err := parseMeasures(c.Measures)
	if err != nil {
		return err
	}
	results, failed := c.execute(e, out)
	if len(results) > 0 {
		if err := progress.PrintTable(out, results, measures); err != nil {
			return err
		}
	}
	return failed
}

type fleetsimCompareCmd struct {
	experimentFlags
	Measures []string `help:"Figures to compare." default:"g"`
}

// Run compares policies: of a results file, or of an experiment that it runs first.
func (c *fleetsimCompareCmd) Run(out output) error {
	measures, err := parseMeasures(c.Measures)
	if err != nil {
		return err
	}
	var results []*experiment.Result
	var failed error
	if isExperiment(c.File) {
		e, err := c.load()
		if err != nil {
			return err
		}
		results, failed = c.execute(e, out)
	} else if results, err = readResults(c.File); err != nil {
		return err
	}
	for _, m := range measures {
		if err := progress.PrintDifferences(out, results, m); err != nil {
			return err
		}
	}
	return failed
}

// isExperiment says whether a file is an experiment, else it has results.
func isExperiment(file string) bool { return strings.HasSuffix(file, ".toml") }

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

// defaultMeasures are what --plots draws against a sweep's axis.
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

func parseMeasures(names []string) ([]experiment.Measure, error) {
	var measures []experiment.Measure
	for _, name := range names {
		m, err := experiment.MeasureByName(name)
		if err != nil {
			return nil, err
		}
		measures = append(measures, m)
	}
	return measures, nil
}

func readResults(path string) ([]*experiment.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("fleetsim: %w", err)
	}
	defer f.Close()
	results, err := experiment.ReadResults(f)
	if err != nil {
		return nil, fmt.Errorf("fleetsim: %s: %w", path, err)
	}
	return results, nil
}

type fleetsimReplayCmd struct {
	File      string   `arg:"" help:"Experiment (TOML) or results (JSON lines)."`
	Policy    string   `help:"Policy to run, of an experiment."`
	Seed      uint64   `help:"Seed to run, of an experiment." default:"1"`
	Settings  []string `name:"set" help:"Value of a swept key: world.servers=50." sep:"none"`
	Line      int      `help:"Line of the results file, from 1." default:"1"`
	Trace     string   `help:"Write all records to this file, as JSON lines." type:"path"`
	RequestID uint64   `name:"of" help:"Trace this request alone."`
}

// errResultDiffers is returned for a run that does not repeat its line of a results file.
var errResultDiffers = errors.New("fleetsim: the result differs from the results file: another build, or a fault of the simulator")

// Run repeats one run, and says whether a results file's line came out the same.
func (c *fleetsimReplayCmd) Run(out output) error {
	r, err := c.load()
	if err != nil {
		return err
	}
	stored := *r
	if err := c.simulate(r); err != nil {
		return err
	}
	progress.PrintResult(out, r)
	if !isExperiment(c.File) {
		if err := requireSameBytes(&stored, r); err != nil {
			return err
		}
		fmt.Fprintln(out, "  the same, to the byte, as in the results file")
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return nil
}

// requireSameBytes returns errResultDiffers unless both results are the same in a results file.
func requireSameBytes(stored, repeated *experiment.Result) error {
	var a, b bytes.Buffer
	if err := errors.Join(stored.Write(&a), repeated.Write(&b)); err != nil {
		return fmt.Errorf("fleetsim: %w", err)
	}
	if !bytes.Equal(a.Bytes(), b.Bytes()) {
		return errResultDiffers
	}
	return nil
}

// load returns the run that is to be repeated.
func (c *fleetsimReplayCmd) load() (*experiment.Result, error) {
	if isExperiment(c.File) {
		return c.loadFromExperiment()
	}
	results, err := readResults(c.File)
	if err != nil {
		return nil, err
	}
	if c.Line < 1 || c.Line > len(results) {
		return nil, fmt.Errorf("fleetsim: %s has %d lines", c.File, len(results))
	}
	return results[c.Line-1], nil
}

func (c *fleetsimReplayCmd) loadFromExperiment() (*experiment.Result, error) {
	e, err := experiment.Load(c.File)
	if err != nil {
		return nil, err
	}
	r := &experiment.Result{Scenario: e.Scenario, Policy: c.Policy, Seed: c.Seed}
	if r.Policy == "" {
		r.Policy = e.Policies[0]
	}
	// The scenario is validated by the run: single settings need not leave a valid one.
	for _, text := range c.Settings {
		s, err := experiment.ParseSetting(text)
		if err == nil {
			err = s.Apply(&r.Scenario)
		}
		if err != nil {
			return nil, fmt.Errorf("--set: %w", err)
		}
		r.Point = append(r.Point, s)
	}
	return r, nil
}

// simulate makes the run, with a trace if one is asked for.
func (c *fleetsimReplayCmd) simulate(r *experiment.Result) error {
	if c.Trace == "" {
		r.Simulate(nil)
		return nil
	}
	f, err := os.Create(c.Trace)
	if err != nil {
		return fmt.Errorf("fleetsim: trace: %w", err)
	}
	defer f.Close()
	r.Simulate(&experiment.Tracer{Out: f, RequestID: c.RequestID})
	return nil
}
