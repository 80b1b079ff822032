package experiment

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
)

// plannedRun is one run of an experiment.
type plannedRun struct {
	point  Point
	policy string
	seed   uint64
}

func (e *Experiment) plannedRuns() ([]plannedRun, error) {
	points, err := e.Points()
	if err != nil {
		return nil, err
	}
	var runs []plannedRun
	for _, point := range points {
		for _, policy := range e.Policies {
			for _, seed := range e.Seeds {
				runs = append(runs, plannedRun{point, policy, seed})
			}
		}
	}
	return runs, nil
}

// Count is how many runs the experiment has.
func (e *Experiment) Count() int {
	runs, _ := e.plannedRuns() // Load has validated it
	return len(runs)
}

// Run makes all runs of the experiment, as many at a time as there are workers, and hands each result to onResult in
// the experiment's order, whichever ended first. A run that fails is a result with an Error. Run itself fails only if
// onResult does, or ctx ends; its workers have ended when it returns. After an error of onResult the remaining runs
// are still made.
func (e *Experiment) Run(ctx context.Context, workers int, onResult func(*Result) error) error {
	runs, err := e.plannedRuns()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan int)
	go func() {
		defer close(next)
		for i := range runs {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	results := make([]chan *Result, len(runs))
	for i := range results {
		results[i] = make(chan *Result, 1)
	}
	var running sync.WaitGroup
	for range max(1, workers) {
		running.Go(func() {
			for i := range next {
				results[i] <- e.execute(&runs[i])
			}
		})
	}
	defer running.Wait()
	for i := range results {
		select {
		case r := <-results[i]:
			if err := onResult(r); err != nil {
				return err
			}
		case <-ctx.Done():
			return fmt.Errorf("experiment: %w", ctx.Err())
		}
	}
	return nil
}

// execute makes one run.
func (e *Experiment) execute(run *plannedRun) *Result {
	r := &Result{Format: formatVersion, Experiment: e.Name, Title: e.Title, Text: e.Text, Policy: run.policy,
		Seed: run.seed, Point: run.point.Axes, Axes: e.axes(), Replay: e.replayCommand(run), Scenario: run.point.Scenario}
	r.Simulate(nil)
	return r
}

func (e *Experiment) axes() []Axis {
	var axes []Axis
	for _, s := range e.Sweeps {
		label := s.Label
		if label == "" {
			label = s.Key
		}
		axes = append(axes, Axis{s.Key, label, s.Log})
	}
	return axes
}

// replayCommand is the command that repeats a run. It is part of results files, so it keeps the command's earlier name.
func (e *Experiment) replayCommand(run *plannedRun) string {
	words := []string{"pumiceline lab replay", e.File, "--policy=" + run.policy, fmt.Sprintf("--seed=%d", run.seed)}
	for _, s := range slices.Concat(e.Overrides, run.point.Settings) {
		words = append(words, "--set="+s.String())
	}
	return strings.Join(words, " ")
}
