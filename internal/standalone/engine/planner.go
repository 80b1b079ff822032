// Package engine runs the decision module for one proxy. It owns the decide.Balancer: it hands it one event
// at a time, keeps its clock and its timers, and passes each action on to the call it belongs to or to the
// watcher of the pool config. It knows nothing of HTTP, so that any protocol can use it.
package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"pumiceline/internal/standalone/policy"
)

// Hooks take the actions that belong to no call. They are called while the planner is locked: they must
// return at once and must not call the planner.
type Hooks struct {
	SubscribeDiscovery func()
	CloseIdleConns     func(server uint32)
	PollLoad           func(server uint32) // asks a server for its load; Probed tells what came of it
}

// Policy makes the decisions: a *decide.Balancer, save in tests.
type Policy interface {
	Handle(now policy.Time, ev *policy.Event, out []policy.Action) []policy.Action
}

// What a Policy may do beside Handle. A policy without one of these methods goes without.
type (
	reconfigurable interface {
		ApplySettings(policy.Settings) error
	}
	snapshotter interface {
		Snapshot() *policy.Snapshot
	}
	restorer interface {
		Restore(policy.Time, *policy.Snapshot) bool
	}
	sizeReporter interface {
		TableSizes() policy.TableSizes
	}
	ejectionReporter interface {
		EjectedServers() int
	}
)

// The policy in service has all of them.
var _ interface {
	Policy
	reconfigurable
	snapshotter
	restorer
	sizeReporter
	ejectionReporter
} = (*policy.Balancer)(nil)

// Engine serialises what happens to one Balancer. Its methods may be called from any goroutine.
type Engine struct {
	hooks Hooks
	log   *slog.Logger

	mu       sync.Mutex
	policy   Policy
	actions  []policy.Action
	calls    map[uint64]*Call
	nextID   uint64
	timers   timerQueue
	timerSeq uint64
	wake     chan struct{}

	origin       time.Time // with its monotonic reading
	originMicros policy.Time
}

// New returns a planner for module.
func New(module Policy, hooks Hooks, log *slog.Logger) *Engine {
	now := time.Now()
	return &Engine{hooks: hooks, log: log, policy: module, calls: map[uint64]*Call{},
		wake: make(chan struct{}, 1), origin: now, originMicros: now.UnixMicro()}
}

// now is the module's clock: Unix time read once, carried on by the monotonic clock. A step of the system's
// clock must not let ramps and windows jump.
func (p *Engine) now() policy.Time { return p.originMicros + time.Since(p.origin).Microseconds() }

// TimeOf is when the module's clock shows t.
func (p *Engine) TimeOf(t policy.Time) time.Time {
	return p.origin.Add(time.Duration(t-p.originMicros) * time.Microsecond)
}

// Request is what the module is told about a new request.
type Request struct {
	Class       uint8
	Tenant      uint32
	AffinityKey uint64
	WorkHint    policy.Time
	Deadline    time.Time // when the last attempt has to have ended
	BodyPending bool      // the body is still coming; Handed tells when a destination has it
}

// maxActions is more than the module can say about one call: at most 8 sends, as many cancels, one answer.
const maxActions = 32

// Call is one request on its way through the module.
type Call struct {
	engine   *Engine
	id       uint64
	actions  chan policy.Action
	ended    bool
	attempts []attempt
	running  int
}

type attempt struct {
	server  uint32
	started time.Time
	running bool
}

// Actions brings what the module wants done for the call: Send, Cancel, and at most one Refuse or Fail.
func (c *Call) Actions() <-chan policy.Action { return c.actions }

// Start tells the module of a new request.
func (p *Engine) Start(a Request) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	c := &Call{engine: p, id: p.nextID, actions: make(chan policy.Action, maxActions)}
	p.calls[c.id] = c
	p.dispatch(&policy.Event{Kind: policy.RequestArrived, ID: c.id, Class: a.Class, Tenant: a.Tenant, AffinityKey: a.AffinityKey,
		Work: a.WorkHint, ClientTimeout: time.Until(a.Deadline).Microseconds(), BodyPending: a.BodyPending})
	return c
}

// BodySent tells the module that a slow request's last byte has come, and so is with the destination of an attempt.
func (c *Call) BodySent(attempt uint8) {
	p := c.engine
	p.mu.Lock()
	defer p.mu.Unlock()
	if int(attempt) < len(c.attempts) && c.attempts[attempt].running {
		p.dispatch(&policy.Event{Kind: policy.BodySent, ID: c.id, Attempt: attempt})
	}
}

// Finish reports how an attempt ended. It is true if the attempt's answer is the call's final one: the outcome
// is OK and nothing had ended the call before. What a second report of the same attempt says is ignored. sent is when the last byte
// of a request that took its time to send went out: a slow client is no slow server. It may be zero.
func (c *Call) Finish(attempt uint8, outcome policy.Outcome, report []float32, sent time.Time) bool {
	p := c.engine
	p.mu.Lock()
	defer p.mu.Unlock()
	if int(attempt) >= len(c.attempts) || !c.attempts[attempt].running {
		return false
	}
	s := &c.attempts[attempt]
	s.running = false
	c.running--
	answers := outcome == policy.OK && !c.ended
	c.ended = c.ended || answers
	if sent.Before(s.started) {
		sent = s.started
	}
	p.dispatch(&policy.Event{Kind: policy.AttemptEnded, ID: c.id, Attempt: attempt, Server: s.server,
		Outcome: outcome, Elapsed: time.Since(sent).Microseconds(), Final: c.ended, Report: report})
	c.removeIfEnded()
	return answers
}

// Abandon tells the module that the client is gone or has waited too long; a call that is over stays as it is.
func (c *Call) Abandon() {
	p := c.engine
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	p.dispatch(&policy.Event{Kind: policy.RequestAbandoned, ID: c.id})
	c.removeIfEnded()
}

func (c *Call) removeIfEnded() {
	if c.ended && c.running == 0 {
		delete(c.engine.calls, c.id)
	}
}

// LoadPolled tells the module how a probe ended that Hooks.Probe was called for.
func (p *Engine) LoadPolled(server uint32, outcome policy.Outcome, took time.Duration, report []float32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(&policy.Event{Kind: policy.LoadPolled, Server: server, Outcome: outcome, Elapsed: took.Microseconds(), Report: report})
}

// UpdateMembers tells the module what discovery said. kind is one of the module's list events.
func (p *Engine) UpdateMembers(kind policy.EventKind, members []policy.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(&policy.Event{Kind: kind, Members: members})
}

// ApplySettings gives the module other settings, between two events. An error means that it keeps the ones that it has.
func (p *Engine) ApplySettings(set policy.Settings) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.policy.(reconfigurable)
	if !ok {
		return errors.New("planner: this module keeps the settings that it began with")
	}
	return m.ApplySettings(set)
}

// Snapshot is what the module has found out, as JSON; nothing where the module does not say.
func (p *Engine) Snapshot() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.policy.(snapshotter)
	if !ok {
		return nil, nil
	}
	text, err := json.Marshal(m.Snapshot())
	if err != nil {
		return nil, fmt.Errorf("planner: what the module has learnt: %w", err)
	}
	return text, nil
}

// Restore gives the module what another has found out, if that is no older than most. An error means that it was not believed.
func (p *Engine) Restore(text []byte, most time.Duration) error {
	var l policy.Snapshot
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.policy.(restorer)
	switch {
	case !ok:
		return errors.New("planner: this module learns for itself")
	case p.now()-l.At > most.Microseconds():
		return fmt.Errorf("planner: it is %v old", time.Duration(p.now()-l.At)*time.Microsecond)
	case !m.Restore(p.now(), &l):
		return errors.New("planner: it has numbers that cannot be")
	}
	return nil
}

// TableSizes are the numbers of entries in the engine's tables, for the admin API.
type TableSizes struct {
	Calls  int
	Timers int
	Policy policy.TableSizes // zero where the policy does not say
}

// TableSizes returns how many entries the tables hold now.
func (p *Engine) TableSizes() TableSizes {
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes := TableSizes{Calls: len(p.calls), Timers: len(p.timers)}
	if m, ok := p.policy.(sizeReporter); ok {
		sizes.Policy = m.TableSizes()
	}
	return sizes
}

// EjectedServers is how many listed servers the module gives no turns by its own choice; 0 where the module does not say.
func (p *Engine) EjectedServers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.policy.(ejectionReporter); ok {
		return m.EjectedServers()
	}
	return 0
}

// dispatch gives the module one event and passes the actions on. A panic in the module costs the decision and
// not the process, which would take every request in flight with it: calls left unanswered end at their
// deadline.
func (p *Engine) dispatch(ev *policy.Event) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error("the decision module panicked", "panic", r, "event", ev.Kind, "stack", string(debug.Stack()))
		}
	}()
	p.actions = p.policy.Handle(p.now(), ev, p.actions[:0])
	for i := range p.actions {
		p.execute(&p.actions[i])
	}
}

func (p *Engine) execute(a *policy.Action) {
	switch a.Kind {
	case policy.SetTimer:
		p.timerSeq++
		heap.Push(&p.timers, timer{due: time.Now().Add(time.Duration(a.After) * time.Microsecond), seq: p.timerSeq, id: a.ID})
		if p.timers[0].seq == p.timerSeq {
			select {
			case p.wake <- struct{}{}:
			default:
			}
		}
	case policy.SubscribeDiscovery:
		p.hooks.SubscribeDiscovery()
	case policy.CloseIdleConns:
		p.hooks.CloseIdleConns(a.Server)
	case policy.PollLoad:
		if p.hooks.PollLoad != nil {
			p.hooks.PollLoad(a.Server)
		}
	case policy.LogMessage:
		p.log.Info("module", "text", a.Text)
	case policy.SendAttempt, policy.RejectRequest, policy.FailRequest, policy.CancelAttempt:
		c := p.calls[a.ID]
		if c == nil || c.ended && a.Kind != policy.CancelAttempt {
			p.log.Warn("action for a call that is over", "kind", a.Kind)
			return
		}
		switch a.Kind {
		case policy.SendAttempt:
			c.attempts = append(c.attempts, attempt{server: a.Server, started: time.Now(), running: true})
			c.running++
			a.Attempt = uint8(len(c.attempts) - 1)
		case policy.RejectRequest, policy.FailRequest:
			c.ended = true
			c.removeIfEnded()
		}
		select {
		case c.actions <- *a:
		default:
			p.log.Error("more actions for a call than it can have", "kind", a.Kind)
		}
	default:
		p.log.Error("action that this proxy does not know", "kind", a.Kind)
	}
}

// Run fires the module's timers until ctx ends.
func (p *Engine) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(time.Until(p.fireDueTimers()))
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
		case <-p.wake:
		}
	}
}

// fireDueTimers hands over the timers that are due and returns when the next one is. Timers that the module sets
// meanwhile wait for the next round, so that it can never hold the planner for good.
func (p *Engine) fireDueTimers() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, last := time.Now(), p.timerSeq
	var again []timer
	for len(p.timers) > 0 && !p.timers[0].due.After(now) {
		t := heap.Pop(&p.timers).(timer)
		if t.seq > last {
			again = append(again, t)
			continue
		}
		p.dispatch(&policy.Event{Kind: policy.TimerFired, ID: t.id})
	}
	for _, t := range again {
		heap.Push(&p.timers, t)
	}
	if len(p.timers) == 0 {
		return now.Add(time.Hour)
	}
	return p.timers[0].due
}

type timer struct {
	due time.Time
	seq uint64 // timers due together fire in the order of their setting
	id  uint64
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].seq < q[j].seq
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	return t
}
