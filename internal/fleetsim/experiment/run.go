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

// Count returns the number of runs of the experiment.
func (e *Experiment) Count() int {
	runs, _ := e.plannedRuns() // Parse has already validated the points
	return len(runs)
}

// Run executes all runs of the experiment on that many workers and passes each result to onResult in the experiment's
// order, regardless of which run ended first. A failed run gives a result with an Error. Run returns an error only if
// the points are invalid, onResult fails or ctx ends. All workers have ended when Run returns. After an error of
// onResult the remaining runs are still executed before Run returns.
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

// execute simulates one run and returns its result.
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

// replayCommand returns the command that repeats a run. It is stored in results files, so it still has the command's
// earlier name, "lab".
func (e *Experiment) replayCommand(run *plannedRun) string {
	words := []string{"pumiceline lab replay", e.File, "--policy=" + run.policy, fmt.Sprintf("--seed=%d", run.seed)}
	for _, s := range slices.Concat(e.Overrides, run.point.Settings) {
		words = append(words, "--set="+s.String())
	}
	return strings.Join(words, " ")
}
