package distribution

import (
	"maps"
	"slices"
	"time"

	"pumiceline/internal/controlplane/distribution/inflight"
	"pumiceline/internal/message"
)

const (
	// subscriptionLifetime is how long after its last poll a subscriber's proxies are counted.
	subscriptionLifetime = 5 * time.Second
	// reportLifetime is how long after its last poll a subscriber's loads, and its requests waiting and in flight,
	// are counted.
	reportLifetime = 2 * time.Second
)

// ReportedDemand is the sum of what the subscribers reported.
type ReportedDemand struct {
	Models  []message.ModelDemand
	Loads   []message.BackendLoad
	Retries []message.ServiceRetries
	Proxies int
}

// subscriptionTable holds what each subscriber reported with its latest poll, and the demand not yet collected.
type subscriptionTable struct {
	bySubscriber map[string]*subscription
	demand       map[modelKey]*message.ModelDemand         // arrivals and rejections since the last collection
	loads        map[message.BackendID]message.BackendLoad // sums over the subscribers
	sums         []message.BackendLoad                     // loads as a list, which is not changed; nil: to be made anew
}

// subscription is what one subscriber reported with its latest poll, and what was sent to it.
type subscription struct {
	proxies  int // number of proxies that it reports for
	lastPoll time.Time
	oldest   time.Duration         // age of the oldest list of backends that it has used; see message.BackendsVersion
	loads    []message.BackendLoad // as counted in the sums
	demand   []message.ModelDemand // of its requests waiting and in flight; arrivals are in subscriptionTable.demand
	retries  []message.ServiceRetries
	totals   inflight.DeltaEncoder // of the totals sent to it
}

type modelKey struct {
	service string
	model   message.ModelName
}

func newSubscriptionTable() *subscriptionTable {
	return &subscriptionTable{
		bySubscriber: map[string]*subscription{}, demand: map[modelKey]*message.ModelDemand{},
		loads: map[message.BackendID]message.BackendLoad{},
	}
}

// record stores what a subscriber reports with a poll.
func (t *subscriptionTable) record(subscriber string, request *message.PollRequest, now time.Time) {
	known := t.bySubscriber[subscriber]
	if known == nil {
		known = &subscription{}
		t.bySubscriber[subscriber] = known
	}
	known.proxies, known.lastPoll = request.Proxies, now
	known.demand, known.retries = request.Demand, request.Retries
	t.setLoads(known, request.Loads)
	if version := request.BackendsVersion; version != nil {
		known.oldest = time.Duration(version.OldestMs) * time.Millisecond
	}
	for _, demand := range request.Demand {
		sum := t.demandOf(demand.Service, demand.Model)
		sum.Arrivals += demand.Arrivals
		sum.Unserved += demand.Unserved
	}
}

// demandOf returns the sum for a model, and adds an empty one if there is none.
func (t *subscriptionTable) demandOf(service string, model message.ModelName) *message.ModelDemand {
	key := modelKey{service, model}
	sum := t.demand[key]
	if sum == nil {
		sum = &message.ModelDemand{Service: service, Model: model}
		t.demand[key] = sum
	}
	return sum
}

// countProxies returns the number of proxies that the subscribers report for. It removes subscriptions that have
// expired.
func (t *subscriptionTable) countProxies(now time.Time) int {
	count := 0
	for subscriber, known := range t.bySubscriber {
		if now.Sub(known.lastPoll) > subscriptionLifetime {
			t.setLoads(known, nil)
			delete(t.bySubscriber, subscriber)
			continue
		}
		count += known.proxies
	}
	return count
}

// oldestListAge returns the age of the oldest list of backends that a subscriber reported.
func (t *subscriptionTable) oldestListAge(now time.Time) time.Duration {
	var oldest time.Duration
	for _, known := range t.bySubscriber {
		if now.Sub(known.lastPoll) <= subscriptionLifetime {
			oldest = max(oldest, known.oldest)
		}
	}
	return oldest
}

// sumLoads returns the loads of all subscribers by backend.
func (t *subscriptionTable) sumLoads(now time.Time) []message.BackendLoad {
	for _, known := range t.bySubscriber {
		if now.Sub(known.lastPoll) > reportLifetime {
			t.setLoads(known, nil)
		}
	}
	if t.sums == nil {
		t.sums = make([]message.BackendLoad, 0, len(t.loads))
		for _, load := range t.loads {
			t.sums = append(t.sums, load)
		}
	}
	return t.sums
}

// sumRetries returns the requests and retries of all subscribers by service.
func (t *subscriptionTable) sumRetries(now time.Time) []message.ServiceRetries {
	byService := map[string]message.ServiceRetries{}
	for _, known := range t.bySubscriber {
		if now.Sub(known.lastPoll) > reportLifetime {
			continue
		}
		for _, retries := range known.retries {
			sum := byService[retries.Service]
			sum.Service = retries.Service
			sum.Requests += retries.Requests
			sum.Shared += retries.Shared
			byService[retries.Service] = sum
		}
	}
	return slices.Collect(maps.Values(byService))
}

// setLoads replaces the loads of a subscriber in the sums.
func (t *subscriptionTable) setLoads(known *subscription, loads []message.BackendLoad) {
	if len(known.loads) == 0 && len(loads) == 0 {
		return
	}
	for _, load := range known.loads {
		t.addLoad(load.Backend, -load.InFlight, -load.QueuedPrefillMs)
	}
	for _, load := range loads {
		t.addLoad(load.Backend, load.InFlight, load.QueuedPrefillMs)
	}
	known.loads, t.sums = loads, nil
}

func (t *subscriptionTable) addLoad(backend message.BackendID, inFlight, queuedPrefillMs int) {
	sum := t.loads[backend]
	sum.Backend = backend
	sum.InFlight += inFlight
	sum.QueuedPrefillMs += queuedPrefillMs
	if sum.InFlight == 0 && sum.QueuedPrefillMs == 0 {
		delete(t.loads, backend)
		return
	}
	t.loads[backend] = sum
}

// drainDemand returns the demand by model: arrivals and rejections since the last call, and the requests that are
// waiting and in flight now.
func (t *subscriptionTable) drainDemand(now time.Time) []message.ModelDemand {
	for _, known := range t.bySubscriber {
		if now.Sub(known.lastPoll) > reportLifetime {
			continue
		}
		for _, demand := range known.demand {
			sum := t.demandOf(demand.Service, demand.Model)
			sum.Waiting += demand.Waiting
			sum.InFlight += demand.InFlight
		}
	}
	drained := make([]message.ModelDemand, 0, len(t.demand))
	for _, demand := range t.demand {
		drained = append(drained, *demand)
	}
	t.demand = map[modelKey]*message.ModelDemand{}
	return drained
}
