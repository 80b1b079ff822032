package checker

import (
	"fmt"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run. All figures of service are shares of the offered value, from 0 to 1. Results files
// have the fields in the order of this struct.
type Report struct {
	G             float64            `json:"g"` // service less prices
	Overall       float64            `json:"whole"`
	Worst10s      float64            `json:"worst_10s"`
	Worst10sStart int                `json:"worst_at_s"` // second in which the worst ten seconds begin
	ByClass       map[string]float64 `json:"class"`
	ByTenant      map[string]float64 `json:"tenant"` // of requests within the tenant's quota
	Prices        map[string]float64 `json:"prices"` // subtracted from the service

	ViolationCounts      [ruleCount]int `json:"broken"`             // by rule
	Violations           []Violation    `json:"breaches,omitempty"` // the first maxViolationsKept
	RepeatedEffects      int            `json:"twice"`              // number of repeated effects
	RepeatedEffectCauses []Violation    `json:"twice_causes,omitempty"`

	ColdStarts        int     `json:"cold_starts"`
	ColdOverloads     int     `json:"fallen"`     // cold servers that crashed from overload
	ColdBoundExceeded int     `json:"overdriven"` // how often the work from all proxies exceeded a cold server's bound
	PeakColdLoad      float64 `json:"cold_peak"`  // the most work of a cold server, in its capacity then

	DiscoveryCalls       int     `json:"asks"`
	DiscoveryCallsFailed int     `json:"asks_failed"`
	PeakDiscoveryCalls   int     `json:"asks_peak"`      // in the busiest second
	ListedWithinP95      float64 `json:"listed_in_95_s"` // seconds until 95% of proxy starts had a watch; -1: never

	Requests  int            `json:"calls"` // of clients, each counted once
	InTime    int            `json:"in_time"`
	Late      int            `json:"late"`
	Unserved  int            `json:"unserved"`
	Responses ResponseCounts `json:"answers"`

	CrossZone         float64 `json:"crossed"` // attempts that crossed zones, for each request
	ConnectionsOpened float64 `json:"opened"`  // for each request
	WastedWork        float64 `json:"wasted"`  // work without a used response, for each unit of requested work

	ServiceBySecond []float64         `json:"service"` // -1: no value was offered
	LoadBands       [][]float64       `json:"bands"`   // by second, then by LoadBand: requests per core, over the servers
	Latency         map[string]string `json:"latency"` // by class, of served requests: see reportLatencies
}

// ResponseCounts counts the final responses of proxies.
type ResponseCounts struct {
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
}

// HasNoViolations says whether all rules were kept.
func (r *Report) HasNoViolations() bool { return r.ViolationCounts == [ruleCount]int{} }

// serviceWeights are the operators' weights of the parts of service: the whole run, the worst ten seconds, the
// worst-served class, and the worst-served tenant within its quota.
var serviceWeights = struct{ overall, worst10s, class, tenant float64 }{0.25, 0.45, 0.2, 0.1}

const (
	worstWindowSeconds    = 10
	peerMessagePriceBytes = 256
)

// Report sums up a run that has ended. It fails only if a histogram cannot be encoded.
func (c *Checker) Report() (*Report, error) {
	report := &c.report
	report.Requests = int(c.requests)
	total := valueSum{}
	for i := range c.valueOffered {
		total.add(c.valueOffered[i], c.valueServed[i])
	}
	report.Overall = total.share()
	report.Worst10s, report.Worst10sStart = c.worstWindow(report.Overall)
	worstClass := c.reportClasses()
	worstTenant := c.reportTenants()
	c.reportPrices(total.offered)
	report.G = serviceWeights.overall*report.Overall + serviceWeights.worst10s*report.Worst10s +
		serviceWeights.class*worstClass + serviceWeights.tenant*worstTenant
	// The order is fixed because it affects the rounding.
	for _, name := range []string{"late_fail", "waste", "cross", "handshake", "peer", "probe"} {
		report.G -= report.Prices[name]
	}
	c.reportDiscovery()
	for i := range c.valueOffered {
		service := -1.0
		if c.valueOffered[i] > 0 {
			service = c.valueServed[i] / c.valueOffered[i]
		}
		report.ServiceBySecond = append(report.ServiceBySecond, service)
	}
	if err := c.reportLatencies(); err != nil {
		return nil, err
	}
	return report, nil
}

// worstWindow returns the service of the worst ten seconds and the second in which they begin. It returns the service
// of the whole run and 0 if no ten seconds are worse.
func (c *Checker) worstWindow(overall float64) (service float64, start int) {
	service = overall
	for i := 1; i+worstWindowSeconds <= len(c.valueOffered); i++ {
		window := valueSum{}
		for k := i; k < i+worstWindowSeconds; k++ {
			window.add(c.valueOffered[k], c.valueServed[k])
		}
		if x := window.share(); x < service {
			service, start = x, i
		}
	}
	return service, start
}

func (c *Checker) reportClasses() (worst float64) {
	c.report.ByClass = map[string]float64{}
	worst = 1.0
	for i := range c.valueByClass {
		share := c.valueByClass[i].share()
		c.report.ByClass[c.scenario.Classes[i].Name] = share
		worst = min(worst, share)
	}
	return worst
}

func (c *Checker) reportTenants() (worst float64) {
	c.report.ByTenant = map[string]float64{}
	if len(c.valueByTenant) == 0 {
		return c.report.Overall
	}
	worst = 1.0
	for i := range c.valueByTenant {
		share := c.valueByTenant[i].share()
		c.report.ByTenant[c.scenario.Tenants[i].Name] = share
		worst = min(worst, share)
	}
	return worst
}

// reportLatencies encodes each class's latencies, in microseconds, in HdrHistogram's format (V2, compressed, base 64).
func (c *Checker) reportLatencies() error {
	c.report.Latency = map[string]string{}
	for i, histogram := range c.latencies {
		class := c.scenario.Classes[i].Name
		text, err := histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return fmt.Errorf("encode latencies of class %s: %w", class, err)
		}
		c.report.Latency[class] = string(text)
	}
	return nil
}

// reportPrices sets the prices, which are subtracted from the service, and the figures that they depend on.
func (c *Checker) reportPrices(offered float64) {
	report, prices, requests := &c.report, &c.scenario.Prices, max(1, c.requests)
	report.CrossZone, report.ConnectionsOpened = c.crossZoneAttempts/requests, c.connectionsOpened/requests
	report.WastedWork = c.wastedWork / max(1, c.requestedWork)
	lateFailures := 0.0
	if offered > 0 {
		lateFailures = c.lateFailure / offered
	}
	report.Prices = map[string]float64{"late_fail": prices.LateFailure * lateFailures,
		"waste": prices.WastedWork * report.WastedWork,
		"cross": prices.CrossZone * report.CrossZone, "handshake": prices.Handshake * report.ConnectionsOpened,
		"peer":  prices.PeerMessage * c.messageBytes / peerMessagePriceBytes / requests,
		"probe": prices.LoadPoll * c.loadPolls / requests}
}

func (c *Checker) reportDiscovery() {
	for _, calls := range c.discoveryCalls {
		c.report.PeakDiscoveryCalls = max(c.report.PeakDiscoveryCalls, calls)
	}
	if len(c.subscribeTimes) == 0 {
		return
	}
	slices.Sort(c.subscribeTimes)
	c.report.ListedWithinP95 = -1 // unless 95% got a watch: starts that never got one count as the slowest
	if rank := int(math.Ceil(0.95*float64(c.proxyStarts))) - 1; rank < len(c.subscribeTimes) {
		c.report.ListedWithinP95 = seconds(c.subscribeTimes[rank])
	}
}

// share returns the share of the offered value that was served, or 1 if none was offered.
func (v valueSum) share() float64 {
	if v.offered <= 0 {
		return 1
	}
	return v.served / v.offered
}
