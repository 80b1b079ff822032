// Package checker judges a play of the laboratory from what passed, never from what a decider says of itself: the
// four rules with their figures, each breach with its time, request and cause, and the service that clients got.
package checker

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// Time is in microseconds.
type Time = model.Time

// The four rules, as the wire's page numbers them.
const (
	RuleAnswerInTime    = 1 // each request taken gets one final answer in time, and nothing is sent for it after
	RuleRetrySemantics  = 2 // a request that may have run is sent again, or refused, only as its class allows
	RuleDrainingServers = 3 // nothing new to a server DrainGrace after the proxy was told that it drains or is gone
	RuleColdServers     = 4 // the sum of all proxies pushes no cold server over
)

// goalWeights weighs the parts of service, as the operators' brief does: the whole run, the worst ten seconds, the
// worst-served class, the worst-served tenant within its share.
var goalWeights = struct{ whole, window, class, tenant float64 }{0.25, 0.45, 0.2, 0.1}

const (
	microsPerSecond    = 1_000_000
	worstWindowSeconds = 10
	quotaOfCapacity    = 0.8 // of the fleet's capacity, as tenants' shares
)

// proxyRequest is a request that a proxy has.
type proxyRequest struct {
	proxy         int32
	class         uint8
	clientRequest uint64
	answered      bool
	inFlight      int
	attempts      []attempt
}

// proxyState is what one proxy has been told.
type proxyState struct {
	goneSince      map[uint32]Time // when it was told that the server drains or is gone
	knownStart     map[uint32]Time // the latest start of a server that it was told of
	watching       bool
	lastContact    Time
	lastCallFailed bool // the last call
	startedAt      Time
	hasWatched     bool // a watch since then
}

// coldServer is a server that has started lately.
type coldServer struct {
	started     Time
	arrivals    []coldArrival
	head        int
	work        float64
	isOverBound bool
}

// Checker watches one play. Create it with New, hand it to model.Play, then ask for its Report.
type Checker struct {
	scenario           *model.Scenario
	classes            []policy.Class
	meanWork           float64 // work of a request, in microseconds
	open               map[uint64]*proxyRequest
	freeRequests       []*proxyRequest
	clientRequests     map[uint64]*clientRequest
	freeClientRequests []*clientRequest
	proxies            []proxyState
	goneSince          map[uint32]Time // since when discovery has known
	listedStart        map[uint32]Time // of which discovery knows, and since when
	startListedAt      map[uint32]Time
	coldServers        map[uint32]*coldServer
	quotaTokens        []float64
	quotaTokensAt      Time
	quota              []float64 // requests a microsecond

	report                    Report
	proxyStarts               int       // starts of proxies
	subscribeTimes            []Time    // from a start to its first watch
	discoveryCalls            []int     // calls to discovery, by second
	valueOffered              []float64 // worth, by second
	valueServed               []float64
	valueByClass              [][2]float64
	valueByTenant             [][2]float64
	lateFail                  float64
	requests                  float64
	requestedWork             float64
	wastedWork                float64
	crossZoneAttempts         float64
	connectionsOpened, probes float64
	messageBytes              float64
	latencies                 []*hdrhistogram.Histogram
}

// New makes the referee of one play of w.
func New(w *model.Scenario) *Checker {
	r := &Checker{scenario: w, open: map[uint64]*proxyRequest{}, clientRequests: map[uint64]*clientRequest{}, goneSince: map[uint32]Time{}, listedStart: map[uint32]Time{},
		startListedAt: map[uint32]Time{}, coldServers: map[uint32]*coldServer{}, proxies: make([]proxyState, w.Proxies), classes: w.PolicyClasses()}
	share := 0.0
	for _, c := range w.Classes {
		r.meanWork, share = r.meanWork+c.Share*float64(c.Work), share+c.Share
		r.latencies = append(r.latencies, hdrhistogram.New(1, 60_000_000, 3))
	}
	r.meanWork /= math.Max(share, 1e-9)
	r.valueByClass = make([][2]float64, len(w.Classes))
	r.valueByTenant = make([][2]float64, len(w.Tenants))
	r.quotaTokens = make([]float64, len(w.Tenants))
	return r
}

// See takes what passed.
func (r *Checker) Observe(rec *model.Record) {
	switch rec.Kind {
	case model.SimulationStarted: // tenants' shares are parts of what the fleet can do
		for i, t := range r.scenario.Tenants {
			r.quota = append(r.quota, t.QuotaShare*rec.Capacity*quotaOfCapacity/1e6)
			r.quotaTokens[i] = r.quota[i] * microsPerSecond
		}
	case model.RequestStarted:
		r.observeRequestStarted(rec)
	case model.RequestEnded:
		r.observeRequestEnded(rec)
	case model.RequestReceived:
		t := r.newProxyRequest()
		t.proxy, t.class, t.clientRequest = rec.Proxy, rec.Class, rec.Request
		r.open[rec.ID] = t
		if c := r.clientRequests[rec.Request]; c != nil {
			c.attempts++
		}
	case model.AttemptSent:
		r.observeAttemptSent(rec)
	case model.ConnectionOpened:
		r.connectionsOpened++
	case model.ServerProbed:
		r.probes++
	case model.AttemptEnded:
		r.observeAttemptEnded(rec)
	case model.RequestAnswered:
		r.observeAnswer(rec)
	case model.ResponseOverdue:
		r.addViolation(rec, RuleAnswerInTime, "no final answer within the slack after its client's deadline")
		if t := r.open[rec.ID]; t != nil {
			t.answered = true
			r.releaseIfDone(rec.ID, t)
		}
	case model.AttemptExecuted:
		if !rec.Flag {
			r.wastedWork += float64(rec.Work)
		}
	case model.ColdServerReached:
		r.observeColdArrival(rec)
	case model.ServerStarted:
		r.coldServers[rec.Server] = &coldServer{started: rec.At}
		r.report.ColdStarts++
	case model.ServerOverloaded:
		r.checkColdRule(rec)
	case model.DiscoveryUpdated:
		for i := range rec.Members {
			m := &rec.Members[i]
			if m.Mode == policy.ModeReady {
				delete(r.goneSince, m.Server)
				r.listedStart[m.Server], r.startListedAt[m.Server] = m.StartedAt, rec.At
			} else if _, known := r.goneSince[m.Server]; !known {
				r.goneSince[m.Server] = rec.At
			}
		}
	case model.ProxyStarted:
		r.proxies[rec.Proxy] = proxyState{goneSince: map[uint32]Time{}, knownStart: map[uint32]Time{}, lastContact: rec.At, startedAt: rec.At}
		r.proxyStarts++
		r.observeMembership(rec)
	case model.ProxyNotified:
		r.observeMembership(rec)
	case model.DiscoveryCalled:
		p := &r.proxies[rec.Proxy]
		p.lastContact = rec.At
		if rec.Flag {
			if p.watching, p.lastCallFailed = true, false; !p.hasWatched {
				p.hasWatched = true
				r.subscribeTimes = append(r.subscribeTimes, rec.At-p.startedAt)
			}
		} else {
			r.report.DiscoveryCalls++
			for int(rec.At/1e6) >= len(r.discoveryCalls) {
				r.discoveryCalls = append(r.discoveryCalls, 0)
			}
			r.discoveryCalls[rec.At/1e6]++
		}
	case model.WatchLost:
		p := &r.proxies[rec.Proxy]
		if p.watching {
			p.lastContact = rec.At // till now it heard all
		}
		if p.watching, p.lastCallFailed = false, rec.Flag; rec.Flag {
			r.report.DiscoveryCallsFailed++
		}
	case model.ProxyStopped:
		for id, t := range r.open {
			if t.proxy == rec.Proxy { // what dies with its proxy is its client's to repeat
				delete(r.open, id)
				r.freeRequests = append(r.freeRequests, t)
			}
		}
	case model.MessageDelivered:
		r.messageBytes += float64(rec.Span)
	case model.EffectRepeated:
		r.observeEffectRepeated(rec)
	case model.LoadSampled:
		r.observeLoad(rec)
	}
}

func (r *Checker) newProxyRequest() *proxyRequest {
	if n := len(r.freeRequests) - 1; n >= 0 {
		t := r.freeRequests[n]
		r.freeRequests = r.freeRequests[:n]
		*t = proxyRequest{attempts: t.attempts[:0]}
		return t
	}
	return &proxyRequest{}
}

// releaseIfDone forgets a request that is answered and has nothing out: whatever is sent for it then is a breach.
func (r *Checker) releaseIfDone(id uint64, t *proxyRequest) {
	if t.answered && t.inFlight == 0 {
		delete(r.open, id)
		r.freeRequests = append(r.freeRequests, t)
	}
}

func seconds(t Time) float64 { return float64(t) / 1e6 }

// observeMembership takes what a proxy is told.
func (r *Checker) observeMembership(rec *model.Record) {
	p := &r.proxies[rec.Proxy]
	whole := rec.Flag
	var listed map[uint32]bool
	if whole {
		listed = make(map[uint32]bool, len(rec.Members))
	}
	for i := range rec.Members {
		m := &rec.Members[i]
		if whole {
			listed[m.Server] = true
		}
		if m.Mode == policy.ModeReady {
			delete(p.goneSince, m.Server)
			if m.StartedAt > 0 {
				p.knownStart[m.Server] = m.StartedAt
			}
		} else if _, known := p.goneSince[m.Server]; !known {
			p.goneSince[m.Server] = rec.At
		}
	}
	if whole { // what a whole list leaves out is gone
		for s := range r.goneSince {
			if _, known := p.goneSince[s]; !known && !listed[s] {
				p.goneSince[s] = rec.At
			}
		}
	}
}

// Service.
