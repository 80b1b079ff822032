package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"pumiceline/internal/fleetsim/experiment"
	"pumiceline/internal/fleetsim/progress"
)

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

// Run repeats one run. For a run of a results file it returns errResultDiffers unless the result is the same.
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

// requireSameBytes returns errResultDiffers unless a results file has the same bytes for both results.
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
	// The scenario is validated by the run, not after each setting: a sweep may change keys together, and the scenario
	// may be invalid with only some of them changed.
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

// simulate executes the run, and writes a trace if --trace is given.
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
