package experiment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
	"strings"
	"sync"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
)

// formatVersion is that of Result's JSON form. Readers refuse others.
const formatVersion = 1

// Result is one play with every input that is needed to play it again, and its verdict. A results file holds one as JSON
// on each line, in the order of points, then policies, then seeds.
type Result struct {
	Format     int             `json:"format"`
	Experiment string          `json:"experiment"`
	Title      string          `json:"title,omitempty"`
	Text       string          `json:"text,omitempty"`
	Policy     string          `json:"policy"`
	Seed       uint64          `json:"seed"`
	Point      []Setting       `json:"point,omitempty"` // the axes' values
	Axes       []Axis          `json:"axes,omitempty"`
	Replay     string          `json:"replay"` // the command that plays it again
	Scenario   model.Scenario  `json:"world"`
	Stats      model.Stats     `json:"stats"`
	Report     *checker.Report `json:"report,omitempty"`
	Error      string          `json:"error,omitempty"` // why the play ended early
}

// Axis is how a swept key is plotted.
type Axis struct {
	Key   string `json:"key"`
	Label string `json:"label"`
	Log   bool   `json:"log,omitempty"`
}

// Name is the result's point in words.
func (r *Result) Name() string { return (&Point{Axes: r.Point}).Name() }

// plannedRun is one play that is to be done.
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
	var all []plannedRun
	for _, p := range points {
		for _, policy := range e.Policies {
			for _, seed := range e.Seeds {
				all = append(all, plannedRun{p, policy, seed})
			}
		}
	}
	return all, nil
}

// Count is how many plays Run makes.
func (e *Experiment) Count() int {
	all, _ := e.plannedRuns() // Load has checked it
	return len(all)
}

// Run plays all that the experiment names, jobs plays at a time, and hands each result to done in the experiment's
// order, whichever ended first. A play that fails is a result with an Error; Run itself fails only if done does, or ctx
// ends.
func (e *Experiment) Run(ctx context.Context, jobs int, done func(*Result) error) error {
	all, err := e.plannedRuns()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan int)
	go func() {
		defer close(next)
		for i := range all {
			select {
			case next <- i:
			case <-ctx.Done():
				return
			}
		}
	}()
	results := make([]chan *Result, len(all))
	for i := range results {
		results[i] = make(chan *Result, 1)
	}
	var workers sync.WaitGroup
	for range max(1, jobs) {
		workers.Go(func() {
			for i := range next {
				results[i] <- e.execute(&all[i])
			}
		})
	}
	defer workers.Wait()
	for i := range results {
		select {
		case r := <-results[i]:
			if err := done(r); err != nil {
				return err
			}
		case <-ctx.Done():
			return fmt.Errorf("experiment: %w", ctx.Err())
		}
	}
	return nil
}

func (e *Experiment) execute(t *plannedRun) *Result {
	r := &Result{Format: formatVersion, Experiment: e.Name, Title: e.Title, Text: e.Text, Policy: t.policy, Seed: t.seed,
		Point: t.point.Axes, Scenario: t.point.Scenario}
	for _, s := range e.Sweeps {
		label := s.Label
		if label == "" {
			label = s.Key
		}
		r.Axes = append(r.Axes, Axis{s.Key, label, s.Log})
	}
	words := []string{"pumiceline lab replay", e.File, "--policy=" + t.policy, fmt.Sprintf("--seed=%d", t.seed)}
	for _, s := range append(slices.Clone(e.Overrides), t.point.Settings...) {
		words = append(words, "--set="+s.String())
	}
	r.Replay = strings.Join(words, " ")
	r.Stats, r.Report, r.Error = Simulate(&r.Scenario, t.policy, t.seed, nil)
	return r
}

// Run plays a world once under the referee's eyes, and shows each record to trace as well, if there is one. fault says
// why the play ended early. A panic of a decider is a fault like another: it must not take the other plays with it.
func Simulate(w *model.Scenario, policy string, seed uint64, trace model.Observer) (stats model.Stats, rep *checker.Report, fault string) {
	defer func() {
		if p := recover(); p != nil {
			rep, fault = nil, fmt.Sprintf("panic: %v at %s", p, panicSite(debug.Stack()))
		}
	}()
	make := Policies()[policy]
	if make == nil {
		return stats, nil, fmt.Sprintf("there is no policy %q", policy)
	}
	ref := checker.New(w)
	var watch model.Observer = ref
	if trace != nil {
		watch = teeObserver{ref, trace}
	}
	stats, err := model.Run(w, seed, make, watch)
	if err != nil {
		return stats, nil, err.Error()
	}
	if rep, err = ref.Report(); err != nil {
		return stats, nil, err.Error()
	}
	return stats, rep, ""
}

// panicSite is the first place of the project's own below a panic, without what differs from run to run.
func panicSite(stack []byte) string {
	lines := strings.Split(string(stack), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic(") {
			for _, l := range lines[i+1:] {
				if name, _, ok := strings.Cut(l, "("); ok && strings.HasPrefix(name, "pumiceline/") {
					return name
				}
			}
		}
	}
	return "an unknown place"
}

// Tracer writes what passes as JSON lines: the time in seconds, the kind, and the record. Of leaves all but one request
// out; 0: nothing is left out.
type Tracer struct {
	Out       io.Writer
	RequestID uint64
	err       error
}

// Observe is model.Watcher's.
func (t *Tracer) Observe(r *model.Record) {
	if t.err != nil || t.RequestID != 0 && r.ID != t.RequestID {
		return
	}
	text, err := json.Marshal(struct {
		S    float64       `json:"s"`
		What string        `json:"what"`
		Rec  *model.Record `json:"record"`
	}{float64(r.At) / 1e6, r.Kind.String(), r})
	if err == nil {
		_, err = t.Out.Write(append(text, '\n'))
	}
	t.err = err // the play goes on: a trace that cannot be written must not change a verdict
}

type teeObserver struct{ a, b model.Observer }

func (w teeObserver) Observe(r *model.Record) {
	w.a.Observe(r)
	w.b.Observe(r)
}

// Write writes one result as a line.
func (r *Result) Write(w io.Writer) error {
	text, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("experiment: result: %w", err)
	}
	_, err = w.Write(append(text, '\n'))
	return err
}

// Read reads a results file. Its faults name the line.
func Read(in io.Reader) ([]*Result, error) {
	var all []*Result
	lines := bufio.NewReader(in)
	for n := 1; ; n++ {
		line, err := lines.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			r := &Result{}
			if err := json.Unmarshal(line, r); err != nil {
				return nil, fmt.Errorf("results: line %d: %w", n, err)
			}
			if r.Format != formatVersion {
				return nil, fmt.Errorf("results: line %d: format %d, this build reads %d", n, r.Format, formatVersion)
			}
			all = append(all, r)
		}
		if err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, fmt.Errorf("results: line %d: %w", n, err)
		}
	}
}
