package model

import (
	"fmt"
	"math/rand/v2"

	"pumiceline/internal/standalone/policy"
)

const (
	microsPerSecond = 1_000_000

	maxAttempts         = 8       // of one request at one proxy
	indexBits           = 22      // of a proxy request's id are its index in the pool; the rest is a running number
	maxTimersPerSecond  = 500_000 // of one proxy: more is an endless loop of the policy
	maxActionsPerEvent  = 1 << 20
	drainOutTime        = 2 * microsPerSecond // that a run may take past the last deadline
	maxPeerMessageBytes = 256
	allPeers            = -1 // recipient of a message to all other proxies
)

// Random streams of a run, by purpose. The numbers are part of what a seed means.
const (
	streamArrivals     = 1 // client requests
	streamNetwork      = 2
	streamServers      = 3
	streamFleet        = 4 // what build draws
	streamFaultTargets = 5 // what scheduleFaults draws
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

	// Each purpose draws from a stream of its own, so that the draws of one do not depend on how often another draws, which
	// differs from policy to policy.
	arrivalRand, networkRand, serverRand *rand.Rand

	servers        []*server
	serverIDMask   uint32 // a server's id is its index, exclusive-or this
	proxies        []proxy
	clientRequests pool[clientRequest]
	proxyRequests  pool[proxyRequest]
	serverAttempts pool[serverAttempt]
	messages       pool[messageInFlight]
	discovery      discoveryService

	lastRequestNumber      uint64
	lastProxyRequestNumber uint64
	openClientRequests     int

	arrivalRate  float64 // requests a microsecond at the nominal load
	capacity     float64 // requests a second of the warm fleet
	zoneWeights  []float64
	zoneShares   []float64 // this and the following are cumulative, as cumulativeShares returns them
	classShares  []float64
	tenantShares []float64
	keyShares    []float64
	inBurst      bool
	burstEnd     Time

	// State that faults change.
	floodFactor   float64 // traffic of the first tenant, in its usual traffic
	maxRetries    int     // of a client
	retryAtOnce   bool
	affected      [][]int32 // servers, proxies or the zone that a fault affects, by fault
	partitions    []partition
	isolatedZones []int // faults in force that isolate the zone, by zone

	// Buffers that are used again, so that an event allocates nothing.
	record       Record
	actions      []policy.Action
	policyEvent  policy.Event
	reportBuffer []float32
	loadBuffer   []float64
	oracle       *Oracle
}

// Stats is what a run cost.
type Stats struct {
	Events   int64 `json:"Events"`   // of the simulation
	Handled  int64 `json:"Handled"`  // events and messages given to nodes
	Requests int64 `json:"Requests"` // of clients, each counted once
	End      Time  `json:"End"`      // when the last response was given
}

// Run simulates a scenario from the seed, with the nodes that newNode makes, and shows the observer each record. It is
// single-threaded; the same scenario, seed and nodes give the same records to the same microsecond, always. The scenario
// is left as it is. An error is a *FieldError of a scenario that cannot be simulated, or says which node did what no
// proxy could carry out, and when.
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

// schedule has an event happen at t, or now if t has passed.
func (sm *simulation) schedule(t Time, e event) {
	e.at = max(t, sm.now)
	sm.events.push(e)
}

// observe shows the observer a record.
func (sm *simulation) observe(rec Record) {
	rec.At = sm.now
	sm.record = rec
	sm.observer.Observe(&sm.record)
}

// fail ends the run: the node of a proxy did what could not be carried out.
func (sm *simulation) fail(proxyIndex int32, format string, args ...any) {
	if sm.failure == nil {
		sm.failure = fmt.Errorf("at %.6f s: proxy %d %s", float64(sm.now)/microsPerSecond, proxyIndex,
			fmt.Sprintf(format, args...))
	}
}

// loop handles events until the last client has its response, and the proxies have had their grace for requests that
// clients gave up. It returns the time of the last response, 0 if requests were still open.
func (sm *simulation) loop() Time {
	duration, grace := Time(sm.scenario.Duration), Time(sm.scenario.Published.ResponseGrace)
	longestDeadline := Time(0)
	for _, c := range sm.scenario.Classes {
		longestDeadline = max(longestDeadline, Time(c.Deadline))
	}
	limit := longestDeadline + duration + grace + drainOutTime
	// After the last response a proxy may still have requests that their clients gave up: the grace for these, with two
	// ticks, as proxies act at ticks only, and two microseconds for rounding.
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

// nextTick is when a proxy handles what arrives at t: at the end of the tick.
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
