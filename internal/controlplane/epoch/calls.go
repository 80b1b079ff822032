package epoch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// callKey identifies a call: the relay that received it, and the relay's number for it.
type callKey struct {
	relay message.MemberID
	id    uint64
}

// pendingCall is a call that waits at the issuer.
type pendingCall struct {
	key   callKey
	relay message.Member
	call  message.Call
}

// pendingAnswer is an answer that waits for its round.
type pendingAnswer struct {
	call   pendingCall
	answer message.Answer
}

// waitingWatch is a watch that has had no event yet.
type waitingWatch struct {
	pendingCall
	deadline time.Duration // when it is answered without an event
	seenAt   time.Duration // when the relay sent it last
}

// callQueue is the calls that an issuer has not answered, and the answers that it gave last. A relay repeats a call until it has
// an answer, so each call must be decided once.
type callQueue struct {
	queued  []pendingCall
	known   map[callKey]bool           // queued, or in the round in flight
	watches map[callKey]*waitingWatch  // waiting for an event
	answers map[callKey]message.Answer // the newest
	order   []callKey                  // of answers, the oldest first
}

func newCallQueue() callQueue {
	return callQueue{
		known: map[callKey]bool{}, watches: map[callKey]*waitingWatch{}, answers: map[callKey]message.Answer{},
	}
}

// sortedWatches returns the waiting watches in an order that is the same in each run.
func (q *callQueue) sortedWatches() []*waitingWatch {
	return slices.SortedFunc(maps.Values(q.watches), func(a, b *waitingWatch) int {
		return cmp.Or(cmp.Compare(a.key.relay, b.key.relay), cmp.Compare(a.key.id, b.key.id))
	})
}

// onCallRequest queues a call, where this member is the issuer. Elsewhere it names the issuer that it knows.
func (m *Member) onCallRequest(received *message.Message) {
	call := pendingCall{
		key: callKey{received.From, received.CallRequest.ID}, relay: senderOf(received), call: received.CallRequest.Call,
	}
	if !m.decidesCalls() {
		m.wake()
		m.rejectCall(call)
		return
	}
	m.issuer.lastCallAt, m.issuer.idle = m.now, false
	if answer, ok := m.calls.answers[call.key]; ok {
		m.respond(call, answer)
		return
	}
	if watch, ok := m.calls.watches[call.key]; ok {
		watch.seenAt = m.now
		return
	}
	if m.calls.known[call.key] {
		return
	}
	if len(m.calls.queued) >= maxQueuedCalls {
		m.rejectCall(call)
		return
	}
	m.calls.known[call.key] = true
	m.calls.queued = append(m.calls.queued, call)
	m.decideCalls()
}

// decidesCalls reports whether this member is the issuer and may decide calls. In a group that is still smaller than the tolerance
// asks for it waits a while for others to join, and in the first group, where seeds may have no disk, until the voters of the first
// view that is made of what is known of the disks have taken over.
func (m *Member) decidesCalls() bool {
	l := m.issuer
	if l == nil || !l.established || m.candidate != nil || m.nextGroup != nil {
		return false
	}
	isSuperseded := m.group.Number == 1 && m.wantedAcceptors() != nil
	isLarge := len(m.group.Acceptors) >= 2*m.options.Tolerance+1
	isReady := isLarge || m.now-m.startedAt >= smallGroupPeriod
	return isReady && !isSuperseded && !m.membership.volatile
}

// decideCalls decides all calls that are queued and sends their changes in one round. Only one round is in flight, so each call
// is decided on a state that a majority holds.
func (m *Member) decideCalls() {
	if !m.decidesCalls() || m.issuer.inFlight != nil || len(m.calls.queued) == 0 {
		return
	}
	changes := m.store.Maintain(m.now)
	var answers []pendingAnswer
	decided := 0
	for decided < len(m.calls.queued) && len(changes) < maxChangesPerWrite {
		call := m.calls.queued[decided]
		decided++
		result := m.store.Execute(m.now, call.call)
		if result.Waits {
			m.parkWatch(call)
			continue
		}
		changes = append(changes, result.Changes...)
		answers = append(answers, pendingAnswer{call, result.Answer})
	}
	m.calls.queued = append([]pendingCall(nil), m.calls.queued[decided:]...)
	m.sendDecisions(changes, answers)
}

// sendDecisions starts a round with changes and the answers that depend on it.
func (m *Member) sendDecisions(changes []message.CoordinationChange, answers []pendingAnswer) {
	if len(changes) == 0 && len(answers) == 0 {
		return
	}
	if len(changes) == 0 {
		m.startRound(nil, answers)
		return
	}
	write := &message.CoordinationWrite{Previous: m.position, Position: m.nextPosition(), Changes: changes}
	m.startRound(write, answers)
}

// parkWatch keeps a watch until there is an event.
func (m *Member) parkWatch(call pendingCall) {
	delete(m.calls.known, call.key)
	if len(m.calls.watches) >= maxWaitingWatches {
		m.rejectCall(call)
		return
	}
	wait := time.Duration(call.call.WaitMs) * time.Millisecond
	m.calls.watches[call.key] = &waitingWatch{pendingCall: call, deadline: m.now + wait, seenAt: m.now}
}

// answerWatches answers the watches that have an event. It is called when a round with changes has just been accepted, which
// also confirms that the epoch is the newest.
func (m *Member) answerWatches() {
	for _, watch := range m.calls.sortedWatches() {
		if !m.store.HasEvents(watch.call) {
			continue
		}
		delete(m.calls.watches, watch.key)
		m.answer(watch.pendingCall, m.store.Execute(m.now, watch.call).Answer)
	}
}

// expireWatches queues the watches whose time is over, to be answered without an event, and drops those whose relay has gone.
func (m *Member) expireWatches() {
	for _, watch := range m.calls.sortedWatches() {
		switch {
		case m.now >= watch.deadline:
			delete(m.calls.watches, watch.key)
			watch.call.WaitMs = 0
			m.calls.known[watch.key] = true
			m.calls.queued = append(m.calls.queued, watch.pendingCall)
		case m.now-watch.seenAt >= watchResendTimeout:
			delete(m.calls.watches, watch.key)
		}
	}
}

// answer sends an answer and keeps it for a while, as it may be lost.
func (m *Member) answer(call pendingCall, answer message.Answer) {
	delete(m.calls.known, call.key)
	m.calls.answers[call.key] = answer
	m.calls.order = append(m.calls.order, call.key)
	if len(m.calls.order) > maxRecentAnswers {
		delete(m.calls.answers, m.calls.order[0])
		m.calls.order = m.calls.order[1:]
	}
	m.respond(call, answer)
}

func (m *Member) respond(call pendingCall, answer message.Answer) {
	response := &message.CallResponse{ID: call.key.id, Answer: &answer, Issuer: m.options.Self}
	m.send(call.relay, message.Message{CallResponse: response})
}

// rejectCall tells a relay that nothing was done, and which issuer this member knows.
func (m *Member) rejectCall(call pendingCall) {
	response := &message.CallResponse{ID: call.key.id, Issuer: m.knownIssuer()}
	m.send(call.relay, message.Message{CallResponse: response})
}

// knownIssuer returns another member that is probably the issuer; without an identity where this member knows of none.
func (m *Member) knownIssuer() message.Member {
	isOverdue := !m.follower.idle && m.now-m.follower.waitingSince > issuerAliveTime
	if m.issuer != nil || m.isSelf(m.follower.issuer) || isOverdue {
		return message.Member{}
	}
	return m.follower.issuer
}

// rejectCalls gives up all calls that were not decided.
func (m *Member) rejectCalls() {
	for _, call := range m.calls.queued {
		m.rejectCall(call)
	}
	for _, watch := range m.calls.sortedWatches() {
		m.rejectCall(watch.pendingCall)
	}
	m.calls = newCallQueue()
}
