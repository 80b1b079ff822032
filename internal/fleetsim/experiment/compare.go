package experiment

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean over seeds with the half width of its 95% confidence interval by Student's t.
type Estimate struct {
	Mean      float64
	HalfWidth float64 // NaN where there are fewer than two values
	N         int     // values
}

// String returns the mean, followed by the half width if there is one.
func (e Estimate) String() string {
	if math.IsNaN(e.HalfWidth) {
		return fmt.Sprintf("%.3f", e.Mean)
	}
	return fmt.Sprintf("%.3f ±%.3f", e.Mean, e.HalfWidth)
}

// upperQuantile is the upper quantile of a two-sided 95% interval.
const upperQuantile = 0.975

// NewEstimate returns the estimate from independent values.
func NewEstimate(values []float64) Estimate {
	e := Estimate{N: len(values), Mean: math.NaN(), HalfWidth: math.NaN()}
	if e.N == 0 {
		return e
	}
	e.Mean = stat.Mean(values, nil)
	if e.N > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(e.N - 1)}.Quantile(upperQuantile)
		e.HalfWidth = t * stat.StdDev(values, nil) / math.Sqrt(float64(e.N))
	}
	return e
}

// Comparison is the result of one policy at one point, over its seeds.
type Comparison struct {
	Point              string
	Axes               []Setting
	Policy             string
	Estimate           Estimate
	Difference         Estimate // to the first policy, paired by seed; N is 0 for the first policy itself
	Runs               int
	RunsWithViolations int
	RunsFailed         int // runs that ended early and have no report
	Values             []float64
}

// comparisons collects results by point and policy.
type comparisons struct {
	measure     Measure
	ordered     []*Comparison
	byPolicy    map[policyAtPoint]*Comparison
	firstPolicy map[string]string // by point
	baseValues  map[seedAtPoint]float64
	differences map[*Comparison][]float64
}

type policyAtPoint struct{ point, policy string }

type seedAtPoint struct {
	point string
	seed  uint64
}

// Compare groups results by point and policy, in the order of their first results. Differences are paired by seed: the
// same seed gives all policies the same clients, servers and faults, so the variation that they cause cancels out.
func Compare(results []*Result, m Measure) []Comparison {
	all := comparisons{measure: m, byPolicy: map[policyAtPoint]*Comparison{}, firstPolicy: map[string]string{},
		baseValues: map[seedAtPoint]float64{}, differences: map[*Comparison][]float64{}}
	for _, r := range results {
		all.add(r)
	}
	out := make([]Comparison, len(all.ordered))
	for i, c := range all.ordered {
		c.Estimate, c.Difference = NewEstimate(c.Values), NewEstimate(all.differences[c])
		out[i] = *c
	}
	return out
}

func (a *comparisons) add(r *Result) {
	c := a.comparisonOf(r)
	c.Runs++
	if r.Report == nil {
		c.RunsFailed++
		return
	}
	if !r.Report.HasNoViolations() {
		c.RunsWithViolations++
	}
	value := a.measure.Value(r)
	c.Values = append(c.Values, value)
	key := seedAtPoint{c.Point, r.Seed}
	if r.Policy == a.firstPolicy[c.Point] {
		a.baseValues[key] = value
	} else if base, ok := a.baseValues[key]; ok {
		a.differences[c] = append(a.differences[c], value-base)
	}
}

// comparisonOf returns the comparison that a result belongs to.
func (a *comparisons) comparisonOf(r *Result) *Comparison {
	point := r.PointName()
	if _, ok := a.firstPolicy[point]; !ok {
		a.firstPolicy[point] = r.Policy
	}
	key := policyAtPoint{point, r.Policy}
	if a.byPolicy[key] == nil {
		c := &Comparison{Point: point, Axes: r.Point, Policy: r.Policy}
		a.byPolicy[key] = c
		a.ordered = append(a.ordered, c)
	}
	return a.byPolicy[key]
}
