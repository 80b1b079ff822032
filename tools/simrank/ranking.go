package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"pumiceline/internal/fleetsim/plots"
)

// ranking has the rank correlations between both simulators, over all measurements and in each scenario.
type ranking struct {
	Correlation  float64            `json:"all"`
	Measurements []measurement      `json:"points"`
	ByScenario   map[string]float64 `json:"within"`
}

func newRanking(measurements []measurement) *ranking {
	r := &ranking{Measurements: measurements, ByScenario: map[string]float64{}}
	r.Correlation = rankCorrelation(measurements)
	for _, name := range r.scenarios() {
		r.ByScenario[name] = rankCorrelation(r.measurementsOf(name))
	}
	return r
}

// scenarios returns the scenarios in the order of the measurements.
func (r *ranking) scenarios() (names []string) {
	for _, m := range r.Measurements {
		if !slices.Contains(names, m.Scenario) {
			names = append(names, m.Scenario)
		}
	}
	return names
}

// measurementsOf returns the measurements of one scenario.
func (r *ranking) measurementsOf(scenario string) (measurements []measurement) {
	for _, m := range r.Measurements {
		if m.Scenario == scenario {
			measurements = append(measurements, m)
		}
	}
	return measurements
}

// report prints the ranking, and saves a plot and the figures of a deployment into a folder.
func (r *ranking) report(deployment, folder string) error {
	if err := r.print(os.Stdout); err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("make folder of plots: %w", err)
	}
	if err := r.plot(deployment, folder); err != nil {
		return fmt.Errorf("plot ranking: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode ranking: %w", err)
	}
	return os.WriteFile(filepath.Join(folder, "ranking-"+deployment+".json"), append(text, '\n'), 0o644)
}

func (r *ranking) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "world\tvariant\tsimulator\tlaboratory")
	for _, m := range r.Measurements {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\n", m.Scenario, m.Variant, m.Simulator, m.Fleetsim)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "rank correlation over %d variants: %.3f\n", len(r.Measurements), r.Correlation)
	for _, name := range r.scenarios() {
		fmt.Fprintf(out, "  within %s, %d variants: %.3f\n", name, len(r.measurementsOf(name)), r.ByScenario[name])
	}
	return nil
}

func (r *ranking) plot(deployment, folder string) error {
	var points []plots.ScatterPoint
	for _, m := range r.Measurements {
		points = append(points, plots.ScatterPoint{X: m.Simulator, Y: m.Fleetsim, Group: m.Scenario})
	}
	figure, err := plots.Scatter("ranking-"+deployment, plots.ScatterLabels{
		Title: "Service that both simulators give the same variant", X: "operators' simulator, G", Y: "fleetsim, G"}, points)
	if err != nil {
		return err
	}
	return figure.Save(folder)
}

// rankCorrelation returns the rank correlation between the service (G) on both simulators.
func rankCorrelation(measurements []measurement) float64 {
	var simulator, fleetsim []float64
	for _, m := range measurements {
		simulator, fleetsim = append(simulator, m.Simulator), append(fleetsim, m.Fleetsim)
	}
	return spearman(simulator, fleetsim)
}

// spearman returns Spearman's rank correlation of two lists, with mean ranks for ties.
func spearman(a, b []float64) float64 { return stat.Correlation(ranks(a), ranks(b), nil) }

// ranks returns the rank of each value in ascending order, from 0; equal values have the mean of their ranks.
func ranks(values []float64) []float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(values[i], values[j]) })
	ranks := make([]float64, len(values))
	for first := 0; first < len(order); {
		end := first
		for end < len(order) && values[order[end]] == values[order[first]] {
			end++
		}
		for k := first; k < end; k++ {
			ranks[order[k]] = float64(first+end-1) / 2
		}
		first = end
	}
	return ranks
}
