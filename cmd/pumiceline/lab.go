package main

import (
	"bytes"
	"context"
	"encoding/json"
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

type fleetsimCmd struct {
	Check   fleetsimCheckCmd   `cmd:"" help:"Check an experiment and say how many plays it has."`
	Run     fleetsimRunCmd     `cmd:"" help:"Play an experiment as it stands, without its sweeps, and show each verdict."`
	Sweep   fleetsimSweepCmd   `cmd:"" help:"Play all points of an experiment and show them in a table."`
	Compare fleetsimCompareCmd `cmd:"" help:"Show how policies differ, seed by seed, with confidence intervals."`
	Plot    fleetsimPlotCmd    `cmd:"" help:"Draw results as SVG and PNG and write a report in HTML."`
	Replay  fleetsimReplayCmd  `cmd:"" help:"Play one run again: from an experiment, or from a line of a results file."`
}

// runFlags is what run, sweep and compare have in common.
type runFlags struct {
	File  string   `arg:"" help:"Experiment (TOML)."`
	Out   string   `help:"Write the results to this file, as JSON lines." type:"path"`
	Jobs  int      `help:"Plays at a time." default:"0"`
	Set   []string `help:"Change a value of the experiment: world.servers=50." sep:"none"`
	Seeds int      `help:"Play this many seeds, from 1, in place of the experiment's." default:"0"`
	Plots string   `help:"Draw the results into this folder." type:"path"`
	Keep  bool     `help:"Fail if a rule is broken by the first policy."`
}

// load reads the experiment with the command line's changes.
func (c *runFlags) load() (*experiment.Experiment, error) {
	e, err := experiment.Load(c.File)
	if err != nil {
		return nil, err
	}
	for _, text := range c.Set {
		s, err := experiment.ParseSetting(text)
		if err == nil {
			err = experiment.Apply(&e.Scenario, s)
		}
		if err == nil {
			err = e.Scenario.Validate()
		}
		if err != nil {
			return nil, fmt.Errorf("--set: %w", err)
		}
		e.Overrides = append(e.Overrides, s)
	}
	if c.Seeds > 0 {
		e.Seeds = nil
		for s := range c.Seeds {
			e.Seeds = append(e.Seeds, uint64(s+1))
		}
	}
	return e, nil
}

// execute runs e with progress on standard error, keeps the results and names the command for each run that failed.
func (c *runFlags) execute(e *experiment.Experiment, out output) ([]*experiment.Result, error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var file io.Writer = io.Discard
	if c.Out != "" {
		f, err := os.Create(c.Out)
		if err != nil {
			return nil, fmt.Errorf("lab: results: %w", err)
		}
		defer f.Close()
		file = f
	}
	jobs := c.Jobs
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	progress := progress.NewBar(os.Stderr, e.Count())
	var results []*experiment.Result
	var failed []error
	err := e.Run(ctx, jobs, func(r *experiment.Result) error {
		progress.Step()
		results = append(results, r)
		switch {
		case r.Error != "":
			failed = append(failed, fmt.Errorf("%s ended early: %s\n  again: %s", r.Policy, r.Error, r.Replay))
		case c.Keep && r.Policy == e.Policies[0] && !r.Report.HasNoViolations():
			failed = append(failed, fmt.Errorf("%s broke a rule: %v\n  again: %s", r.Policy, r.Report.Violations[0], r.Replay))
		}
		return r.Write(file)
	})
	if err != nil {
		return nil, err
	}
	if c.Plots != "" {
		if err := drawFigures(out, results, c.Plots, defaultMeasures); err != nil {
			return nil, err
		}
	}
	return results, errors.Join(failed...)
}

type fleetsimCheckCmd struct {
	File string `arg:"" help:"Experiment (TOML)."`
}

// Run checks an experiment without playing it.
func (c *fleetsimCheckCmd) Run(out output) error {
	e, err := experiment.Load(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s: %d plays\n", c.File, e.Count())
	return err
}

type fleetsimRunCmd struct{ runFlags }

// Run plays every policy and seed of the experiment once.
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
	runFlags
	Measures []string `help:"Figures to show." default:"g,worst,broken"`
}

// Run plays all points and prints a table.
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
	runFlags
	Measures []string `help:"Figures to compare." default:"g"`
}

// Run compares policies: of a results file, or of an experiment that it plays first.
func (c *fleetsimCompareCmd) Run(out output) error {
	measures, err := parseMeasures(c.Measures)
	if err != nil {
		return err
	}
	var results []*experiment.Result
	var failed error
	if strings.HasSuffix(c.File, ".toml") {
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

var defaultMeasures = []string{"g", "worst", "overdriven"}

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
		return fmt.Errorf("lab: plots: %w", err)
	}
	for _, f := range figures {
		if err := f.Save(dir); err != nil {
			return err
		}
	}
	var text bytes.Buffer
	if err := plots.HTML(&text, results, measures, figures); err != nil {
		return fmt.Errorf("lab: report: %w", err)
	}
	name := filepath.Join(dir, "report.html")
	if err := os.WriteFile(name, text.Bytes(), 0o644); err != nil {
		return fmt.Errorf("lab: report: %w", err)
	}
	_, err = fmt.Fprintf(out, "%d figures and %s\n", len(figures), name)
	return err
}

func parseMeasures(names []string) ([]experiment.Measure, error) {
	var all []experiment.Measure
	for _, n := range names {
		m, err := experiment.MeasureByName(n)
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
	return all, nil
}

func readResults(path string) ([]*experiment.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	defer f.Close()
	results, err := experiment.Read(f)
	if err != nil {
		return nil, fmt.Errorf("lab: %s: %w", path, err)
	}
	return results, nil
}

type fleetsimReplayCmd struct {
	File   string   `arg:"" help:"Experiment (TOML) or results (JSON lines)."`
	Policy string   `help:"Policy to play, of an experiment."`
	Seed   uint64   `help:"Seed to play, of an experiment." default:"1"`
	Set    []string `help:"Value of a swept key: world.servers=50." sep:"none"`
	Line   int      `help:"Line of the results file, from 1." default:"1"`
	Trace  string   `help:"Write all that passes to this file, as JSON lines." type:"path"`
	Of     uint64   `help:"Trace this request alone."`
}

// Run plays one run again, and says whether a results file's line came out the same.
func (c *fleetsimReplayCmd) Run(out output) error {
	var r experiment.Result
	var before []byte
	if strings.HasSuffix(c.File, ".toml") {
		e, err := experiment.Load(c.File)
		if err != nil {
			return err
		}
		r = experiment.Result{Scenario: e.Scenario, Policy: c.Policy, Seed: c.Seed}
		if r.Policy == "" {
			r.Policy = e.Policies[0]
		}
		for _, text := range c.Set {
			s, err := experiment.ParseSetting(text)
			if err == nil {
				err = experiment.Apply(&r.Scenario, s)
			}
			if err != nil {
				return fmt.Errorf("--set: %w", err)
			}
			r.Point = append(r.Point, s)
		}
	} else {
		all, err := readResults(c.File)
		if err != nil {
			return err
		}
		if c.Line < 1 || c.Line > len(all) {
			return fmt.Errorf("lab: %s has %d lines", c.File, len(all))
		}
		r = *all[c.Line-1]
		if before, err = json.Marshal(r); err != nil {
			return fmt.Errorf("lab: %w", err)
		}
	}
	var trace model.Observer
	if c.Trace != "" {
		f, err := os.Create(c.Trace)
		if err != nil {
			return fmt.Errorf("lab: trace: %w", err)
		}
		defer f.Close()
		trace = &experiment.Tracer{Out: f, RequestID: c.Of}
	}
	r.Stats, r.Report, r.Error = experiment.Simulate(&r.Scenario, r.Policy, r.Seed, trace)
	progress.PrintResult(out, &r)
	if before != nil {
		now, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("lab: %w", err)
		}
		if !bytes.Equal(before, now) {
			return errors.New("lab: the run came out otherwise than the results file says: another build, or a fault of the laboratory")
		}
		fmt.Fprintln(out, "  the same, to the byte, as in the results file")
	}
	if r.Error != "" {
		return errors.New(r.Error)
	}
	return nil
}
