package model

import (
	"fmt"
	"math/rand/v2"

	"pumiceline/internal/standalone/policy"
)

const (
	microsPerSecond = 1_000_000

	maxAttempts         = 8       // of one request at one proxy
	indexBits           = 22      // low bits of a proxy request's id: its pool index; the rest is a counter
	maxTimersPerSecond  = 500_000 // of one proxy; more indicates an endless loop in the policy
	maxActionsPerEvent  = 1 << 20
	drainOutTime        = 2 * microsPerSecond // extra time of a run past the last deadline and ResponseGrace
	maxPeerMessageBytes = 256
	allPeers            = -1 // recipient of a message to all other proxies
)

// Random streams of a run, by purpose. The numbers must not change: they determine the results of a seed.
const (
	streamArrivals     = 1 // client requests
	streamNetwork      = 2
	streamServers      = 3
	streamFleet        = 4 // used by build
	streamFaultTargets = 5 // used by scheduleFaults
	streamRandomFaults = 6
)

// simulation is one run of a scenario.
type simulation struct {
	scenario *Scenario
	seed     uint64
	newNode  NodeFactory
	observer Observer
	events   *eventQueue
	now      Time
	failure  error // ends the run
	stats    Stats

	// Each purpose has its own stream. Otherwise the draws of one purpose would depend on how often another draws,
	// which differs from policy to policy.
	arrivalRand, networkRand, serverRand *rand.Rand

	servers        []*server
	serverIDMask   uint32 // a server's id is its index XOR this mask
	proxies        []proxy
	clientRequests pool[clientRequest]
	proxyRequests  pool[proxyRequest]
	serverAttempts pool[serverAttempt]
	messages       pool[messageInFlight]
	discovery      discoveryService

	lastRequestNumber      uint64
	lastProxyRequestNumber uint64
	openClientRequests     int

	arrivalRate  float64 // requests per microsecond at the nominal load
	capacity     float64 // of the warm fleet, in requests per second
	zoneWeights  []float64
	zoneShares   []float64 // this and the next three are results of cumulativeShares
	classShares  []float64
	tenantShares []float64
	keyShares    []float64
	inBurst      bool
	burstEnd     Time

	// State changed by faults.
	floodFactor   float64 // traffic of the first tenant, as a multiple of its usual traffic
	maxRetries    int     // of a client
	retryAtOnce   bool
	affected      [][]int32 // servers, proxies or the zone that a fault affects, by fault
	partitions    []partition
	isolatedZones []int // faults in force that isolate the zone, by zone

	// Reused buffers, so that handling an event does not allocate.
	record       Record
	actions      []policy.Action
	policyEvent  policy.Event
	reportBuffer []float32
	loadBuffer   []float64
	oracle       *Oracle
}

// Stats are the counts and the end time of a run.
type Stats struct {
	Events   int64 `json:"Events"`   // of the simulation
	Handled  int64 `json:"Handled"`  // events and messages delivered to nodes
	Requests int64 `json:"Requests"` // of clients, each counted once
	End      Time  `json:"End"`      // first time after Duration without an open request; 0: none
}

// Run simulates a scenario with a seed and the nodes that newNode creates, and passes each record to the observer. It
// is single-threaded. The same scenario, seed and nodes always give the same records, to the microsecond. Run does not
// modify the scenario. It returns a *FieldError if the scenario cannot be simulated. It returns an error with the time
// and the proxy if a node cannot be created or does something that no proxy could carry out.
func Run(scenario *Scenario, seed uint64, newNode NodeFactory, observer Observer) (Stats, error) {
	if err := scenario.Validate(); err != nil {
		return Stats{}, err
	}
	own := scenario.Clone() // gets the drawn faults
	stream := func(number uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, number)) }
	own.Faults = append(own.Faults, own.randomFaults(stream(streamRandomFaults))...)
	sm := &simulation{scenario: &own, seed: seed, newNode: newNode, observer: observer, events: newEventQueue(),
		maxRetries: own.Clients.Retries, floodFactor: 1, isolatedZones: make([]int, own.Zones),
		arrivalRand: stream(streamArrivals), networkRand: stream(streamNetwork), serverRand: stream(streamServers)}
	sm.oracle = &Oracle{sim: sm}
	sm.build(stream(streamFleet))
	sm.scheduleFaults(stream(streamFaultTargets))
	for i := range sm.servers {
		sm.schedulePause(sm.servers[i])
	}
	sm.schedule(0, event{kind: evArrival})
	sm.schedule(microsPerSecond, event{kind: evSampleLoad})
	sm.stats.End = sm.loop()
	return sm.stats, sm.failure
}

// schedule schedules an event at t, or now if t has passed.
func (sm *simulation) schedule(t Time, e event) {
	e.at = max(t, sm.now)
	sm.events.push(e)
}

// observe passes a record to the observer.
func (sm *simulation) observe(rec Record) {
	rec.At = sm.now
	sm.record = rec
	sm.observer.Observe(&sm.record)
}

// fail ends the run with an error, because the node of a proxy did something that cannot be carried out.
func (sm *simulation) fail(proxyIndex int32, format string, args ...any) {
	if sm.failure == nil {
		sm.failure = fmt.Errorf("at %.6f s: proxy %d %s", float64(sm.now)/microsPerSecond, proxyIndex,
			fmt.Sprintf(format, args...))
	}
}

// loop handles events until all client requests have ended and the response grace has passed for requests that their
// clients abandoned. It returns the time of the first event after Duration at which none is open, or 0 if there is no
// such time.
func (sm *simulation) loop() Time {
	duration, grace := Time(sm.scenario.Duration), Time(sm.scenario.Published.ResponseGrace)
	longestDeadline := Time(0)
	for _, c := range sm.scenario.Classes {
		longestDeadline = max(longestDeadline, Time(c.Deadline))
	}
	limit := longestDeadline + duration + grace + drainOutTime
	// After the last response a proxy may still have requests that their clients abandoned. endGrace covers the
	// response grace of these, two ticks, because proxies act only at ticks, and two microseconds for rounding.
	endGrace := grace + 2*Time(sm.scenario.Tick) + 2
	end := Time(0)
	for sm.failure == nil {
		e, ok := sm.events.pop()
		if !ok || e.at > limit || end > 0 && e.at > end+endGrace {
			break
		}
		sm.now = e.at
		sm.stats.Events++
		sm.handleEvent(&e)
		if sm.openClientRequests == 0 && sm.now > duration && end == 0 {
			end = sm.now
		}
	}
	return end
}

// nextTick returns the time at which a proxy handles an event that arrives at t: the end of the tick.
func (sm *simulation) nextTick(t Time) Time {
	tick := Time(sm.scenario.Tick)
	if tick <= 0 {
		return t
	}
	return (t + tick - 1) / tick * tick
}

// networkDelay draws the time, in microseconds, that one message takes between two zones.
func (sm *simulation) networkDelay(from, to uint8) Time {
	base := float64(sm.scenario.Network.SameZone)
	if from != to {
		base = float64(sm.scenario.Network.CrossZone)
	}
	return Time(base * (1 + sm.scenario.Network.Jitter*sm.networkRand.ExpFloat64()))
}
