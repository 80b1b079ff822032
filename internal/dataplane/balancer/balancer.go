// Package balancer decides for each request which backend gets it, whether it waits, or whether it is refused. It is
// a state machine: it takes requests, outcomes, the list of backends and the time, and knows no network.
//
// The choice is weighted round robin: each backend that holds the requested model is due at evenly spaced turns by
// its weight (A58, with slow start by A100); among the turns that are due next, the least loaded backend is taken.
package balancer

import (
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// Request is what the balancer knows of a request.
type Request struct {
	Service      string
	Model        message.ModelName // with its adapter after a slash; empty for services without models
	Priority     int
	PromptTokens int
	OutputTokens int
	PrefixKey    uint64 // hash of model and shared prompt parts; 0: none
	Arrived      time.Time
	Deadline     time.Time
	Patience     time.Time // a client that has heard nothing until then has left
	Aim          time.Duration

	grant   chan Grant
	tried   []message.BackendID
	sends   int // attempts that may have arrived at a backend
	counted bool
	waits   bool
	work    float64 // milliseconds that reading its prompt should take
	queued  bool    // its first event has not come yet
	reason  WaitReason
}

// Grant is the answer to a request: a backend, or a refusal.
type Grant struct {
	Backend    *Backend          // nil: refused; only the balancer looks into it
	ID         message.BackendID // the backend's
	Address    string
	RetryAfter time.Duration
	Reason     string
	Choice     Choice
}

// Choice is what the balancer saw when it granted or refused a request, for the log.
type Choice struct {
	Candidates int           // backends that could have taken it
	Running    int           // requests of all proxies at the chosen backend, as known here, without this one
	Queued     time.Duration // prompts that waited there
	Waited     WaitReason
}

// WaitReason says why a request waits.
type WaitReason int

// The reasons to wait.
const (
	WaitNone WaitReason = iota
	WaitModel
	WaitPlace
)

// String names the reason as the log has it.
func (r WaitReason) String() string {
	return [...]string{"none", "model", "place"}[r]
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of attempts.
const (
	Answered      Outcome = iota // an answer that serves its client
	Failed                       // the backend answered with a failure of its own, or broke off
	NotRun                       // the backend said that it did not run the request
	NotHere                      // 421: another backend, or the model is not there
	ConnectFailed                // nothing was sent
	Abandoned                    // the client left or the deadline passed
)

// Backend is a backend as this proxy sees it.
type Backend struct {
	message.Backend
	MaxConnections int

	holds     map[message.ModelName]time.Time // models and adapters, and since when they are ready here
	evidence  evidence
	due       float64 // virtual time of its next turn
	weight    float64
	running   int                 // requests of this proxy
	tokens    int                 // of these requests
	others    int                 // requests of other proxies, as last heard
	heardAt   time.Time           // when the backend itself told its load last
	freshAt   time.Time           // when the others' load was asked for last
	queued    float64             // milliseconds of this proxy's prompts that have not brought their first event
	queuedOut float64             // the same of other proxies, as last heard
	reported  message.BackendLoad // what this proxy last told of itself
	listed    bool
	lost      bool // sends fail to connect
	trialOut  bool
	retryAt   time.Time
	backoff   time.Duration
	shedUntil time.Time // it said that it is full
	missing   map[message.ModelName]time.Time
}

// Bounds of waiting and choosing.
const (
	lookAhead      = 4 // due turns that are compared by load
	connectBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	shedPause      = 150 * time.Millisecond
	missingPause   = 1500 * time.Millisecond // a model that a backend said it lacks is not looked for there
	memoryShare    = 0.9

	ownWordLifetime = 600 * time.Millisecond // so long a backend's own word on its load stands above the proxies' sum
	maxWaiting      = 512
)

// Balancer has one owner and no locks.
type Balancer struct {
	zone          string
	config        *configuration.Config
	backends      map[message.BackendID]*Backend
	services      map[string]*service
	waiting       []*Request
	budget        *RetryBudget
	demand        map[demandKey]*demandCount
	orders        []expectedLoad
	pace          paceTable
	leaving       bool
	hasConnection func(backend message.BackendID) bool // whether an idle connection is kept; nil: not known
	urgent        bool                                 // a model is missing that the coordinators have not been told of
	changed       map[message.BackendID]*Backend       // whose load by this proxy has changed since TakeChanged
}

type service struct {
	backends []*Backend
	time     float64 // virtual time of the turns
}

type demandKey struct {
	service string
	model   message.ModelName
}

type demandCount struct {
	arrivals, missed float64
	running          int
}

type expectedLoad struct {
	message.PendingLoad
	at time.Time
}

// New makes a balancer for a proxy in zone.
func New(zone string, budget *RetryBudget) *Balancer {
	return &Balancer{
		zone: zone, budget: budget,
		pace: paceTable{}, backends: map[message.BackendID]*Backend{}, services: map[string]*service{}, demand: map[demandKey]*demandCount{},
		changed: map[message.BackendID]*Backend{},
	}
}

// SetConnections tells how to find out whether an idle connection to a backend is kept. It is called by the owner alone.
func (b *Balancer) SetConnections(hasIdle func(backend message.BackendID) bool) {
	b.hasConnection = hasIdle
}

// SetConfig takes the configuration in force.
func (b *Balancer) SetConfig(config *configuration.Config, now time.Time) {
	b.config = config
	for _, backend := range b.backends {
		backend.MaxConnections = b.connectionShare(backend.Service)
	}
	b.serveWaiting(now)
}

// connectionShare is this proxy's part of the connections that a backend accepts.
func (b *Balancer) connectionShare(name string) int {
	if b.config == nil || b.config.Services[name] == nil {
		return 1
	}
	return max(1, b.config.Services[name].MaxConnections/b.budget.Proxies())
}

// SetProxies says how many proxies there are.
func (b *Balancer) SetProxies(count int, now time.Time) {
	b.budget.SetProxies(count, now)
	for _, backend := range b.backends {
		backend.MaxConnections = b.connectionShare(backend.Service)
	}
}

// SetBackends takes the list of backends; it returns those that are gone.
func (b *Balancer) SetBackends(list []message.Backend, now time.Time) (gone []*Backend) {
	first := len(b.backends) == 0
	for _, backend := range b.backends {
		backend.listed = false
	}
	for i := range list {
		b.take(list[i], first, now)
	}
	for _, s := range b.services {
		s.backends = s.backends[:0]
	}
	for id, backend := range b.backends {
		if !backend.listed {
			delete(b.backends, id)
			gone = append(gone, backend)
		}
	}
	for i := range list {
		s := b.serviceOf(list[i].Service)
		s.backends = append(s.backends, b.backends[list[i].ID])
	}
	b.serveWaiting(now)
	return gone
}

func (b *Balancer) serviceOf(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{}
		b.services[name] = s
	}
	return s
}

// take adds or updates one backend. What it shows for the first time is ready since now, except in the first list.
func (b *Balancer) take(entry message.Backend, first bool, now time.Time) {
	backend := b.backends[entry.ID]
	if backend == nil {
		backend = &Backend{holds: map[message.ModelName]time.Time{}, missing: map[message.ModelName]time.Time{}, weight: 1}
		backend.MaxConnections = b.connectionShare(entry.Service)
		if !first {
			backend.evidence.readySince = now
		}
		b.backends[entry.ID] = backend
	}
	backend.Backend, backend.listed = entry, true
	readySince := now
	if first {
		readySince = time.Time{} // it may have been there for long
	}
	held := map[message.ModelName]time.Time{}
	for _, model := range entry.Models {
		keepSince(held, backend.holds, model.Name, readySince)
		for _, adapter := range model.Adapters {
			keepSince(held, backend.holds, model.Name.WithAdapter(adapter), readySince)
		}
	}
	backend.holds = held
}

func keepSince(to, from map[message.ModelName]time.Time, name message.ModelName, now time.Time) {
	since, ok := from[name]
	if !ok {
		since = now
	}
	to[name] = since
}

// SetTotals takes what all proxies together carry, and the loads under way.
func (b *Balancer) SetTotals(loads []message.BackendLoad, orders []message.PendingLoad, now time.Time) {
	totals := map[message.BackendID]message.BackendLoad{}
	for _, load := range loads {
		totals[load.Backend] = load
	}
	for id, backend := range b.backends {
		if now.Sub(backend.freshAt) <= ownWordLifetime {
			continue
		}
		if now.Sub(backend.heardAt) > ownWordLifetime {
			backend.others = max(0, totals[id].Running-backend.reported.Running)
		}
		backend.queuedOut = float64(max(0, totals[id].Queued-backend.reported.Queued))
	}
	b.orders = b.orders[:0]
	for _, order := range orders {
		b.orders = append(b.orders, expectedLoad{order, now.Add(time.Duration(order.ReadyInMs) * time.Millisecond)})
	}
	b.serveWaiting(now)
}

// Refresh takes what the other proxies carry at the holders of a model at this moment; where nothing is named they carry
// nothing.
func (b *Balancer) Refresh(service string, model message.ModelName, loads []message.BackendLoad, now time.Time) {
	s := b.services[service]
	if s == nil {
		return
	}
	others := map[message.BackendID]message.BackendLoad{}
	for _, load := range loads {
		others[load.Backend] = load
	}
	for _, backend := range s.backends {
		if !backend.has(model, now) {
			continue
		}
		backend.others, backend.queuedOut, backend.freshAt = others[backend.ID].Running, float64(others[backend.ID].Queued), now
	}
	b.serveWaiting(now)
}

// TakeChanged returns what this proxy carries at the backends where that has changed since the last call.
func (b *Balancer) TakeChanged() []message.BackendLoad {
	if len(b.changed) == 0 {
		return nil
	}
	loads := make([]message.BackendLoad, 0, len(b.changed))
	for id, backend := range b.changed {
		loads = append(loads, message.BackendLoad{Backend: id, Running: backend.running, Queued: int(backend.queued)})
	}
	clear(b.changed)
	return loads
}

// FirstWaiting returns what the first request that waits for a place asks for.
func (b *Balancer) FirstWaiting() (service string, model message.ModelName, waits bool) {
	for _, request := range b.waiting {
		if request.reason == WaitPlace && request.Model != "" {
			return request.Service, request.Model, true
		}
	}
	return "", "", false
}

// Observe takes what a backend tells of its load with an answer.
func (b *Balancer) Observe(backend *Backend, running, waiting int, now time.Time) {
	if now.Sub(backend.freshAt) <= ownWordLifetime {
		return // what the others told is as new, and knows of requests on their way
	}
	backend.others = max(0, running+waiting-backend.running)
	backend.heardAt = now
}

// Report returns what the coordinators are told: demand since the last report and the present loads.
func (b *Balancer) Report() (demand []message.ModelDemand, loads []message.BackendLoad) {
	b.urgent = false
	waiting := map[demandKey]int{}
	for _, request := range b.waiting {
		if request.reason == WaitModel {
			waiting[demandKey{request.Service, request.Model}]++
		}
	}
	for key, count := range b.demand {
		entry := message.ModelDemand{
			Service: key.service, Model: key.model, Arrivals: count.arrivals, Unserved: count.missed,
			Running: count.running, Waiting: waiting[key],
		}
		count.arrivals, count.missed = 0, 0
		if entry.Arrivals == 0 && entry.Unserved == 0 && entry.Running == 0 && entry.Waiting == 0 {
			delete(b.demand, key)
			continue
		}
		demand = append(demand, entry)
	}
	for id, backend := range b.backends {
		backend.reported = message.BackendLoad{Backend: id, Running: backend.running, Queued: int(backend.queued)}
		if backend.running > 0 {
			loads = append(loads, backend.reported)
		}
	}
	return demand, loads
}

func (b *Balancer) countDemand(request *Request) *demandCount {
	key := demandKey{request.Service, request.Model}
	count := b.demand[key]
	if count == nil {
		count = &demandCount{}
		b.demand[key] = count
	}
	return count
}
