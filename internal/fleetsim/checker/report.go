package checker

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is a play's verdict. All parts of service are shares of worth, 0 to 1.
type Report struct {
	G             float64            `json:"g"` // service less prices
	Overall       float64            `json:"whole"`
	Worst10s      float64            `json:"worst_10s"`
	Worst10sStart int                `json:"worst_at_s"` // where the worst ten seconds begin
	ByClass       map[string]float64 `json:"class"`
	ByTenant      map[string]float64 `json:"tenant"`
	Prices        map[string]float64 `json:"prices"` // what was taken off

	ViolationCounts      [4]int      `json:"broken"`             // breaches of each rule
	Violations           []Violation `json:"breaches,omitempty"` // the first of them
	RepeatedEffects      int         `json:"twice"`              // calls that had their effect more than once
	RepeatedEffectCauses []Violation `json:"twice_causes,omitempty"`

	ColdStarts        int     `json:"cold_starts"`
	ColdOverloads     int     `json:"fallen"`     // cold servers that fell over
	ColdBoundExceeded int     `json:"overdriven"` // times that the sum of all proxies went past the multiple of a cold server's capacity
	PeakColdLoad      float64 `json:"cold_peak"`  // the most that one was sent, in its capacity then

	// Requests to discovery: all, those that failed, the most within a second, and how long 95% of the proxies' starts took until their
	// first watch (seconds; -1: more than a twentieth had none).
	DiscoveryCalls       int     `json:"asks"`
	DiscoveryCallsFailed int     `json:"asks_failed"`
	PeakDiscoveryCalls   int     `json:"asks_peak"`
	ListedWithinP95      float64 `json:"listed_in_95_s"`

	Requests int `json:"calls"`
	InTime   int `json:"in_time"`
	Late     int `json:"late"`
	Unserved int `json:"unserved"`
	Answers  struct {
		Served  int `json:"served"`
		Refused int `json:"refused"`
		Failed  int `json:"failed"`
	} `json:"answers"`
	CrossZone         float64 `json:"crossed"` // attempts that crossed zones, for each call
	ConnectionsOpened float64 `json:"opened"`  // connections, for each call
	WastedWork        float64 `json:"wasted"`  // work for nothing, for each unit asked for

	ServiceBySecond []float64         `json:"service"` // by second: worth got of worth asked; -1: none asked
	LoadBands       [][]float64       `json:"bands"`   // by second: quantiles of requests held per core, over the servers
	Latency         map[string]string `json:"latency"` // by class: answers to first tries, an HdrHistogram (V2, compressed, base 64), microseconds
}

// HasNoViolations says whether no rule was broken.
func (r *Report) HasNoViolations() bool { return r.ViolationCounts == [4]int{} }

// Report sums up a play that has ended.
func (r *Checker) Report() (*Report, error) {
	rep := &r.report
	rep.Requests = int(r.requests)
	asked, got := 0.0, 0.0
	for i := range r.valueOffered {
		asked, got = asked+r.valueOffered[i], got+r.valueServed[i]
	}
	rep.Overall = servedShare(got, asked)
	rep.Worst10s = rep.Overall
	for i := 1; i+worstWindowSeconds <= len(r.valueOffered); i++ {
		a, g := 0.0, 0.0
		for k := i; k < i+worstWindowSeconds; k++ {
			a, g = a+r.valueOffered[k], g+r.valueServed[k]
		}
		if x := servedShare(g, a); x < rep.Worst10s {
			rep.Worst10s, rep.Worst10sStart = x, i
		}
	}
	rep.ByClass, rep.ByTenant, rep.Latency = map[string]float64{}, map[string]float64{}, map[string]string{}
	worstClass, worstTenant := 1.0, 1.0
	for i, c := range r.valueByClass {
		x := servedShare(c[1], c[0])
		rep.ByClass[r.scenario.Classes[i].Name] = x
		worstClass = min(worstClass, x)
		text, err := r.latencies[i].Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return nil, fmt.Errorf("referee: latencies of class %s: %w", r.scenario.Classes[i].Name, err)
		}
		rep.Latency[r.scenario.Classes[i].Name] = string(text)
	}
	for i, t := range r.valueByTenant {
		x := servedShare(t[1], t[0])
		rep.ByTenant[r.scenario.Tenants[i].Name] = x
		worstTenant = min(worstTenant, x)
	}
	if len(r.valueByTenant) == 0 {
		worstTenant = rep.Overall
	}
	firsts := max(1, r.requests)
	rep.CrossZone, rep.ConnectionsOpened, rep.WastedWork = r.crossZoneAttempts/firsts, r.connectionsOpened/firsts, r.wastedWork/max(1, r.requestedWork)
	p := &r.scenario.Prices
	rep.Prices = map[string]float64{"late_fail": p.LateFailure * ratio(r.lateFail, asked), "waste": p.WastedWork * rep.WastedWork,
		"cross": p.CrossZone * rep.CrossZone, "handshake": p.Handshake * rep.ConnectionsOpened, "peer": p.PeerMessage * r.messageBytes / 256 / firsts,
		"probe": p.Probe * r.probes / firsts}
	rep.G = goalWeights.whole*rep.Overall + goalWeights.window*rep.Worst10s + goalWeights.class*worstClass + goalWeights.tenant*worstTenant
	for _, name := range []string{"late_fail", "waste", "cross", "handshake", "peer", "probe"} { // in one order: sums must not vary
		rep.G -= rep.Prices[name]
	}
	for _, at := range r.discoveryCalls {
		rep.PeakDiscoveryCalls = max(rep.PeakDiscoveryCalls, at)
	}
	if slices.Sort(r.subscribeTimes); len(r.subscribeTimes) > 0 {
		// Starts that never had a watch stand behind all others.
		rep.ListedWithinP95 = -1
		if at := int(math.Ceil(0.95*float64(r.proxyStarts))) - 1; at < len(r.subscribeTimes) {
			rep.ListedWithinP95 = float64(r.subscribeTimes[at]) / 1e6
		}
	}
	for i := range r.valueOffered {
		x := -1.0
		if r.valueOffered[i] > 0 {
			x = r.valueServed[i] / r.valueOffered[i]
		}
		rep.ServiceBySecond = append(rep.ServiceBySecond, x)
	}
	return rep, nil
}

// servedShare is got of asked; where nothing was asked for, nothing is missing.
func servedShare(got, asked float64) float64 {
	if asked <= 0 {
		return 1
	}
	return got / asked
}

func ratio(part, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return part / of
}
