package engine

import (
	"time"

	"pumiceline/internal/standalone/policy"
)

// maxActions is the size of a call's buffer of actions. The policy decides at most 8 attempts, 8 cancels and one
// response for a call, so they all fit. A caller that does not read its actions therefore delays neither the engine nor
// other calls.
const maxActions = 32

// Request describes a new request to the policy.
type Request struct {
	Class       uint8       // the class's number in the settings
	Tenant      uint32      // the tenant's index in the settings
	AffinityKey uint64      // hash of the session key; a server may need less work for a repeated key; 0: none
	Work        policy.Time // expected work, in microseconds on a standard core; 0: unknown
	Deadline    time.Time   // by which the last attempt must have ended
	BodyPending bool        // the client is still sending the body; Call.BodySent follows
}

// Call is one request that the policy handles. It ends with the first attempt that succeeds, a rejection or failure by
// the policy, or Abandon. The outcomes of its other attempts must still be reported. Its methods are safe for
// concurrent use.
type Call struct {
	engine   *Engine
	id       uint64
	actions  chan policy.Action
	ended    bool      // it has its response, or the client has disconnected
	attempts []attempt // by number
	running  int       // attempts without an outcome
}

// attempt is one attempt of a call.
type attempt struct {
	server  policy.ServerID
	started time.Time
	running bool
}

// Start reports a new request. The caller must carry out the actions of the call.
func (e *Engine) Start(r Request) *Call {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastID++
	c := &Call{engine: e, id: e.lastID, actions: make(chan policy.Action, maxActions)}
	e.calls[c.id] = c
	e.dispatch(&policy.Event{
		Kind:          policy.RequestArrived,
		ID:            c.id,
		Class:         r.Class,
		Tenant:        r.Tenant,
		AffinityKey:   r.AffinityKey,
		Work:          r.Work,
		ClientTimeout: time.Until(r.Deadline).Microseconds(),
		BodyPending:   r.BodyPending,
	})
	return c
}

// Actions returns the channel of the policy's decisions for the call: SendAttempt, CancelAttempt, and at most one
// RejectRequest or FailRequest.
func (c *Call) Actions() <-chan policy.Action { return c.actions }

// addAttempt adds a running attempt and returns its number. Called with the engine locked.
func (c *Call) addAttempt(server policy.ServerID) uint8 {
	c.attempts = append(c.attempts, attempt{server: server, started: time.Now(), running: true})
	c.running++
	return uint8(len(c.attempts) - 1)
}

// isRunning reports whether an attempt exists and has no outcome. Called with the engine locked.
func (c *Call) isRunning(attempt uint8) bool {
	return int(attempt) < len(c.attempts) && c.attempts[attempt].running
}

// BodySent reports that the last byte of a request with BodyPending has been sent to an attempt's server.
func (c *Call) BodySent(attempt uint8) {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.isRunning(attempt) {
		e.dispatch(&policy.Event{Kind: policy.BodySent, ID: c.id, Attempt: attempt})
	}
}

// Finish reports the outcome of an attempt. It returns whether the attempt's response is the call's: the outcome is
// OK and the call had not ended before. A second report of the same attempt is ignored. bodySentAt is when the last
// byte of a request with BodyPending was sent. The elapsed time of the attempt is measured from then, so that a slow
// upload by the client does not count as slowness of the server. If bodySentAt is zero, the time is measured from the
// attempt's start.
func (c *Call) Finish(attempt uint8, outcome policy.Outcome, report []float32, bodySentAt time.Time) bool {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if !c.isRunning(attempt) {
		return false
	}
	a := &c.attempts[attempt]
	a.running = false
	c.running--
	isResponse := outcome == policy.OK && !c.ended
	c.ended = c.ended || isResponse
	sentAt := bodySentAt
	if sentAt.Before(a.started) {
		sentAt = a.started
	}
	e.dispatch(&policy.Event{
		Kind:    policy.AttemptEnded,
		ID:      c.id,
		Attempt: attempt,
		Server:  a.server,
		Outcome: outcome,
		Elapsed: time.Since(sentAt).Microseconds(),
		Final:   c.ended,
		Report:  report,
	})
	c.removeIfEnded()
	return isResponse
}

// Abandon reports that the client has disconnected, or its response is overdue. The cancels that follow are in
// Actions when it returns. It has no effect on a call that has ended.
func (c *Call) Abandon() {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	e.dispatch(&policy.Event{Kind: policy.RequestAbandoned, ID: c.id})
	c.removeIfEnded()
}

// removeIfEnded removes an ended call once none of its attempts is running. Called with the engine locked.
func (c *Call) removeIfEnded() {
	if c.ended && c.running == 0 {
		delete(c.engine.calls, c.id)
	}
}
