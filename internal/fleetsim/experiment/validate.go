package experiment

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/tomlfile"
)

// maxRuns is the highest number of runs of an experiment. More are likely a mistake in the file, and would take too
// long to finish.
const maxRuns = 20_000

// errorAt returns an error for a key of the file, with its line.
func (e *Experiment) errorAt(key, why string, args ...any) error {
	return &tomlfile.Error{File: e.File, Line: e.keys.Line(key), Key: key, Reason: fmt.Sprintf(why, args...)}
}

func (e *Experiment) validate() error {
	for _, check := range []func() error{e.validateUnits, e.validatePolicies, e.validateSweeps, e.validatePoints} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// validateUnits rejects times without a unit, which would be read as microseconds.
func (e *Experiment) validateUnits() error {
	for _, key := range e.keys.BareNumbers {
		path, isOfScenario := strings.CutPrefix(key, scenarioPrefix)
		if !isOfScenario {
			continue
		}
		if field, err := resolve(&e.Scenario, path); err == nil && field.Type() == reflect.TypeFor[model.Span]() {
			return e.errorAt(key, "is a time and has no unit: write it as \"250ms\"")
		}
	}
	return nil
}

func (e *Experiment) validatePolicies() error {
	known := Policies()
	for _, name := range e.Policies {
		if known[name] == nil {
			return e.errorAt("policies", "%q is none of %s", name, strings.Join(slices.Sorted(maps.Keys(known)), ", "))
		}
	}
	switch {
	case len(e.Policies) == 0:
		return e.errorAt("policies", "names none")
	case len(e.Seeds) == 0:
		return e.errorAt("seeds", "names none")
	}
	return nil
}

func (e *Experiment) validateSweeps() error {
	runs := len(e.Policies) * len(e.Seeds)
	for i, s := range e.Sweeps {
		at := fmt.Sprintf("sweep.%d.", i)
		if s.Key == "" || len(s.Values) == 0 {
			return e.errorAt(at+"key", "a sweep needs key and values")
		}
		for key, values := range s.With {
			if len(values) != len(s.Values) {
				return e.errorAt(at+"with."+key, "%d values, where %s has %d", len(values), s.Key, len(s.Values))
			}
		}
		if runs *= len(s.Values); runs > maxRuns {
			return e.errorAt(at+"values", "over %d runs in all", maxRuns)
		}
	}
	return nil
}

// validatePoints validates the scenario of every point. An error in a swept value is reported at the sweep's values.
func (e *Experiment) validatePoints() error {
	points, err := e.Points()
	if err != nil {
		return err
	}
	for _, p := range points {
		err := p.Scenario.Validate()
		if err == nil {
			continue
		}
		var field *model.FieldError
		if !errors.As(err, &field) {
			return err
		}
		key := scenarioPrefix + field.Path
		if slices.ContainsFunc(p.Settings, func(s Setting) bool { return s.Key == key }) {
			return e.errorAt(e.sweptKey(key), "at %s: %s", p.Name(), field.Why)
		}
		return e.errorAt(key, "%s", field.Why)
	}
	return nil
}

// sweptKey returns the path of the values of the sweep that varies a key, or the key itself if no sweep does.
func (e *Experiment) sweptKey(key string) string {
	for i, s := range e.Sweeps {
		if _, with := s.With[key]; with || s.Key == key {
			return fmt.Sprintf("sweep.%d.values", i)
		}
	}
	return key
}
