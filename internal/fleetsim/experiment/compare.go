package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Measure is a figure of a play that is compared and plotted.
type Measure struct {
	Name  string // as on the command line
	Text  string // as in tables and on axes
	Value func(r *Result) float64
}

// Measures are the figures that can be asked for.
var Measures = []Measure{
	{"g", "service less prices (G)", func(r *Result) float64 { return r.Report.G }},
	{"whole", "service, whole run", func(r *Result) float64 { return r.Report.Overall }},
	{"worst", "service, worst 10 s", func(r *Result) float64 { return r.Report.Worst10s }},
	{"broken", "rules broken, times", func(r *Result) float64 {
		n := 0
		for _, b := range r.Report.ViolationCounts {
			n += b
		}
		return float64(n)
	}},
	{"cold-peak", "most sent to a cold server, in its capacity", func(r *Result) float64 { return r.Report.PeakColdLoad }},
	{"overdriven", "times past a cold server's bound, for each start", func(r *Result) float64 {
		return float64(r.Report.ColdBoundExceeded) / math.Max(1, float64(r.Report.ColdStarts))
	}},
	{"fallen", "cold servers that fell over, share", func(r *Result) float64 {
		return float64(r.Report.ColdOverloads) / math.Max(1, float64(r.Report.ColdStarts))
	}},
	{"crossed", "attempts across zones, for each request", func(r *Result) float64 { return r.Report.CrossZone }},
	{"asks", "calls to discovery", func(r *Result) float64 { return float64(r.Report.DiscoveryCalls) }},
	{"asks_failed", "calls to discovery that failed", func(r *Result) float64 { return float64(r.Report.DiscoveryCallsFailed) }},
	{"asks_peak", "calls to discovery in the worst second", func(r *Result) float64 { return float64(r.Report.PeakDiscoveryCalls) }},
	{"listed_in_95", "seconds until 95% of the proxies' starts had their list", func(r *Result) float64 { return r.Report.ListedWithinP95 }},
	{"opened", "connections opened, for each request", func(r *Result) float64 { return r.Report.ConnectionsOpened }},
	{"wasted", "work for nothing, share of that asked for", func(r *Result) float64 { return r.Report.WastedWork }},
	{"refused", "refusals, for each request", func(r *Result) float64 {
		return float64(r.Report.Answers.Rejected) / math.Max(1, float64(r.Report.Requests))
	}},
	{"twice", "requests that had their effect twice", func(r *Result) float64 { return float64(r.Report.RepeatedEffects) }},
}

// MeasureByName finds a measure by name.
func MeasureByName(name string) (Measure, error) {
	for _, m := range Measures {
		if m.Name == name {
			return m, nil
		}
	}
	return Measure{}, fmt.Errorf("there is no measure %q", name)
}

// Estimate is a mean over seeds with the half width of its 95% confidence interval by Student's t; the half width is NaN
// where there is one seed.
type Estimate struct {
	Mean, HalfWidth float64
	N               int
}

func (e Estimate) String() string {
	if math.IsNaN(e.HalfWidth) {
		return fmt.Sprintf("%.3f", e.Mean)
	}
	return fmt.Sprintf("%.3f ±%.3f", e.Mean, e.HalfWidth)
}

// NewEstimate is the estimate from independent values.
func NewEstimate(values []float64) Estimate {
	e := Estimate{N: len(values), Mean: math.NaN(), HalfWidth: math.NaN()}
	if e.N == 0 {
		return e
	}
	e.Mean = stat.Mean(values, nil)
	if e.N > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(e.N - 1)}.Quantile(0.975)
		e.HalfWidth = t * stat.StdDev(values, nil) / math.Sqrt(float64(e.N))
	}
	return e
}

// Comparison is what one policy came to at one point.
type Comparison struct {
	Point              string
	Axes               []Setting
	Policy             string
	Estimate           Estimate
	Difference         Estimate // less the first policy, seed by seed; N is 0 for the first itself
	RunsWithViolations int      // plays in which a rule was broken
	RunsFailed         int      // plays that ended early
	Runs               int
	Values             []float64
}

// Compare sums up results by point and policy, in their order. Differences are paired: the same seed gives all policies
// the same clients, servers and troubles, so what these have in common drops out.
func Compare(results []*Result, m Measure) []Comparison {
	type place struct{ point, policy string }
	type seeded struct {
		point string
		seed  uint64
	}
	var cells []*Comparison
	at, base, first := map[place]*Comparison{}, map[seeded]float64{}, map[string]string{}
	diffs := map[*Comparison][]float64{}
	for _, r := range results {
		name := r.Name()
		if _, ok := first[name]; !ok {
			first[name] = r.Policy
		}
		c := at[place{name, r.Policy}]
		if c == nil {
			c = &Comparison{Point: name, Axes: r.Point, Policy: r.Policy}
			at[place{name, r.Policy}] = c
			cells = append(cells, c)
		}
		c.Runs++
		if r.Report == nil {
			c.RunsFailed++
			continue
		}
		if !r.Report.HasNoViolations() {
			c.RunsWithViolations++
		}
		v := m.Value(r)
		c.Values = append(c.Values, v)
		if r.Policy == first[name] {
			base[seeded{name, r.Seed}] = v
		} else if b, ok := base[seeded{name, r.Seed}]; ok {
			diffs[c] = append(diffs[c], v-b)
		}
	}
	out := make([]Comparison, len(cells))
	for i, c := range cells {
		c.Estimate, c.Difference = NewEstimate(c.Values), NewEstimate(diffs[c])
		out[i] = *c
	}
	return out
}
