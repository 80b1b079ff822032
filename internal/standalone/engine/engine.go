// Package engine runs the policy of one proxy. It owns a policy.Balancer, which has no clock, no goroutines and no I/O.
// The engine passes it one event at a time, provides its clock and timers, and forwards each action to the call that it
// belongs to, or to a hook. It does not depend on HTTP, so that any protocol can use it.
//
// engine.go has the Engine, call.go the calls, timer.go the timers, state.go the settings, snapshots and table sizes.
package engine

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"pumiceline/internal/standalone/policy"
)

// Policy makes the balancing decisions. It is a *policy.Balancer, except in tests. Handle processes an event and
// appends the resulting actions to actions.
type Policy interface {
	Handle(now policy.Time, event *policy.Event, actions []policy.Action) []policy.Action
}

// Hooks carry out the actions that belong to no call. They are called with the engine locked: they must return at once
// and must not call the engine.
type Hooks struct {
	SubscribeDiscovery func()                       // subscribes to the membership at discovery
	CloseIdleConns     func(server policy.ServerID) // closes the idle connections to a server
	PollLoad           func(server policy.ServerID) // polls a server's load; LoadPolled must follow. nil: no load polls
}

// Engine serialises the events of one Policy. Its methods are safe for concurrent use. Run must run for timers to fire.
type Engine struct {
	hooks Hooks
	log   *slog.Logger

	mu       sync.Mutex // guards the fields of this group
	policy   Policy
	actions  []policy.Action // a buffer for the policy's actions
	calls    map[uint64]*Call
	lastID   uint64
	timers   timerQueue
	timerSeq uint64
	wake     chan struct{} // holds a value when Run must check the timers again

	origin       time.Time // time of creation, with its monotonic reading
	originMicros policy.Time
}

// New returns an engine for a policy.
func New(p Policy, hooks Hooks, log *slog.Logger) *Engine {
	now := time.Now()
	return &Engine{
		hooks:        hooks,
		log:          log,
		policy:       p,
		calls:        map[uint64]*Call{},
		wake:         make(chan struct{}, 1),
		origin:       now,
		originMicros: now.UnixMicro(),
	}
}

// now returns the policy's time: Unix time in microseconds. The system clock is read once, by New, and advanced by the
// monotonic clock, so that a step of the system clock does not shift the policy's slow starts, ejections and dedup
// windows.
func (e *Engine) now() policy.Time { return e.originMicros + time.Since(e.origin).Microseconds() }

// Duration converts a duration of the policy, which is in microseconds. It is here because the packages of the policy
// and of its settings must not import package time (checked by tools/purity).
func Duration(t policy.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// TimeOf converts the policy's time.
func (e *Engine) TimeOf(t policy.Time) time.Time {
	return e.origin.Add(Duration(t - e.originMicros))
}

// LoadPolled reports the result of a load poll that Hooks.PollLoad was called for.
func (e *Engine) LoadPolled(server policy.ServerID, outcome policy.Outcome, elapsed time.Duration, report []float32) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatch(&policy.Event{
		Kind:    policy.LoadPolled,
		Server:  server,
		Outcome: outcome,
		Elapsed: elapsed.Microseconds(),
		Report:  report,
	})
}

// UpdateMembers reports a membership update from discovery, or a failure of discovery, to the policy. kind is one of
// the policy's membership events or discovery failures.
func (e *Engine) UpdateMembers(kind policy.EventKind, members []policy.Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatch(&policy.Event{Kind: kind, Members: members})
}

// dispatch passes one event to the policy and executes the actions. It recovers from a panic in the policy, because the
// end of the process would abort every request in flight. Only this decision is lost: calls that wait for it end at
// their deadline. Called with mu held.
func (e *Engine) dispatch(event *policy.Event) {
	defer func() {
		if p := recover(); p != nil {
			e.log.Error("policy panicked", "panic", p, "event", event.Kind, "stack", string(debug.Stack()))
		}
	}()
	e.actions = e.policy.Handle(e.now(), event, e.actions[:0])
	for i := range e.actions {
		e.execute(&e.actions[i])
	}
}

// execute carries out one action of the policy. Called with mu held.
func (e *Engine) execute(action *policy.Action) {
	switch action.Kind {
	case policy.SetTimer:
		e.setTimer(action.ID, Duration(action.After))
	case policy.SubscribeDiscovery:
		e.hooks.SubscribeDiscovery()
	case policy.CloseIdleConns:
		e.hooks.CloseIdleConns(action.Server)
	case policy.PollLoad:
		if e.hooks.PollLoad != nil {
			e.hooks.PollLoad(action.Server)
		}
	case policy.LogMessage:
		e.log.Info("policy", "text", action.Text)
	case policy.SendAttempt, policy.RejectRequest, policy.FailRequest, policy.CancelAttempt:
		e.executeForCall(action)
	default:
		e.log.Error("unknown action", "kind", action.Kind)
	}
}

// executeForCall passes an action on to its call. Called with mu held.
func (e *Engine) executeForCall(action *policy.Action) {
	c := e.calls[action.ID]
	if c == nil || c.ended && action.Kind != policy.CancelAttempt {
		e.log.Warn("action for a call that has ended", "kind", action.Kind)
		return
	}
	switch action.Kind {
	case policy.SendAttempt:
		action.Attempt = c.addAttempt(action.Server)
	case policy.RejectRequest, policy.FailRequest:
		c.ended = true
		c.removeIfEnded()
	}
	select {
	case c.actions <- *action:
	default:
		e.log.Error("too many actions for a call", "kind", action.Kind)
	}
}
