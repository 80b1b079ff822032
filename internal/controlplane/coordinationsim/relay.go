package coordinationsim

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// The times of a relay, as package relay has them.
const (
	// relayTimeout is how long a call waits for its answer, and a watch beyond its own waiting time.
	relayTimeout = 850 * time.Millisecond
	// callSilence is how long a target may be silent before another one is asked.
	callSilence = 120 * time.Millisecond
	// watchResendInterval is how often a watch is sent again. The issuer keeps one without an event: it is silent.
	watchResendInterval = 300 * time.Millisecond
	// watchProbeEvery is how many times a watch is sent to a silent issuer before a voter is asked too.
	watchProbeEvery = 2
	// declinedDelay is how long a call rests after a target that does not know the issuer.
	declinedDelay = 30 * time.Millisecond
	// minAnswerTime is how long before its end a call asks for the last time.
	minAnswerTime = 50 * time.Millisecond
	// minRepeatInterval is how soon a target is asked again because another one names it as the issuer.
	minRepeatInterval = 20 * time.Millisecond
)

// Statuses of a relay's own answers.
const (
	statusUnavailable    message.CallStatus = 503 // nothing was done, and never will be
	statusGatewayTimeout message.CallStatus = 504 // the call may have taken effect
)

// relay passes on the calls that applications send to a process. It ends with the process.
type relay struct {
	node    *node
	hint    message.Member // the issuer as far as the relay knows; without an identity: it knows none
	own     message.Member // what the own member said last
	lastID  uint64
	waiting map[uint64]*relayedCall // by the IDs of their requests
	calls   []*relayedCall          // that have no answer, in order
}

// relayedCall is a call that is not answered yet.
type relayedCall struct {
	call     message.Call
	start    time.Duration
	requests []*relayRequest
	last     *relayRequest
	timer    uint64 // counts settings of the time at which somebody is asked again
	declined bool   // the last one asked has declined, and a voter is to be asked next
	resends  int    // of a watch
	respond  func(message.Answer)
	broken   func() // the connection is closed without an answer
}

// relayRequest is what one target was asked. It is sent again, with the same ID, until the target declines.
type relayRequest struct {
	id       uint64
	target   message.Member
	sentAt   time.Duration // the last time
	sent     int           // how often
	declined bool          // the target said that it is not the issuer and did nothing
}

func newRelay(n *node) *relay {
	return &relay{node: n, lastID: n.cluster.random.Uint64() >> 1, waiting: map[uint64]*relayedCall{}}
}

// submit takes a call from an application.
func (r *relay) submit(call message.Call, respond func(message.Answer), broken func()) {
	c := &relayedCall{call: call, start: r.node.cluster.now, respond: respond, broken: broken}
	r.calls = append(r.calls, c)
	r.later(c.timeout(), func() { r.giveUp(c) })
	if issuer, ok := r.newestHint(); ok {
		r.ask(c, issuer)
		return
	}
	r.askVoter(c)
}

// later lets something happen in the relay's process, unless that has ended.
func (r *relay) later(delay time.Duration, event func()) {
	r.node.cluster.after(delay, func() {
		if r.node.relay == r {
			r.node.run(event)
		}
	})
}

func (c *relayedCall) isWatch() bool { return c.call.Kind == message.CallWatch }

func (c *relayedCall) timeout() time.Duration {
	return relayTimeout + time.Duration(c.call.WaitMs)*time.Millisecond
}

// newestHint is the issuer of which the relay heard last, of its own member or by a response.
func (r *relay) newestHint() (message.Member, bool) {
	own := r.node.member.Status().Issuer
	if own != r.own {
		r.own = own
		if own.Identity != "" {
			r.hint = own
		}
	}
	return r.hint, r.hint.Identity != ""
}

// ask sends the call to a target, and waits for it.
func (r *relay) ask(c *relayedCall, target message.Member) {
	now := r.node.cluster.now
	if now-c.start > c.timeout()-minAnswerTime {
		return
	}
	i := slices.IndexFunc(c.requests, func(q *relayRequest) bool { return q.target.Identity == target.Identity && !q.declined })
	if i < 0 {
		r.lastID++
		c.requests = append(c.requests, &relayRequest{id: r.lastID})
		r.waiting[r.lastID] = c
		i = len(c.requests) - 1
	}
	q := c.requests[i]
	q.target, q.sentAt, q.sent = target, now, q.sent+1
	c.last, c.declined = q, false
	call := c.call
	call.WaitMs = max(0, call.WaitMs-(now-c.start).Milliseconds())
	r.node.send(message.Message{
		From: r.node.identity, To: target.Identity, ToAddress: target.Address,
		CallRequest: &message.CallRequest{ID: q.id, Call: call},
	})
	r.askLater(c, c.silence())
}

// silence is how long to wait for the targets that were asked.
func (c *relayedCall) silence() time.Duration {
	if c.isWatch() {
		return watchResendInterval
	}
	return callSilence
}

// askLater sets when somebody is asked again.
func (r *relay) askLater(c *relayedCall, delay time.Duration) {
	c.timer++
	set := c.timer
	r.later(delay, func() {
		if c.timer == set && slices.Contains(r.calls, c) {
			r.askNext(c)
		}
	})
}

// askNext asks again after silence, or after a target that does not know the issuer.
func (r *relay) askNext(c *relayedCall) {
	r.askLater(c, c.silence())
	issuer, ok := r.newestHint()
	switch {
	case !ok || c.declined:
		r.askVoter(c)
	case c.isWatch():
		r.ask(c, issuer)
		if c.resends++; c.resends%watchProbeEvery == 0 {
			r.askVoter(c)
		}
	case c.last != nil && c.last.target.Identity == issuer.Identity:
		r.askVoter(c)
	default:
		r.ask(c, issuer)
	}
}

// askVoter asks the voter that was not asked for longest. The issuer that is known is passed over unless there is no other.
func (r *relay) askVoter(c *relayedCall) {
	voters := r.node.voters.voters
	if len(voters) == 0 {
		r.askLater(c, c.silence())
		return
	}
	first := r.node.cluster.random.IntN(len(voters))
	best, bestAt := message.Member{}, time.Duration(0)
	for i := range voters {
		voter := voters[(first+i)%len(voters)]
		askedAt, wasAsked := c.lastAsked(voter.Identity)
		if !wasAsked {
			askedAt = -1
		}
		isIssuer := voter.Identity == r.hint.Identity && len(voters) > 1
		if !isIssuer && (best.Identity == "" || askedAt < bestAt) {
			best, bestAt = voter, askedAt
		}
	}
	r.ask(c, best)
}

// lastAsked returns when a member was asked last.
func (c *relayedCall) lastAsked(identity message.MemberID) (at time.Duration, wasAsked bool) {
	for _, q := range c.requests {
		if q.target.Identity == identity {
			at, wasAsked = max(at, q.sentAt), true
		}
	}
	return at, wasAsked
}

// onResponse takes the answer of the issuer, or "nothing done" of another member.
func (r *relay) onResponse(m *message.Message) {
	response := m.CallResponse
	c := r.waiting[response.ID]
	if c == nil || m.To != r.node.identity {
		return
	}
	asked := c.requests[slices.IndexFunc(c.requests, func(q *relayRequest) bool { return q.id == response.ID })]
	if response.Answer != nil {
		r.hint = asked.target
		r.answer(c, *response.Answer)
		return
	}
	r.onDeclined(c, asked, response.Issuer)
}

// onDeclined follows a target that did nothing to the issuer that it names.
func (r *relay) onDeclined(c *relayedCall, asked *relayRequest, issuer message.Member) {
	asked.declined = true
	switch {
	case issuer.Identity != "":
		r.hint = issuer
	case r.hint.Identity == asked.target.Identity:
		r.hint = message.Member{}
	}
	askedAt, wasAsked := c.lastAsked(issuer.Identity)
	isRecent := wasAsked && r.node.cluster.now-askedAt < minRepeatInterval
	isOpen := slices.ContainsFunc(c.requests, func(q *relayRequest) bool { return !q.declined })
	switch {
	case issuer.Identity != "" && issuer.Identity != asked.target.Identity && !isRecent:
		r.ask(c, issuer)
	case c.isWatch() && isOpen:
		// the issuer that was asked may keep the watch
	case asked == c.last:
		c.declined = true
		r.askLater(c, declinedDelay)
	}
}

// giveUp answers that nothing was done where every request was answered so, and else that nobody knows. A target that
// declined after the request was sent to it several times said so of one of them only.
func (r *relay) giveUp(c *relayedCall) {
	isOpen := slices.ContainsFunc(c.requests, func(q *relayRequest) bool { return !q.declined || q.sent > 1 })
	status := statusUnavailable
	if (isOpen || c.isWatch()) && r.node.cluster.options.Defect != TimeoutAsNothingDone {
		status = statusGatewayTimeout
	}
	r.answer(c, message.Answer{Status: status})
}

func (r *relay) answer(c *relayedCall, answer message.Answer) {
	if r.end(c) {
		r.alterAnswer(&c.call, &answer)
		c.respond(answer)
	}
}

// end forgets a call. It reports false where the call had ended before.
func (r *relay) end(c *relayedCall) bool {
	i := slices.Index(r.calls, c)
	if i < 0 {
		return false
	}
	r.calls = slices.Delete(r.calls, i, i+1)
	for _, q := range c.requests {
		delete(r.waiting, q.id)
	}
	return true
}

// breakConnections closes the connections of all calls without an answer.
func (r *relay) breakConnections() {
	for _, c := range slices.Clone(r.calls) {
		r.end(c)
		c.broken()
	}
}
