// Package progress shows the laboratory's work on a terminal: progress, and tables of results.
package progress

import (
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"pumiceline/internal/fleetsim/experiment"
)

// Bar says how far a run is: as a bar with an estimate of the time left on a terminal, as plain lines elsewhere.
type Bar struct {
	out       io.Writer
	bar       *progressbar.ProgressBar
	total     int
	done      int
	startedAt time.Time
	lastTenth int // tenths
}

// NewBar begins the progress of total plays on out.
func NewBar(out *os.File, total int) *Bar {
	p := &Bar{out: out, total: total, startedAt: time.Now()}
	if term.IsTerminal(int(out.Fd())) {
		p.bar = progressbar.NewOptions(total, progressbar.OptionSetWriter(out), progressbar.OptionSetDescription("plays"),
			progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	}
	return p
}

// Step is the end of one play.
func (p *Bar) Step() {
	p.done++
	if p.bar != nil {
		_ = p.bar.Add(1) // a bar that cannot be drawn is no reason to stop
		return
	}
	if tenths := 10 * p.done / max(1, p.total); tenths > p.lastTenth {
		p.lastTenth = tenths
		spent := time.Since(p.startedAt)
		left := time.Duration(float64(spent) * float64(p.total-p.done) / float64(p.done))
		fmt.Fprintf(p.out, "%d of %d plays, %s spent, about %s left\n", p.done, p.total, spent.Round(time.Second), left.Round(time.Second))
	}
}

// PrintTable writes one line for each point and policy: the measures with their confidence intervals.
func PrintTable(out io.Writer, results []*experiment.Result, measures []experiment.Measure) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	columns := make([][]experiment.Comparison, len(measures))
	head := "point\tpolicy"
	for i, m := range measures {
		columns[i] = experiment.Compare(results, m)
		head += "\t" + m.Name
	}
	fmt.Fprintln(w, head+"\tplays\tbroke a rule\tfailed")
	for i, c := range columns[0] {
		name := c.Point
		if name == "" {
			name = "-"
		}
		fmt.Fprintf(w, "%s\t%s", name, c.Policy)
		for k := range measures {
			fmt.Fprintf(w, "\t%v", columns[k][i].Estimate)
		}
		fmt.Fprintf(w, "\t%d\t%d\t%d\n", c.Runs, c.RunsWithViolations, c.RunsFailed)
	}
	return w.Flush()
}

// PrintDifferences writes how each policy differs from the first at its point, seed by seed.
func PrintDifferences(out io.Writer, results []*experiment.Result, m experiment.Measure) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "point\tpolicy\t%s\tless the first policy\tverdict\n", m.Name)
	for _, c := range experiment.Compare(results, m) {
		less, verdict := "", ""
		switch d := c.Difference; {
		case d.N == 0:
		case math.IsNaN(d.HalfWidth):
			less, verdict = fmt.Sprintf("%+.3f", d.Mean), "one seed says nothing"
		case math.Abs(d.Mean) <= d.HalfWidth:
			less, verdict = fmt.Sprintf("%+.3f ±%.3f", d.Mean, d.HalfWidth), "no difference shown"
		case d.Mean > 0:
			less, verdict = fmt.Sprintf("%+.3f ±%.3f", d.Mean, d.HalfWidth), "more"
		default:
			less, verdict = fmt.Sprintf("%+.3f ±%.3f", d.Mean, d.HalfWidth), "less"
		}
		name := c.Point
		if name == "" {
			name = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%s\n", name, c.Policy, c.Estimate, less, verdict)
	}
	return w.Flush()
}

// PrintResult writes one result at length.
func PrintResult(out io.Writer, r *experiment.Result) {
	fmt.Fprintf(out, "%s seed %d %s\n", r.Policy, r.Seed, r.Name())
	if r.Error != "" {
		fmt.Fprintf(out, "  ended early: %s\n", r.Error)
		return
	}
	p := r.Report
	fmt.Fprintf(out, "  G %.4f = whole %.4f, worst 10 s %.4f (from %d s), worst class %.4f, less prices %v\n", p.G, p.Overall, p.Worst10s,
		p.Worst10sStart, minValue(p.ByClass), formatPrices(p.Prices))
	fmt.Fprintf(out, "  %d requests: %d in time, %d late, %d unserved; %d refusals, %d failures\n", p.Requests, p.InTime, p.Late, p.Unserved,
		p.Answers.Rejected, p.Answers.Failed)
	fmt.Fprintf(out, "  cold: %d starts, %d fell over, %d times past the bound, at most %.2f times the capacity\n", p.ColdStarts, p.ColdOverloads,
		p.ColdBoundExceeded, p.PeakColdLoad)
	fmt.Fprintf(out, "  %.2f crossings, %.3f connections a request; %.3f of the work for nothing; %d double effects\n", p.CrossZone, p.ConnectionsOpened,
		p.WastedWork, p.RepeatedEffects)
	fmt.Fprintf(out, "  %d calls to discovery, %d failed, at most %d in a second; 95%% of the proxies' starts had their list within %.1f s\n", p.DiscoveryCalls,
		p.DiscoveryCallsFailed, p.PeakDiscoveryCalls, p.ListedWithinP95)
	fmt.Fprintf(out, "  rules broken: %v\n", p.ViolationCounts)
	for _, b := range p.Violations[:min(5, len(p.Violations))] {
		fmt.Fprintf(out, "    %v\n", b)
	}
	fmt.Fprintf(out, "  %d events, %d given to deciders, over %.1f s\n", r.Stats.Events, r.Stats.Handled, float64(r.Stats.End)/1e6)
}

func minValue(m map[string]float64) float64 {
	x := math.Inf(1)
	for _, v := range m {
		x = min(x, v)
	}
	return x
}

func formatPrices(prices map[string]float64) string {
	var words []string
	for _, k := range []string{"late_fail", "waste", "cross", "handshake", "peer"} {
		words = append(words, fmt.Sprintf("%s %.4f", k, prices[k]))
	}
	return strings.Join(words, ", ")
}
