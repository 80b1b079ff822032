// Package policy makes the decisions of one HTTP load balancer in a group of them: which server gets a
// request, when to retry, when to reject, and when to subscribe to discovery. What this package calls a
// server is called a backend in the packages that send the requests and in the admin API, and an endpoint in
// gRFC A58.
//
// A Balancer is a state machine. Create one with New, then call Handle with each event in the order in which
// events happen; Handle appends the actions that follow to the caller's buffer. The package has no clock and
// no goroutines and does no I/O. The only time that it uses is the caller's `now`, in microseconds from any
// fixed origin, which must never go back. All times are in microseconds unless a comment says otherwise.
// Timers are actions too (SetTimer), answered by TimerFired events.
//
// A Balancer is not safe for concurrent use. Balancers share no state, so any number of them can run in
// parallel. Equal settings, seeds and events give equal actions: where the order matters, iteration is over
// slices in the order of listing, not over maps.
//
// The files, by concern: request (from arrival to response), queue (waiting requests), dispatch (attempts),
// retry (when a retry is safe and the budget allows it), schedule (weighted round robin and the choice of a
// server), weights (gRFC A58), slowstart (gRFC A100), locality (zones), outlier (ejection), admission
// (adapting the concurrency limit), startlimit (the initial limit), overdue (congestion signals of attempts
// in flight), membership and subscription (discovery), snapshot (state for a successor process).
package policy

import (
	"math"
	"math/rand/v2"

	"pumiceline/internal/edf"
	"pumiceline/internal/standalone/affinity"
	"pumiceline/internal/standalone/concurrency"
	"pumiceline/internal/standalone/latencybaseline"
	"pumiceline/internal/standalone/loadpolling"
)

// Balancer makes the decisions of one load balancer. See the package comment.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      Time
	actions  []Action // of the event being handled

	started     bool
	refreshedAt Time

	// Servers.
	servers             map[ServerID]*server
	members             []*server // the same servers in the order of listing, for iteration
	affinity            affinity.Table
	zoneConnectFailures [256]int // consecutive attempts that could not connect, by zone
	ejectedOrStalled    int      // servers that are ejected or stalled
	remoteZoneShare     float64  // fraction of their weight that servers of other zones keep
	instanceTypes       []capacityStats
	overall             capacityStats // over all instance types
	discovery           subscription

	// Schedule: each server gets a turn every 1/weight of virtual time, in the order of deadlines (earliest
	// deadline first).
	schedule    edf.Queue[server]
	virtualTime float64   // deadline of the latest turn
	skipped     []*server // scratch buffer of pick

	// Admission.
	concurrencyLimit  float64 // maximum number of attempts in flight
	inFlight          int     // attempts in flight at servers that are not stalled
	congestion        float64 // moving average: share of recent responses that signalled congestion
	startedAt         Time    // when the limit was first set, see setInitialLimit
	startArrivals     float64 // requests since startedAt, until the unloaded latency of a class is known
	lastAttemptEnd    Time
	limitFrozenUntil  Time                        // until then LimitToUsage is not applied
	medianAttemptTime float64                     // microseconds, of attempts with a cost of 1; 0: unknown
	unloadedLatency   []latencybaseline.Estimator // by class

	// Requests.
	requests      map[uint64]*request
	freeRequests  []*request // for reuse
	queue         []*request // in the order of being queued
	queueTimerSet bool
	arrivals      float64   // requests since the last refresh
	arrivalRate   float64   // moving average, requests per second
	meanWork      float64   // moving average of the known work of requests, unit of Event.Work; 0: none yet
	retryTokens   float64   // retry budget left
	tenantTokens  []float64 // quota left, by tenant
}

// rngStream is the second word of the random generator's seed, the same for all balancers.
const rngStream = 0x9e3779b97f4a7c15

// New returns a balancer for the given settings. The seed determines all its random choices.
func New(settings Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, rngStream)), servers: map[ServerID]*server{},
		requests: map[uint64]*request{}, retryTokens: retryBurst, concurrencyLimit: math.Inf(1)}
	if err := b.ApplySettings(settings); err != nil {
		return nil, err
	}
	return b, nil
}

// ApplySettings replaces the settings; on an error it changes nothing. Open requests keep their class and
// number of attempts.
func (b *Balancer) ApplySettings(settings Settings) error {
	if err := settings.validate(); err != nil {
		return err
	}
	settings.applyDefaults()
	tenantTokens := make([]float64, len(settings.Tenants))
	copy(tenantTokens, b.tenantTokens)
	unloadedLatency := make([]latencybaseline.Estimator, len(settings.Classes))
	copy(unloadedLatency, b.unloadedLatency)
	b.settings, b.tenantTokens, b.unloadedLatency = settings, tenantTokens, unloadedLatency
	return nil
}

// Handle processes the next event, which happens at now, and appends the actions that follow to actions.
func (b *Balancer) Handle(now Time, ev *Event, actions []Action) []Action {
	b.now, b.actions = max(now, b.now), actions
	if !b.started { // not in New: the first event gives the time
		b.started, b.refreshedAt = true, b.now
		b.setTimer(timerRefresh, b.jitter(refreshPeriod))
		b.scheduleSubscribe()
	}
	switch ev.Kind {
	case RequestArrived:
		b.onRequestArrived(ev)
	case AttemptEnded:
		b.onAttemptEnded(ev)
	case ResponseStarted:
		b.onResponseStarted(ev)
	case BodySent:
		b.onBodySent(ev)
	case RequestAbandoned:
		b.onRequestAbandoned(ev)
	case TimerFired:
		b.onTimer(ev.ID)
	case LoadPolled:
		if s := b.servers[ev.Server]; s != nil {
			b.addReport(s, ev.Report)
		}
	case MembershipFull, MembershipCached, MembershipDelta:
		b.onMembership(ev)
	case DiscoveryFailed, DiscoveryTimedOut:
		b.onDiscoveryFailed(ev)
	}
	actions, b.actions = b.actions, nil
	return actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// Timers carry their purpose in the low bits of their ID.
const (
	timerRefresh   = 0
	timerQueue     = 1
	timerSubscribe = 2
	timerKindBits  = 2
)

// setTimer asks for a TimerFired event with this ID.
func (b *Balancer) setTimer(id uint64, after Time) {
	b.emit(Action{Kind: SetTimer, ID: id, After: max(1, after)})
}

// onTimer handles a timer by the purpose in its ID. IDs of unknown purpose are ignored.
func (b *Balancer) onTimer(id uint64) {
	switch id & (1<<timerKindBits - 1) {
	case timerRefresh:
		b.refresh()
		b.setTimer(timerRefresh, refreshPeriod)
	case timerQueue:
		b.queueTimerSet = false
		b.expireQueued()
	case timerSubscribe:
		b.subscribe()
	}
}

// jitter returns a random duration from t/2 to 3t/2.
func (b *Balancer) jitter(t Time) Time { return t/2 + Time(b.rng.Float64()*float64(t)) }

const (
	refreshPeriod           = 100_000 // microseconds between two calls of refresh
	arrivalRateTimeConstant = 2       // seconds
)

// refresh updates weights, budgets and the concurrency limit. It is called only by its timer and not for each
// request, so that handling a request needs no pass over all servers.
func (b *Balancer) refresh() {
	elapsed := float64(b.now-b.refreshedAt) / 1e6 // seconds
	b.refreshedAt = b.now
	if elapsed > 0 {
		gain := 1 - math.Exp(-elapsed/arrivalRateTimeConstant)
		b.arrivalRate += gain * (b.arrivals/elapsed - b.arrivalRate)
		b.arrivals = 0
	}
	b.refillTenantTokens(elapsed)
	b.removeGoneServers()
	b.updateMeans()
	b.updateRemoteZoneShare(elapsed)
	if b.now >= b.limitFrozenUntil {
		b.concurrencyLimit = concurrency.LimitToUsage(
			b.concurrencyLimit, b.inFlight, len(b.members), b.settings.GroupSize)
	}
	pollInterval := loadpolling.Interval(len(b.members), b.settings.GroupSize, b.arrivalRate)
	for _, s := range b.members {
		if b.settings.pollsLoad() && s.IsQueued() && s.polling.Due(b.now, pollInterval, b.rng.Float64()) {
			b.emit(Action{Kind: PollLoad, Server: s.id})
		}
		b.refreshSlowStart(s, elapsed)
		b.examineServer(s)
		b.refreshWeight(s)
	}
	b.detectOverdue()
}
