package coordinationsim

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// Timeouts of a relay, equal to those of package relay.
const (
	// relayTimeout is how long a call waits for its answer. A watch waits for its WaitMs longer.
	relayTimeout = 850 * time.Millisecond
	// callResendInterval is how long a target may leave a call unanswered before another one is asked.
	callResendInterval = 120 * time.Millisecond
	// watchResendInterval is how often a watch is sent again. The issuer does not answer a watch before there is an
	// event, so a missing answer does not mean that the issuer is lost.
	watchResendInterval = 300 * time.Millisecond
	// watchProbeEvery is how many times a watch is sent to an issuer that does not answer before a voter is asked too.
	watchProbeEvery = 2
	// declinedDelay is the pause of a call after the target asked last declined it and named no issuer to ask.
	declinedDelay = 30 * time.Millisecond
	// minAnswerTime is the shortest time before the end of a call at which a target is still asked.
	minAnswerTime = 50 * time.Millisecond
	// minRepeatInterval is the shortest time before a target is asked again because another one names it as the issuer.
	minRepeatInterval = 20 * time.Millisecond
)

// Statuses that a relay itself answers with.
const (
	statusUnavailable    message.CallStatus = 503 // the call has not taken effect and never will
	statusGatewayTimeout message.CallStatus = 504 // the call may have taken effect
)

// relay forwards the calls that applications send to a process. A restarted process has a new relay.
type relay struct {
	node    *node
	hint    message.Member // the presumed issuer; without an identity: none is known
	own     message.Member // the issuer that the own member named last
	lastID  uint64
	waiting map[uint64]*relayedCall // by request ID
	calls   []*relayedCall          // without an answer, in order of arrival
}

// relayedCall is a call that is not answered yet.
type relayedCall struct {
	call     message.Call
	start    time.Duration
	requests []*relayRequest
	last     *relayRequest
	timer    uint64 // counts the timers set for asking again; only the latest one counts
	declined bool   // the target asked last has declined; a voter is asked next
	resends  int    // how often a watch was sent again
	respond  func(message.Answer)
	broken   func() // the connection is closed without an answer
}

// relayRequest is the request to one target. It is sent again with the same ID until the target declines.
type relayRequest struct {
	id       uint64
	target   message.Member
	sentAt   time.Duration // when it was last sent
	sent     int           // how many times it was sent
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

// later schedules an event of the relay, which is skipped if its process ends before.
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

// newestHint returns the issuer named last, by the own member or by a response.
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

// ask sends the call to a target and schedules when to ask again.
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
	r.askLater(c, c.resendInterval())
}

// resendInterval returns how long to wait for an answer before asking again.
func (c *relayedCall) resendInterval() time.Duration {
	if c.isWatch() {
		return watchResendInterval
	}
	return callResendInterval
}

// askLater schedules when a target is asked again, in place of an earlier schedule.
func (r *relay) askLater(c *relayedCall, delay time.Duration) {
	c.timer++
	set := c.timer
	r.later(delay, func() {
		if c.timer == set && slices.Contains(r.calls, c) {
			r.askNext(c)
		}
	})
}

// askNext asks again when no answer came, or when a target declined and named no other issuer.
func (r *relay) askNext(c *relayedCall) {
	r.askLater(c, c.resendInterval())
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

// askVoter asks the voter whose last request is oldest. The presumed issuer is skipped unless it is the only voter.
func (r *relay) askVoter(c *relayedCall) {
	voters := r.node.voters.voters
	if len(voters) == 0 {
		r.askLater(c, c.resendInterval())
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

// lastAsked returns when a member was last asked.
func (c *relayedCall) lastAsked(identity message.MemberID) (at time.Duration, wasAsked bool) {
	for _, q := range c.requests {
		if q.target.Identity == identity {
			at, wasAsked = max(at, q.sentAt), true
		}
	}
	return at, wasAsked
}

// onResponse handles the answer of the issuer, or the refusal of a member that is not the issuer.
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

// onDeclined handles a target that declined: it asks the issuer that the target names, if any.
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
		// a request is open: the issuer that was asked may hold the watch
	case asked == c.last:
		c.declined = true
		r.askLater(c, declinedDelay)
	}
}

// giveUp answers 503 if every request was declined, and otherwise 504: the call may have taken effect. A request that
// was sent several times and declined once also counts as open, because the target declined only one of the sendings. A
// watch is always answered 504.
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

// end removes a call. It returns false if the call had ended before.
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
