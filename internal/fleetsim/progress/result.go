package progress

import (
	"fmt"
	"io"
	"math"
	"strings"

	"pumiceline/internal/fleetsim/experiment"
)

// maxViolationsShown is the highest number of violations of a run that PrintResult lists.
const maxViolationsShown = 5

// PrintResult writes one result with all its figures but latencies and series by second.
func PrintResult(out io.Writer, r *experiment.Result) {
	fmt.Fprintf(out, "%s seed %d %s\n", r.Policy, r.Seed, r.PointName())
	if r.Error != "" {
		fmt.Fprintf(out, "  ended early: %s\n", r.Error)
		return
	}
	p := r.Report
	fmt.Fprintf(out, "  G %.4f = whole run %.4f, worst 10 s %.4f (from %d s), worst class %.4f, less prices %v\n",
		p.G, p.Overall, p.Worst10s, p.Worst10sStart, minValue(p.ByClass), formatPrices(p.Prices))
	fmt.Fprintf(out, "  %d requests: %d in time, %d late, %d unserved; %d rejections, %d failures\n",
		p.Requests, p.InTime, p.Late, p.Unserved, p.Responses.Rejected, p.Responses.Failed)
	fmt.Fprintf(out, "  cold: %d starts, %d crashed from overload, %d times past the bound, at most %.2f times the capacity\n",
		p.ColdStarts, p.ColdOverloads, p.ColdBoundExceeded, p.PeakColdLoad)
	fmt.Fprintf(out, "  %.2f zone crossings, %.3f connections a request; %.3f of the work wasted; %d repeated effects\n",
		p.CrossZone, p.ConnectionsOpened, p.WastedWork, p.RepeatedEffects)
	fmt.Fprintf(out, "  %d calls to discovery, %d failed, at most %d in a second; "+
		"95%% of the proxies' starts had their list within %.1f s\n",
		p.DiscoveryCalls, p.DiscoveryCallsFailed, p.PeakDiscoveryCalls, p.ListedWithinP95)
	fmt.Fprintf(out, "  violations by rule: %v\n", p.ViolationCounts)
	for _, v := range p.Violations[:min(maxViolationsShown, len(p.Violations))] {
		fmt.Fprintf(out, "    %v\n", v)
	}
	fmt.Fprintf(out, "  %d events, %d handled by policies, over %.1f s\n", r.Stats.Events, r.Stats.Handled,
		float64(r.Stats.End)/1e6)
}

func minValue(m map[string]float64) float64 {
	least := math.Inf(1)
	for _, v := range m {
		least = min(least, v)
	}
	return least
}

// formatPrices lists prices that were subtracted from the service, in a fixed order. It leaves out the price of load
// polls.
func formatPrices(prices map[string]float64) string {
	var words []string
	for _, name := range []string{"late_fail", "waste", "cross", "handshake", "peer"} {
		words = append(words, fmt.Sprintf("%s %.4f", name, prices[name]))
	}
	return strings.Join(words, ", ")
}
