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
	Subscribe   func()
	CloseUnused func(server uint32)
	Probe       func(server uint32) // asks a server for its load; Probed tells what came of it
}

// Module makes the decisions: a *decide.Balancer, save in tests.
type Module interface {
	Handle(now policy.Time, ev *policy.Event, out []policy.Action) []policy.Action
}

// Planner serialises what happens to one Balancer. Its methods may be called from any goroutine.
type Planner struct {
	hooks Hooks
	log   *slog.Logger

	mu      sync.Mutex
	module  Module
	actions []policy.Action
	calls   map[uint64]*Call
	nextID  uint64
	timers  timerQueue
	seq     uint64
	wake    chan struct{}

	origin time.Time // with its monotonic reading
	base   policy.Time
}

// New returns a planner for module.
func New(module Module, hooks Hooks, log *slog.Logger) *Planner {
	now := time.Now()
	return &Planner{hooks: hooks, log: log, module: module, calls: map[uint64]*Call{},
		wake: make(chan struct{}, 1), origin: now, base: now.UnixMicro()}
}

// now is the module's clock: Unix time read once, carried on by the monotonic clock. A step of the system's
// clock must not let ramps and windows jump.
func (p *Planner) now() policy.Time { return p.base + time.Since(p.origin).Microseconds() }

// At is when the module's clock shows t.
func (p *Planner) At(t policy.Time) time.Time {
	return p.origin.Add(time.Duration(t-p.base) * time.Microsecond)
}

// Arrival is what the module is told about a new request.
type Arrival struct {
	Class    uint8
	Tenant   uint32
	Key      uint64
	Work     policy.Time
	Deadline time.Time // when the last attempt has to have ended
	Slow     bool      // the body is still coming; Handed tells when a destination has it
}

// maxActions is more than the module can say about one call: at most 8 sends, as many cancels, one answer.
const maxActions = 32

// Call is one request on its way through the module.
type Call struct {
	planner  *Planner
	id       uint64
	actions  chan policy.Action
	over     bool
	attempts []attempt
	out      int
}

type attempt struct {
	server  uint32
	started time.Time
	out     bool
}

// Actions brings what the module wants done for the call: Send, Cancel, and at most one Refuse or Fail.
func (c *Call) Actions() <-chan policy.Action { return c.actions }

// Arrive tells the module of a new request.
func (p *Planner) Arrive(a Arrival) *Call {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextID++
	c := &Call{planner: p, id: p.nextID, actions: make(chan policy.Action, maxActions)}
	p.calls[c.id] = c
	p.handle(&policy.Event{Kind: policy.Arrival, ID: c.id, Class: a.Class, Tenant: a.Tenant, Key: a.Key,
		Work: a.Work, Patience: time.Until(a.Deadline).Microseconds(), Slow: a.Slow})
	return c
}

// Handed tells the module that a slow request's last byte has come, and so is with the destination of an attempt.
func (c *Call) Handed(attempt uint8) {
	p := c.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	if int(attempt) < len(c.attempts) && c.attempts[attempt].out {
		p.handle(&policy.Event{Kind: policy.Handed, ID: c.id, Attempt: attempt})
	}
}

// Finish reports how an attempt ended. It is true if the attempt's answer is the call's final one: the outcome
// is OK and nothing had ended the call before. What a second report of the same attempt says is ignored. sent is when the last byte
// of a request that took its time to send went out: a slow client is no slow server. It may be zero.
func (c *Call) Finish(attempt uint8, outcome policy.Outcome, report []float32, sent time.Time) bool {
	p := c.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	if int(attempt) >= len(c.attempts) || !c.attempts[attempt].out {
		return false
	}
	s := &c.attempts[attempt]
	s.out = false
	c.out--
	answers := outcome == policy.OK && !c.over
	c.over = c.over || answers
	if sent.Before(s.started) {
		sent = s.started
	}
	p.handle(&policy.Event{Kind: policy.Outcomed, ID: c.id, Attempt: attempt, Server: s.server,
		Outcome: outcome, Elapsed: time.Since(sent).Microseconds(), Final: c.over, Report: report})
	c.forget()
	return answers
}

// Depart tells the module that the client is gone or has waited too long; a call that is over stays as it is.
func (c *Call) Depart() {
	p := c.planner
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.over {
		return
	}
	c.over = true
	p.handle(&policy.Event{Kind: policy.Departed, ID: c.id})
	c.forget()
}

func (c *Call) forget() {
	if c.over && c.out == 0 {
		delete(c.planner.calls, c.id)
	}
}

// Probed tells the module how a probe ended that Hooks.Probe was called for.
func (p *Planner) Probed(server uint32, outcome policy.Outcome, took time.Duration, report []float32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handle(&policy.Event{Kind: policy.Probed, Server: server, Outcome: outcome, Elapsed: took.Microseconds(), Report: report})
}

// List tells the module what discovery said. kind is one of the module's list events.
func (p *Planner) List(kind policy.EventKind, members []policy.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handle(&policy.Event{Kind: kind, Members: members})
}

// Change gives the module other settings, between two events. An error means that it keeps the ones that it has.
func (p *Planner) Change(set policy.Settings) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.module.(interface{ Change(policy.Settings) error })
	if !ok {
		return errors.New("planner: this module keeps the settings that it began with")
	}
	return m.Change(set)
}

// Learnt is what the module has found out, as JSON; nothing where the module does not say.
func (p *Planner) Learnt() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.module.(interface{ Learnt() *policy.Learnt })
	if !ok {
		return nil, nil
	}
	text, err := json.Marshal(m.Learnt())
	if err != nil {
		return nil, fmt.Errorf("planner: what the module has learnt: %w", err)
	}
	return text, nil
}

// Adopt gives the module what another has found out, if that is no older than most. An error means that it was not believed.
func (p *Planner) Adopt(text []byte, most time.Duration) error {
	var l policy.Learnt
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("planner: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.module.(interface {
		Adopt(policy.Time, *policy.Learnt) bool
	})
	switch {
	case !ok:
		return errors.New("planner: this module learns for itself")
	case p.now()-l.At > most.Microseconds():
		return fmt.Errorf("planner: it is %v old", time.Duration(p.now()-l.At)*time.Microsecond)
	case !m.Adopt(p.now(), &l):
		return errors.New("planner: it has numbers that cannot be")
	}
	return nil
}

// Kept is what is held in memory for calls: calls and timers here, and what the module says of itself.
func (p *Planner) Kept() (calls, timers int, module policy.Kept) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.module.(interface{ Kept() policy.Kept }); ok {
		module = m.Kept()
	}
	return len(p.calls), len(p.timers), module
}

// Avoided is how many listed servers the module gives no turns by its own choice; 0 where the module does not say.
func (p *Planner) Avoided() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.module.(interface{ Avoided() int }); ok {
		return m.Avoided()
	}
	return 0
}

// handle gives the module one event and passes the actions on. A panic in the module costs the decision and
// not the process, which would take every request in flight with it: calls left unanswered end at their
// deadline.
func (p *Planner) handle(ev *policy.Event) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error("the decision module panicked", "panic", r, "event", ev.Kind, "stack", string(debug.Stack()))
		}
	}()
	p.actions = p.module.Handle(p.now(), ev, p.actions[:0])
	for i := range p.actions {
		p.pass(&p.actions[i])
	}
}

func (p *Planner) pass(a *policy.Action) {
	switch a.Kind {
	case policy.SetTimer:
		p.seq++
		heap.Push(&p.timers, timer{due: time.Now().Add(time.Duration(a.After) * time.Microsecond), seq: p.seq, tag: a.ID})
		if p.timers[0].seq == p.seq {
			select {
			case p.wake <- struct{}{}:
			default:
			}
		}
	case policy.Subscribe:
		p.hooks.Subscribe()
	case policy.CloseUnused:
		p.hooks.CloseUnused(a.Server)
	case policy.Probe:
		if p.hooks.Probe != nil {
			p.hooks.Probe(a.Server)
		}
	case policy.LogLine:
		p.log.Info("module", "text", a.Text)
	case policy.Send, policy.Refuse, policy.Fail, policy.Cancel:
		c := p.calls[a.ID]
		if c == nil || c.over && a.Kind != policy.Cancel {
			p.log.Warn("action for a call that is over", "kind", a.Kind)
			return
		}
		switch a.Kind {
		case policy.Send:
			c.attempts = append(c.attempts, attempt{server: a.Server, started: time.Now(), out: true})
			c.out++
			a.Attempt = uint8(len(c.attempts) - 1)
		case policy.Refuse, policy.Fail:
			c.over = true
			c.forget()
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
func (p *Planner) Run(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(time.Until(p.fire()))
		select {
		case <-ctx.Done():
			return
		case <-alarm.C:
		case <-p.wake:
		}
	}
}

// fire hands over the timers that are due and returns when the next one is. Timers that the module sets
// meanwhile wait for the next round, so that it can never hold the planner for good.
func (p *Planner) fire() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, last := time.Now(), p.seq
	var again []timer
	for len(p.timers) > 0 && !p.timers[0].due.After(now) {
		t := heap.Pop(&p.timers).(timer)
		if t.seq > last {
			again = append(again, t)
			continue
		}
		p.handle(&policy.Event{Kind: policy.TimerFired, ID: t.tag})
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
	tag uint64
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
