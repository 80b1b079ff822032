package experiment

import (
	"errors"
	"fmt"
	"math"
)

// Measure is a figure of a run that is compared and plotted.
type Measure struct {
	Name  string // on the command line
	Text  string // in tables and on axes
	Value func(r *Result) float64
}

// Measures are all measures that the command line accepts.
var Measures = []Measure{
	{"g", "service less prices (G)", func(r *Result) float64 { return r.Report.G }},
	{"whole", "service, whole run", func(r *Result) float64 { return r.Report.Overall }},
	{"worst", "service, worst 10 s", func(r *Result) float64 { return r.Report.Worst10s }},
	{"broken", "rule violations", violations},
	{"cold-peak", "most work sent to a cold server, in its capacity",
		func(r *Result) float64 { return r.Report.PeakColdLoad }},
	{"overdriven", "times past a cold server's bound, per start", func(r *Result) float64 {
		return ratio(r.Report.ColdBoundExceeded, r.Report.ColdStarts)
	}},
	{"fallen", "cold servers that crashed from overload, share", func(r *Result) float64 {
		return ratio(r.Report.ColdOverloads, r.Report.ColdStarts)
	}},
	{"crossed", "attempts across zones, per request", func(r *Result) float64 { return r.Report.CrossZone }},
	{"asks", "calls to discovery", func(r *Result) float64 { return float64(r.Report.DiscoveryCalls) }},
	{"asks_failed", "calls to discovery that failed",
		func(r *Result) float64 { return float64(r.Report.DiscoveryCallsFailed) }},
	{"asks_peak", "calls to discovery in the worst second",
		func(r *Result) float64 { return float64(r.Report.PeakDiscoveryCalls) }},
	{"listed_in_95", "seconds until 95% of the proxies' starts had their list",
		func(r *Result) float64 { return r.Report.ListedWithinP95 }},
	{"opened", "connections opened, per request", func(r *Result) float64 { return r.Report.ConnectionsOpened }},
	{"wasted", "work without a used answer, share of the requested work",
		func(r *Result) float64 { return r.Report.WastedWork }},
	{"refused", "rejections, per request",
		func(r *Result) float64 { return ratio(r.Report.Responses.Rejected, r.Report.Requests) }},
	{"twice", "requests that had their effect again", func(r *Result) float64 { return float64(r.Report.RepeatedEffects) }},
}

// ErrUnknownMeasure is returned for a name that Measures does not have.
var ErrUnknownMeasure = errors.New("there is no measure")

// MeasureByName returns the measure with that name, or an error that wraps ErrUnknownMeasure.
func MeasureByName(name string) (Measure, error) {
	for _, m := range Measures {
		if m.Name == name {
			return m, nil
		}
	}
	return Measure{}, fmt.Errorf("%w %q", ErrUnknownMeasure, name)
}

func violations(r *Result) float64 {
	n := 0
	for _, count := range r.Report.ViolationCounts {
		n += count
	}
	return float64(n)
}

func ratio(part, of int) float64 { return float64(part) / math.Max(1, float64(of)) }
