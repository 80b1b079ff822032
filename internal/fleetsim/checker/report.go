package checker

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is a play's verdict. All parts of service are shares of worth, 0 to 1.
type Report struct {
	G        float64            `json:"g"` // service less prices
	Whole    float64            `json:"whole"`
	Worst10s float64            `json:"worst_10s"`
	WorstAt  int                `json:"worst_at_s"` // where the worst ten seconds begin
	Class    map[string]float64 `json:"class"`
	Tenant   map[string]float64 `json:"tenant"`
	Prices   map[string]float64 `json:"prices"` // what was taken off

	Broken      [4]int   `json:"broken"`             // breaches of each rule
	Breaches    []Breach `json:"breaches,omitempty"` // the first of them
	Twice       int      `json:"twice"`              // calls that had their effect more than once
	TwiceCauses []Breach `json:"twice_causes,omitempty"`

	ColdStarts int     `json:"cold_starts"`
	Fallen     int     `json:"fallen"`     // cold servers that fell over
	Overdriven int     `json:"overdriven"` // times that the sum of all proxies went past the multiple of a cold server's capacity
	ColdPeak   float64 `json:"cold_peak"`  // the most that one was sent, in its capacity then

	// Calls to discovery: all, those that failed, the most within a second, and how long 95% of the proxies' starts took until their
	// first watch (seconds; -1: more than a twentieth had none).
	Asks       int     `json:"asks"`
	AsksFailed int     `json:"asks_failed"`
	AsksPeak   int     `json:"asks_peak"`
	ListedIn95 float64 `json:"listed_in_95_s"`

	Calls    int `json:"calls"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Unserved int `json:"unserved"`
	Answers  struct {
		Served  int `json:"served"`
		Refused int `json:"refused"`
		Failed  int `json:"failed"`
	} `json:"answers"`
	Crossed float64 `json:"crossed"` // attempts that crossed zones, for each call
	Opened  float64 `json:"opened"`  // connections, for each call
	Wasted  float64 `json:"wasted"`  // work for nothing, for each unit asked for

	Service []float64         `json:"service"` // by second: worth got of worth asked; -1: none asked
	Bands   [][]float64       `json:"bands"`   // by second: quantiles of requests held per core, over the servers
	Latency map[string]string `json:"latency"` // by class: answers to first tries, an HdrHistogram (V2, compressed, base 64), microseconds
}

// Kept says whether no rule was broken.
func (r *Report) Kept() bool { return r.Broken == [4]int{} }

// Report sums up a play that has ended.
func (r *Referee) Report() (*Report, error) {
	rep := &r.rep
	rep.Calls = int(r.firsts)
	asked, got := 0.0, 0.0
	for i := range r.asked {
		asked, got = asked+r.asked[i], got+r.got[i]
	}
	rep.Whole = ratio(got, asked)
	rep.Worst10s = rep.Whole
	for i := 1; i+windowSecs <= len(r.asked); i++ {
		a, g := 0.0, 0.0
		for k := i; k < i+windowSecs; k++ {
			a, g = a+r.asked[k], g+r.got[k]
		}
		if x := ratio(g, a); x < rep.Worst10s {
			rep.Worst10s, rep.WorstAt = x, i
		}
	}
	rep.Class, rep.Tenant, rep.Latency = map[string]float64{}, map[string]float64{}, map[string]string{}
	worstClass, worstTenant := 1.0, 1.0
	for i, c := range r.class {
		x := ratio(c[1], c[0])
		rep.Class[r.w.Classes[i].Name] = x
		worstClass = min(worstClass, x)
		text, err := r.hist[i].Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, fmt.Errorf("referee: latencies of class %s: %w", r.w.Classes[i].Name, err)
		}
		rep.Latency[r.w.Classes[i].Name] = string(text)
	}
	for i, t := range r.tenant {
		x := ratio(t[1], t[0])
		rep.Tenant[r.w.Tenants[i].Name] = x
		worstTenant = min(worstTenant, x)
	}
	if len(r.tenant) == 0 {
		worstTenant = rep.Whole
	}
	firsts := max(1, r.firsts)
	rep.Crossed, rep.Opened, rep.Wasted = r.crossed/firsts, r.opened/firsts, r.waste/max(1, r.work)
	p := &r.w.Prices
	rep.Prices = map[string]float64{"late_fail": p.LateFail * ratio0(r.lateFail, asked), "waste": p.Waste * rep.Wasted,
		"cross": p.Cross * rep.Crossed, "handshake": p.Handshake * rep.Opened, "peer": p.Peer * r.peer / 256 / firsts,
		"probe": p.Probe * r.probes / firsts}
	rep.G = goal.whole*rep.Whole + goal.window*rep.Worst10s + goal.class*worstClass + goal.tenant*worstTenant
	for _, name := range []string{"late_fail", "waste", "cross", "handshake", "peer", "probe"} { // in one order: sums must not vary
		rep.G -= rep.Prices[name]
	}
	for _, at := range r.askedIn {
		rep.AsksPeak = max(rep.AsksPeak, at)
	}
	if slices.Sort(r.waits); len(r.waits) > 0 {
		// Starts that never had a watch stand behind all others.
		rep.ListedIn95 = -1
		if at := int(math.Ceil(0.95*float64(r.beginnings))) - 1; at < len(r.waits) {
			rep.ListedIn95 = float64(r.waits[at]) / 1e6
		}
	}
	for i := range r.asked {
		x := -1.0
		if r.asked[i] > 0 {
			x = r.got[i] / r.asked[i]
		}
		rep.Service = append(rep.Service, x)
	}
	return rep, nil
}

// ratio is got of asked; where nothing was asked for, nothing is missing.
func ratio(got, asked float64) float64 {
	if asked <= 0 {
		return 1
	}
	return got / asked
}

func ratio0(part, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return part / of
}
