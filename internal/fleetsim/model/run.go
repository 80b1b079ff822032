package model

import (
	"fmt"
	"math/rand/v2"

	"pumiceline/internal/standalone/policy"
)

const (
	maxAttempts        = 8       // of one request
	indexBits          = 22      // of an id are the job's place; the rest numbers them
	maxTimersPerSecond = 500_000 // of one proxy in a simulated second
	maxActionsPerEvent = 1 << 20 // of one Handle
)

// simulation is one play of a world.
type simulation struct {
	scenario *Scenario
	seed     uint64
	newNode  NodeFactory
	observer Observer
	events   *eventQueue
	now      Time
	failure  error
	record   Record

	arrivalRand, networkRand, serverRand *rand.Rand

	servers            []*server
	serverIDMask       uint32
	proxies            []proxy
	clientRequests     []clientRequest
	proxyRequests      []proxyRequest
	serverAttempts     []serverAttempt
	freeClientRequests []int32
	freeProxyRequests  []int32
	freeServerAttempts []int32
	messages           []messageInFlight
	freeMessages       []int32

	lastRequestNumber      uint64
	openClientRequests     int
	lastProxyRequestNumber uint64
	arrivalRate            float64 // requests a microsecond at the nominal load
	capacity               float64 // requests a second of the warm fleet
	zoneShares             []float64
	zoneWeights            []float64
	classShares            []float64
	tenantShares           []float64
	keyShares              []float64
	inBurst                bool
	burstEnd               Time
	floodFactor            float64
	maxRetries             int
	retryAtOnce            bool
	discovery              discoveryService
	affected               [][]int32 // by trouble
	partitions             []partition
	isolatedZones          []int // cuts in force, by zone
	actions                []policy.Action
	policyEvent            policy.Event
	reportBuffer           []float32
	loadBuffer             []float64
	oracle                 *Oracle
	stats                  Stats
}

// Stats is what a play cost.
type Stats struct {
	Events   int64 `json:"Events"`   // of the model
	Handled  int64 `json:"Handled"`  // events given to nodes
	Requests int64 `json:"Requests"` // first tries
	End      Time  `json:"End"`      // when the last answer was given
}

// Run plays w from the seed with the nodes that make makes, and shows watch all that passes. One play is
// single-threaded; the same world, seed and nodes give the same records to the same microsecond, always. An error
// tells of a world that can't be played, or of a node that does what no proxy could carry out.
func Run(w *Scenario, seed uint64, make NodeFactory, watch Observer) (Stats, error) {
	if err := w.Validate(); err != nil {
		return Stats{}, err
	}
	own := w.Clone()
	w = &own // with the drawn troubles; the caller's stays as it is
	w.Faults = append(w.Faults, w.randomFaults(rand.New(rand.NewPCG(seed, 6)))...)
	r := &simulation{scenario: w, seed: seed, newNode: make, observer: watch, events: newEventQueue(), maxRetries: w.Clients.Retries, floodFactor: 1,
		arrivalRand: rand.New(rand.NewPCG(seed, 1)), networkRand: rand.New(rand.NewPCG(seed, 2)), serverRand: rand.New(rand.NewPCG(seed, 3)),
		isolatedZones: zeros(w.Zones)}
	r.oracle = &Oracle{sim: r}
	r.build()
	r.stats.End = r.loop()
	return r.stats, r.failure
}

func (r *simulation) schedule(t Time, e event) {
	e.at = max(t, r.now)
	r.events.push(e)
}

// observe shows the watcher a record.
func (r *simulation) observe(rec Record) {
	rec.At = r.now
	r.record = rec
	r.observer.Observe(&r.record)
}

// fail ends the run: a node did what could not be carried out.
func (r *simulation) fail(p int32, format string, args ...any) {
	if r.failure == nil {
		r.failure = fmt.Errorf("at %.6f s: proxy %d %s", float64(r.now)/1e6, p, fmt.Sprintf(format, args...))
	}
}

// loop plays event by event until the last client has its answer.
func (r *simulation) loop() Time {
	last := Time(0)
	for _, c := range r.scenario.Classes {
		last = max(last, Time(c.Deadline))
	}
	last += Time(r.scenario.Duration) + Time(r.scenario.Published.ResponseGrace) + 2_000_000
	end := Time(0) // of the last call; proxies have their slack to answer what its client left behind
	for r.failure == nil {
		e, ok := r.events.pop()
		if !ok || e.at > last || end > 0 && e.at > end+Time(r.scenario.Published.ResponseGrace)+2*Time(r.scenario.Tick)+2 {
			break
		}
		r.now = e.at
		r.stats.Events++
		r.handleEvent(&e)
		if r.openClientRequests == 0 && r.now > Time(r.scenario.Duration) && end == 0 {
			end = r.now
		}
	}
	return end
}

func (r *simulation) handleEvent(e *event) {
	switch e.kind {
	case evArrival:
		r.startClientRequest()
	case evRetry:
		if c := &r.clientRequests[e.subject]; c.number == e.id && !c.ended {
			r.sendToProxy(e.subject)
		}
	case evReceiveRequest:
		r.receiveRequest(e.subject, e.id)
	case evArriveAtServer:
		r.arriveAtServer(e.subject)
	case evServerProgress:
		s := r.servers[e.subject]
		if s.nextWakeup == e.at {
			s.nextWakeup = 0
			r.processServer(s)
		}
	case evReceiveOutcome:
		r.receiveOutcome(e.subject)
	case evAttemptTimeout:
		if j := &r.proxyRequests[e.subject]; j.id == e.id && j.attempts[e.code].inFlight {
			r.abandonServerAttempt(&j.attempts[e.code])
			r.endAttempt(e.subject, e.code, policy.TimedOut, r.now-j.attempts[e.code].sentAt, nil)
		}
	case evAttemptFailed:
		if j := &r.proxyRequests[e.subject]; j.id == e.id && j.attempts[e.code].inFlight {
			r.endAttempt(e.subject, e.code, policy.Outcome(e.number), r.now-j.attempts[e.code].sentAt, nil)
		}
	case evRequestExpired:
		r.expireRequest(e.subject, e.id)
	case evProbeResult:
		r.receiveProbe(e.subject, e.number, uint32(e.id))
	case evDownstreamWaitOver:
		r.endDownstreamWait(e.subject, policy.Outcome(e.code))
	case evTimer:
		if p := &r.proxies[e.subject]; p.incarnation == e.number && p.up {
			r.policyEvent = policy.Event{Kind: policy.TimerFired, ID: e.id}
			r.deliver(e.subject)
		}
	case evReceiveAnswer:
		r.receiveAnswer(e.subject, e.id, policy.Outcome(e.code), Time(e.number))
	case evAbandonAttempt:
		r.abandonAttempt(e.subject, e.id)
	case evPauseStart, evPauseEnd:
		r.changePause(e)
	case evCloseIdle:
		r.closeIdleConnections(e.subject, e.number)
	case evFault:
		r.applyFault(e)
	case evDiscoveryUpdate:
		r.updateDiscovery(e)
	case evNotifyProxy:
		r.notifyProxy(e.subject, e.number)
	case evSubscribeResult:
		r.receiveSubscribeResult(e)
	case evWatchBreaks:
		r.endWatch(e.subject, e.number, false)
	case evPeerMessage:
		r.deliverMessage(e)
	case evSample:
		r.sampleLoad()
		r.schedule(r.now+1_000_000, event{kind: evSample})
	case evServerUp:
		r.startServer(r.servers[e.subject])
	case evServerDown:
		if s := r.servers[e.subject]; s.epoch == e.number && s.state != stateDown {
			r.stopServer(s, true)
			if e.code == 1 {
				r.startSuccessor(s)
			}
		}
	case evProxyDown:
		if p := &r.proxies[e.subject]; p.incarnation == e.number {
			r.killProxy(e.subject)
			p.downSince = p.stopsAt // the front layer has known since then
		}
	case evProxyUp:
		r.startProxy(e.subject)
	}
}

// nextTick is when a proxy handles what comes at t.
func (r *simulation) nextTick(t Time) Time {
	n := Time(r.scenario.Tick)
	if n <= 0 {
		return t
	}
	return (t + n - 1) / n * n
}

// networkDelay draws the time of one message between two zones.
func (r *simulation) networkDelay(a, b uint8) Time {
	base := float64(r.scenario.Network.SameZone)
	if a != b {
		base = float64(r.scenario.Network.CrossZone)
	}
	return Time(base * (1 + r.scenario.Network.Jitter*r.networkRand.ExpFloat64()))
}
