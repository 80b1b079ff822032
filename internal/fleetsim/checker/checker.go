// Package checker evaluates a run of the simulator from its records alone, and not from what a policy reports about
// itself. It lists violations of the four rules with time, request and cause, and computes the service that clients
// got.
package checker

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// Time is in microseconds.
type Time = model.Time

const (
	microsPerSecond = 1_000_000
	// Latencies are recorded from a microsecond to a minute, with three significant digits.
	maxLatency    = 60 * microsPerSecond
	latencyDigits = 3
)

func seconds(t Time) float64 { return float64(t) / microsPerSecond }

// Checker observes one run. Create it with New, hand it to model.Run, then call Report.
type Checker struct {
	scenario *model.Scenario
	classes  []policy.Class
	meanWork float64 // of a request, in microseconds on a standard core
	report   Report

	open               map[uint64]*proxyRequest // by ID at the proxy
	freeRequests       []*proxyRequest
	clientRequests     map[uint64]*clientRequest // by request number
	freeClientRequests []*clientRequest

	proxies       []proxyState
	goneSince     map[uint32]Time // when discovery listed a server as draining or gone
	listedStart   map[uint32]Time // a server's latest start that discovery has listed
	startListedAt map[uint32]Time // when discovery listed that start
	coldServers   map[uint32]*coldServer

	quotaTokens   []float64 // by tenant
	quotaTokensAt Time
	quota         []float64 // by tenant, in requests per microsecond

	// Sums for the report. Values count in the second in which the client's request started.
	valueOffered  []float64 // by second
	valueServed   []float64
	valueByClass  []valueSum
	valueByTenant []valueSum // of requests within the quota
	lateFailure   float64    // value of requests that failed after their latency target
	requests      float64
	requestedWork float64
	wastedWork    float64
	latencies     []*hdrhistogram.Histogram // by class

	crossZoneAttempts float64
	connectionsOpened float64
	loadPolls         float64
	messageBytes      float64

	proxyStarts    int
	subscribeTimes []Time // from a proxy's start to its first watch
	discoveryCalls []int  // by second
}

// valueSum is the value that was offered and how much of it was served.
type valueSum struct{ offered, served float64 }

func (v *valueSum) add(offered, served float64) {
	v.offered += offered
	v.served += served
}

// New returns a checker for one run of the scenario.
func New(scenario *model.Scenario) *Checker {
	c := &Checker{scenario: scenario, classes: scenario.PolicyClasses(), meanWork: scenario.MeanWork(),
		open:           map[uint64]*proxyRequest{},
		clientRequests: map[uint64]*clientRequest{}, proxies: make([]proxyState, scenario.Proxies),
		goneSince:   map[uint32]Time{},
		listedStart: map[uint32]Time{}, startListedAt: map[uint32]Time{}, coldServers: map[uint32]*coldServer{},
		valueByClass: make([]valueSum, len(scenario.Classes)), valueByTenant: make([]valueSum, len(scenario.Tenants)),
		quotaTokens: make([]float64, len(scenario.Tenants))}
	for range scenario.Classes {
		c.latencies = append(c.latencies, NewLatencyHistogram())
	}
	return c
}

// NewLatencyHistogram returns an empty histogram of latencies in microseconds, with the range and precision of those in
// reports.
func NewLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency, latencyDigits)
}

// Observe processes one record of the run.
func (c *Checker) Observe(rec *model.Record) {
	switch rec.Kind {
	case model.SimulationStarted:
		c.observeStart(rec)
	case model.RequestStarted:
		c.observeRequestStarted(rec)
	case model.RequestEnded:
		c.observeRequestEnded(rec)
	case model.RequestReceived:
		c.observeRequestReceived(rec)
	case model.ResponseSent:
		c.observeResponse(rec)
	case model.ResponseOverdue:
		c.observeOverdue(rec)
	case model.AttemptSent:
		c.observeAttemptSent(rec)
	case model.AttemptEnded:
		c.observeAttemptEnded(rec)
	case model.EffectRepeated:
		c.observeEffectRepeated(rec)
	case model.ColdServerReached:
		c.observeColdArrival(rec)
	case model.ServerStarted:
		c.coldServers[rec.Server] = &coldServer{startedAt: rec.At}
		c.report.ColdStarts++
	case model.ServerOverloaded:
		c.checkColdRule(rec)
	case model.DiscoveryUpdated, model.ProxyNotified, model.DiscoveryCalled, model.WatchLost:
		c.observeDiscovery(rec)
	case model.ProxyStarted:
		c.observeProxyStarted(rec)
	case model.ProxyStopped:
		c.observeProxyStopped(rec)
	default:
		c.observeCost(rec)
	}
}

// observeStart sets the tenants' quotas, which are shares of the fleet's capacity.
func (c *Checker) observeStart(rec *model.Record) {
	for i, t := range c.scenario.Tenants {
		c.quota = append(c.quota, t.QuotaShare*rec.Capacity*model.QuotaOfCapacity/microsPerSecond)
		c.quotaTokens[i] = c.quota[i] * microsPerSecond
	}
}

// observeCost adds up the costs that are priced in the report, and records the servers' load.
func (c *Checker) observeCost(rec *model.Record) {
	switch rec.Kind {
	case model.ConnectionOpened:
		c.connectionsOpened++
	case model.ServerPolled:
		c.loadPolls++
	case model.AttemptExecuted:
		if !rec.ResponseUsed() {
			c.wastedWork += float64(rec.Work)
		}
	case model.MessageDelivered:
		c.messageBytes += float64(rec.MessageBytes())
	case model.LoadSampled:
		c.observeLoad(rec)
	}
}

// Indexes in each entry of Report.LoadBands.
const (
	LoadBand5 = iota
	LoadBand25
	LoadBandMedian
	LoadBand75
	LoadBand95
	LoadBandMax
)

// loadQuantiles are the quantiles of the servers' load in each entry of Report.LoadBands.
var loadQuantiles = [...]float64{LoadBand5: 0.05, LoadBand25: 0.25, LoadBandMedian: 0.5, LoadBand75: 0.75, LoadBand95: 0.95,
	LoadBandMax: 1}

func (c *Checker) observeLoad(rec *model.Record) {
	bands := make([]float64, len(loadQuantiles))
	if n := len(rec.Load); n > 0 {
		for i, q := range loadQuantiles {
			bands[i] = math.Round(rec.Load[min(n-1, int(q*float64(n)))]*1000) / 1000
		}
	}
	c.report.LoadBands = append(c.report.LoadBands, bands)
}
