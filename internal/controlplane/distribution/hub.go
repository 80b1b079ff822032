// Package distribution brings configuration, backends and loads to all proxies. A proxy pulls: it tells the versions
// that it has, and gets what is newer, or nothing after a while. The hub is the coordinators' side.
package distribution

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// Times of the hub.
const (
	sourceLifetime = 5 * time.Second // a proxy that pulled so long ago still counts
	loadLifetime   = 2 * time.Second // so long its loads and waiting requests count
	hubTick        = 50 * time.Millisecond
	// A pull is held so long while the member does not serve; then the proxy is sent on to another.
	unavailableHold = 200 * time.Millisecond
	keptTables      = 24 // earlier lists from which updates are made
)

// Status is what the hub is told of the member's standing.
type Status struct {
	// Until is when the member stops serving, unless a majority of the voters confirms its view again before. The hub
	// compares it with the time of each answer, so that a process that stood still hands out nothing old.
	Until   time.Time
	Members []message.Member
}

// Hub answers pulls. One goroutine owns its tables and works through a queue of commands.
type Hub struct {
	commands chan func(*state)
	status   atomic.Pointer[Status]
	config   atomic.Pointer[message.ConfigUpdate]
	onUrgent atomic.Pointer[func()]
}

type state struct {
	config   configHistory
	table    *discovery.Table
	recent   []*discovery.Table                // earlier tables, the newest last
	updates  map[uint64]*message.BackendUpdate // to the present table, by the digest that they build on
	sources  map[string]*source
	held     []heldPull
	demand   map[demandKey]*message.ModelDemand
	upstream []message.BackendLoad // what all proxies together carry, from the lease holder
	proxies  int                   // how many proxies there are, from the lease holder; 0: not known
	orders   []message.PendingLoad
	ordersAt time.Time
	ledger   *Ledger
	holders  holderIndex
}

type source struct {
	proxies int
	at      time.Time
	loads   []message.BackendLoad
	demand  []message.ModelDemand // its waiting and running requests
	told    loadsTold
}

type demandKey struct {
	service string
	model   message.ModelName
}

type heldPull struct {
	pull    message.PollRequest
	from    string
	arrived time.Time
	reply   func(*message.Message)
}

// NewHub makes a hub; Run must be called once.
func NewHub() *Hub {
	h := &Hub{commands: make(chan func(*state), 256)}
	h.status.Store(&Status{})
	return h
}

// Run works through the commands until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	s := &state{sources: map[string]*source{}, demand: map[demandKey]*message.ModelDemand{}, ledger: NewLedger()}
	ticker := time.NewTicker(hubTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-h.commands:
			command(s)
		case now := <-ticker.C:
			h.answerDue(s, now)
		}
	}
}

// SetStatus tells the member's standing.
func (h *Hub) SetStatus(status Status) { h.status.Store(&status) }

// SetOnUrgent sets what is called when a source tells of requests that wait for a model or were refused for it.
func (h *Hub) SetOnUrgent(call func()) { h.onUrgent.Store(&call) }

// Config returns the newest acknowledged configuration, nil where none is known.
func (h *Hub) Config() *message.ConfigUpdate { return h.config.Load() }

// SetConfig tells the newest acknowledged configuration.
func (h *Hub) SetConfig(update message.ConfigUpdate) {
	h.config.Store(&update)
	h.commands <- func(s *state) {
		if s.config.put(update) {
			h.answerDue(s, time.Now())
		}
	}
}

// SetTable tells a list of backends; an older one than the present is passed over.
func (h *Hub) SetTable(table *discovery.Table) {
	h.commands <- func(s *state) {
		if s.table.IsKnown() && !table.Observed.After(s.table.Observed) {
			return
		}
		changed := !s.table.IsKnown() || s.table.Digest != table.Digest
		if changed && s.table.IsKnown() {
			s.recent = append(s.recent, s.table)
			s.recent = s.recent[max(0, len(s.recent)-keptTables):]
		}
		if changed {
			s.updates = map[uint64]*message.BackendUpdate{}
		}
		s.table = table
		if changed {
			h.answerDue(s, time.Now())
		}
	}
}

// SetTotals tells what the lease holder knows of all proxies.
func (h *Hub) SetTotals(loads []message.BackendLoad, proxies int, orders []message.PendingLoad) {
	h.commands <- func(s *state) {
		s.upstream, s.proxies = loads, proxies
		s.setOrders(orders)
	}
}

// SetHolder says that this member is the lease holder itself, and which loads it has under way.
func (h *Hub) SetHolder(orders []message.PendingLoad) {
	h.commands <- func(s *state) {
		s.upstream, s.proxies = nil, 0
		s.setOrders(orders)
	}
}

// Table returns the newest list of backends.
func (h *Hub) Table() *discovery.Table {
	answer := make(chan *discovery.Table, 1)
	h.commands <- func(s *state) { answer <- s.table }
	return <-answer
}

// Proxies returns how many proxies there are, as far as is known here.
func (h *Hub) Proxies() int {
	answer := make(chan int, 1)
	h.commands <- func(s *state) { answer <- max(s.proxies, s.countProxies(time.Now())) }
	return <-answer
}

// TakeDemand returns what was asked since the last call, the loads of all sources and how many proxies they are.
func (h *Hub) TakeDemand() ([]message.ModelDemand, []message.BackendLoad, int) {
	type taken struct {
		demand  []message.ModelDemand
		loads   []message.BackendLoad
		proxies int
	}
	answer := make(chan taken, 1)
	h.commands <- func(s *state) {
		now := time.Now()
		answer <- taken{s.takeDemand(now), s.sumLoads(now), s.countProxies(now)}
	}
	t := <-answer
	return t.demand, t.loads, t.proxies
}

// HandlePull takes a pull; reply is called once.
func (h *Hub) HandlePull(from string, pull message.PollRequest, reply func(*message.Message)) {
	arrived := time.Now()
	h.commands <- func(s *state) {
		s.note(from, &pull, arrived)
		if call := h.onUrgent.Load(); call != nil && isUrgent(&pull) {
			(*call)()
		}
		held := heldPull{pull: pull, from: from, arrived: arrived, reply: reply}
		if !h.tryAnswer(s, &held, time.Now()) {
			s.held = append(s.held, held)
		}
	}
}

func isUrgent(pull *message.PollRequest) bool {
	return slices.ContainsFunc(pull.Demand, func(d message.ModelDemand) bool { return d.Waiting > 0 || d.Unserved > 0 })
}

func (h *Hub) answerDue(s *state, now time.Time) {
	kept := s.held[:0]
	for i := range s.held {
		if !h.tryAnswer(s, &s.held[i], now) {
			kept = append(kept, s.held[i])
		}
	}
	clear(s.held[len(kept):])
	s.held = kept
}

// tryAnswer answers a pull when there is something newer, or when it was held for long enough.
func (h *Hub) tryAnswer(s *state, held *heldPull, now time.Time) bool {
	status := h.status.Load()
	waited := now.Sub(held.arrived)
	if !now.Before(status.Until) {
		if waited < unavailableHold && waited < time.Duration(held.pull.MaxWaitMs)*time.Millisecond {
			return false // a view that has just changed is confirmed in a moment
		}
		go held.reply(&message.Message{PollResponse: &message.PollResponse{ID: held.pull.ID, Unavailable: true, Members: status.Members}})
		return true
	}
	newConfig := s.config.newest() > held.pull.ConfigSequence
	newBackends := s.table.IsKnown() && s.table.Digest != held.pull.BackendDigest
	if !newConfig && !newBackends && waited < time.Duration(held.pull.MaxWaitMs)*time.Millisecond {
		return false
	}
	reply := &message.PollResponse{ID: held.pull.ID, Members: status.Members, WaitedMs: waited.Milliseconds()}
	if newConfig {
		reply.Config = s.config.updateFrom(held.pull.ConfigSequence)
	}
	if s.table.IsKnown() {
		reply.BackendsKnown = true
		reply.BackendsAgeMs = now.Sub(s.table.Observed).Milliseconds()
		if newBackends {
			reply.Backends = s.updateFrom(held.pull.BackendDigest)
		}
	}
	reply.Proxies = max(s.proxies, s.countProxies(now))
	s.addLoads(reply, held, now)
	reply.PendingLoads = s.remainingOrders(now)
	go held.reply(&message.Message{PollResponse: reply})
	return true
}

// addLoads adds the sums of loads to an answer, as differences where the source has the version told last.
func (s *state) addLoads(reply *message.PollResponse, held *heldPull, now time.Time) {
	totals := s.upstream
	if totals == nil {
		totals = s.sumLoads(now)
	}
	known := s.sources[held.from]
	if known == nil {
		reply.TotalLoads, reply.LoadsComplete = totals, true
		return
	}
	reply.TotalLoads, reply.LoadsComplete, reply.LoadVersion = known.told.next(held.pull.LoadVersion, totals)
}

// updateFrom makes the update for who has the table of that digest: the whole table where it is not known any more.
func (s *state) updateFrom(digest uint64) *message.BackendUpdate {
	if update := s.updates[digest]; update != nil {
		return update
	}
	update := s.table.Whole()
	for _, old := range s.recent {
		if old.Digest == digest {
			update = s.table.Since(old)
		}
	}
	s.updates[digest] = update
	return update
}

func (s *state) setOrders(orders []message.PendingLoad) { s.orders, s.ordersAt = orders, time.Now() }

// remainingOrders tells the loads under way with the time that is left from now.
func (s *state) remainingOrders(now time.Time) []message.PendingLoad {
	orders := make([]message.PendingLoad, 0, len(s.orders))
	for _, order := range s.orders {
		order.ReadyInMs -= now.Sub(s.ordersAt).Milliseconds()
		orders = append(orders, order)
	}
	return orders
}

// note keeps what a source tells of itself.
func (s *state) note(from string, pull *message.PollRequest, now time.Time) {
	known := s.sources[from]
	if known == nil {
		known = &source{}
		s.sources[from] = known
	}
	known.proxies, known.at = pull.Proxies, now
	known.loads, known.demand = pull.Loads, pull.Demand
	for _, d := range pull.Demand {
		sum := s.demandFor(d.Service, d.Model)
		sum.Arrivals += d.Arrivals
		sum.Unserved += d.Unserved
	}
}

// demandFor returns the sum for a model, which it makes where there is none.
func (s *state) demandFor(service string, model message.ModelName) *message.ModelDemand {
	key := demandKey{service, model}
	sum := s.demand[key]
	if sum == nil {
		sum = &message.ModelDemand{Service: service, Model: model}
		s.demand[key] = sum
	}
	return sum
}

func (s *state) countProxies(now time.Time) int {
	count := 0
	for from, known := range s.sources {
		if now.Sub(known.at) > sourceLifetime {
			delete(s.sources, from)
			continue
		}
		count += known.proxies
	}
	return count
}

func (s *state) sumLoads(now time.Time) []message.BackendLoad {
	sums := map[message.BackendID]message.BackendLoad{}
	for _, known := range s.sources {
		if now.Sub(known.at) > loadLifetime {
			continue
		}
		for _, load := range known.loads {
			sum := sums[load.Backend]
			sum.Backend = load.Backend
			sum.Running += load.Running
			sum.Queued += load.Queued
			sums[load.Backend] = sum
		}
	}
	return slices.Collect(maps.Values(sums))
}

func (s *state) takeDemand(now time.Time) []message.ModelDemand {
	for _, known := range s.sources {
		if now.Sub(known.at) > loadLifetime {
			continue
		}
		for _, d := range known.demand {
			sum := s.demandFor(d.Service, d.Model)
			sum.Waiting += d.Waiting
			sum.Running += d.Running
		}
	}
	taken := make([]message.ModelDemand, 0, len(s.demand))
	for _, d := range s.demand {
		taken = append(taken, *d)
	}
	s.demand = map[demandKey]*message.ModelDemand{}
	return taken
}
