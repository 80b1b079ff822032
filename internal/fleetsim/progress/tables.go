package progress

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"pumiceline/internal/fleetsim/experiment"
)

// noPoint is shown in tables as the point of an experiment without sweeps.
const noPoint = "-"

// PrintTable writes one line for each point and policy, with the measures and their confidence intervals.
func PrintTable(out io.Writer, results []*experiment.Result, measures []experiment.Measure) error {
	w := newTable(out)
	byMeasure := make([][]experiment.Comparison, len(measures))
	header := "point\tpolicy"
	for i, m := range measures {
		byMeasure[i] = experiment.Compare(results, m)
		header += "\t" + m.Name
	}
	fmt.Fprintln(w, header+"\truns\tviolated a rule\tfailed")
	for i, c := range byMeasure[0] {
		fmt.Fprintf(w, "%s\t%s", pointOrDash(c.Point), c.Policy)
		for k := range measures {
			fmt.Fprintf(w, "\t%v", byMeasure[k][i].Estimate)
		}
		fmt.Fprintf(w, "\t%d\t%d\t%d\n", c.Runs, c.RunsWithViolations, c.RunsFailed)
	}
	return w.Flush()
}

// PrintDifferences writes each policy's mean difference from the first policy at its point, paired by seed.
func PrintDifferences(out io.Writer, results []*experiment.Result, m experiment.Measure) error {
	w := newTable(out)
	fmt.Fprintf(w, "point\tpolicy\t%s\tdifference from the first policy\tresult\n", m.Name)
	for _, c := range experiment.Compare(results, m) {
		difference, conclusion := describeDifference(c.Difference)
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\n", pointOrDash(c.Point), c.Policy, c.Estimate, difference, conclusion)
	}
	return w.Flush()
}

// describeDifference formats a difference and says whether it is significant: its 95% confidence interval excludes 0.
func describeDifference(d experiment.Estimate) (difference, conclusion string) {
	switch {
	case d.N == 0:
		return "", ""
	case math.IsNaN(d.HalfWidth):
		return fmt.Sprintf("%+.3f", d.Mean), "one seed says nothing"
	}
	difference = fmt.Sprintf("%+.3f ±%.3f", d.Mean, d.HalfWidth)
	switch {
	case math.Abs(d.Mean) <= d.HalfWidth:
		return difference, "no difference shown"
	case d.Mean > 0:
		return difference, "more"
	}
	return difference, "less"
}

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

func pointOrDash(point string) string {
	if point == "" {
		return noPoint
	}
	return point
}
