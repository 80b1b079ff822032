package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"strings"

	"pumiceline/internal/fleetsim/experiment"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/fleetsim/progress"
)

// fleetsimCmd is `pumiceline fleetsim`. Its alias `lab` is its earlier name: results files hold replay commands with
// it.
type fleetsimCmd struct {
	Check   fleetsimCheckCmd   `cmd:"" help:"Validate an experiment and say how many runs it has."`
	Run     fleetsimRunCmd     `cmd:"" help:"Run an experiment as it stands, without its sweeps, and show each result."`
	Sweep   fleetsimSweepCmd   `cmd:"" help:"Run all points of an experiment and show them in a table."`
	Compare fleetsimCompareCmd `cmd:"" help:"Show how policies differ, seed by seed, with confidence intervals."`
	Plot    fleetsimPlotCmd    `cmd:"" help:"Draw results as SVG and PNG and write a report in HTML."`
	Replay  fleetsimReplayCmd  `cmd:"" help:"Repeat one run: of an experiment, or of a line of a results file."`
}

// experimentFlags are the flags of run, sweep and compare.
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

// applySettings changes the scenario by key=value texts of the command line. The scenario has to be valid after each.
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

// execute runs e, shows progress on standard error, and returns the results. If runs failed, the results are complete
// all the same, and the error has the command that repeats each failed run.
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

// runError returns the reason why a run makes the command fail, with the command that repeats the run; nil if it does
// not.
func (f *experimentFlags) runError(e *experiment.Experiment, r *experiment.Result) error {
	switch {
	case r.Error != "":
		return fmt.Errorf("%s ended early: %s\n  again: %s", r.Policy, r.Error, r.Replay)
	case f.FailOnViolated && r.Policy == e.Policies[0] && !r.Report.HasNoViolations():
		return fmt.Errorf("%s violated a rule: %v\n  again: %s", r.Policy, r.Report.Violations[0], r.Replay)
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
	_, err = fmt.Fprintf(out, "%s: %d runs\n", c.File, e.Count())
	return err
}

type fleetsimRunCmd struct{ experimentFlags }

// Run runs each policy with each seed of the experiment, without its sweeps.
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

// Run executes all runs of the experiment and prints a table.
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

// Run compares the policies of a results file, or of an experiment, which it runs first.
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

// isExperiment reports whether a file is an experiment, by its extension. Other files are results files.
func isExperiment(file string) bool { return strings.HasSuffix(file, ".toml") }

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
