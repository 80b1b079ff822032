package experiment

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
)

// Simulate runs the result's scenario with its policy and seed, and sets Stats, Report and Error. The trace, if not
// nil, also observes each record.
func (r *Result) Simulate(trace model.Observer) {
	outcome := Simulate(&r.Scenario, r.Policy, r.Seed, trace)
	r.Stats, r.Report, r.Error = outcome.Stats, outcome.Report, ""
	if outcome.Err != nil {
		r.Error = outcome.Err.Error()
	}
}

// Outcome is the outcome of one run.
type Outcome struct {
	Stats  model.Stats
	Report *checker.Report // nil if the run ended early
	Err    error           // why the run ended early
}

// ErrUnknownPolicy is wrapped by the error for a policy name that Policies does not have.
var ErrUnknownPolicy = errors.New("there is no policy")

// Simulate runs a scenario once under a checker. The trace, if not nil, also observes each record. A panic of a
// policy becomes the error of this run, so that the other runs of an experiment continue.
func Simulate(scenario *model.Scenario, policyName string, seed uint64, trace model.Observer) (outcome Outcome) {
	defer func() {
		if p := recover(); p != nil {
			outcome.Report, outcome.Err = nil, fmt.Errorf("panic: %v at %s", p, panicSite(debug.Stack()))
		}
	}()
	newNode := Policies()[policyName]
	if newNode == nil {
		return Outcome{Err: fmt.Errorf("%w %q", ErrUnknownPolicy, policyName)}
	}
	check := checker.New(scenario)
	var observer model.Observer = check
	if trace != nil {
		observer = teeObserver{check, trace}
	}
	outcome.Stats, outcome.Err = model.Run(scenario, seed, newNode, observer)
	if outcome.Err != nil {
		return outcome
	}
	outcome.Report, outcome.Err = check.Report()
	return outcome
}

// panicSite returns the name of the first function of this project below the panic in a stack trace. It leaves out
// addresses, which would differ from run to run.
func panicSite(stack []byte) string {
	lines := strings.Split(string(stack), "\n")
	for i, line := range lines {
		if !strings.HasPrefix(line, "panic(") {
			continue
		}
		for _, below := range lines[i+1:] {
			if name, _, ok := strings.Cut(below, "("); ok && strings.HasPrefix(name, "pumiceline/") {
				return name
			}
		}
	}
	return "an unknown place"
}
