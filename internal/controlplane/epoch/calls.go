package epoch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// callKey identifies a call by the relay that received it and the relay's number for it.
type callKey struct {
	relay message.MemberID
	id    uint64
}

// pendingCall is a call that the issuer has not answered.
type pendingCall struct {
	key   callKey
	relay message.Member
	call  message.Call
}

// pendingAnswer is an answer that is sent once a majority has accepted its round.
type pendingAnswer struct {
	call   pendingCall
	answer message.Answer
}

// waitingWatch is a watch call for which there is no event yet.
type waitingWatch struct {
	pendingCall
	deadline   time.Duration // when it is answered without an event
	lastSentAt time.Duration // when the relay last sent it
}

// callQueue holds the calls that an issuer has not answered, and its most recent answers. A relay repeats a call until
// it receives an answer, so the queue detects repeats: each call must be decided only once.
type callQueue struct {
	queued     []pendingCall
	unanswered map[callKey]bool           // queued, or answered by the round in flight
	watches    map[callKey]*waitingWatch  // waiting for an event
	answers    map[callKey]message.Answer // the most recent
	order      []callKey                  // of answers, the oldest first
}

func newCallQueue() callQueue {
	return callQueue{
		unanswered: map[callKey]bool{}, watches: map[callKey]*waitingWatch{}, answers: map[callKey]message.Answer{},
	}
}

// sortedWatches returns the waiting watches sorted by key, as the iteration order of a map is not deterministic.
func (q *callQueue) sortedWatches() []*waitingWatch {
	return slices.SortedFunc(maps.Values(q.watches), func(a, b *waitingWatch) int {
		return cmp.Or(cmp.Compare(a.key.relay, b.key.relay), cmp.Compare(a.key.id, b.key.id))
	})
}

// onCallRequest queues a call if this member decides calls. Otherwise it rejects the call and names the issuer, if
// known.
func (m *Member) onCallRequest(received *message.Message) {
	call := pendingCall{
		key: callKey{received.From, received.CallRequest.ID}, relay: senderOf(received), call: received.CallRequest.Call,
	}
	if !m.decidesCalls() {
		m.expectHeartbeats()
		m.rejectCall(call)
		return
	}
	m.issuer.lastCallAt, m.issuer.idle = m.now, false
	if answer, ok := m.calls.answers[call.key]; ok {
		m.respond(call, answer)
		return
	}
	if watch, ok := m.calls.watches[call.key]; ok {
		watch.lastSentAt = m.now
		return
	}
	if m.calls.unanswered[call.key] {
		return
	}
	if len(m.calls.queued) >= maxQueuedCalls {
		m.rejectCall(call)
		return
	}
	m.calls.unanswered[call.key] = true
	m.calls.queued = append(m.calls.queued, call)
	m.decideCalls()
}

// decidesCalls reports whether this member is the issuer and may decide calls. Two cases delay it:
//   - The group is smaller than the tolerance requires: for smallGroupPeriod after its start the member waits for
//     others to join.
//   - The first group may consist of seeds without a disk. If the voters differ from its acceptors, the member waits
//     until the voters, who are chosen by what is known of the disks, have become the acceptors.
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

// decideCalls decides the queued calls, up to maxChangesPerWrite changes, and sends the changes in one round. Only one
// round is in flight at a time, so each call is decided on a state that a majority has accepted.
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

// sendDecisions starts a round with the changes and with the answers that are sent once it is accepted.
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

// parkWatch keeps a watch until there is an event or its deadline has passed.
func (m *Member) parkWatch(call pendingCall) {
	delete(m.calls.unanswered, call.key)
	if len(m.calls.watches) >= maxWaitingWatches {
		m.rejectCall(call)
		return
	}
	wait := time.Duration(call.call.WaitMs) * time.Millisecond
	m.calls.watches[call.key] = &waitingWatch{pendingCall: call, deadline: m.now + wait, lastSentAt: m.now}
}

// answerWatches answers the watches that have an event. It is called right after a majority has accepted a round with
// changes, which also confirms that the epoch is the newest.
func (m *Member) answerWatches() {
	for _, watch := range m.calls.sortedWatches() {
		if !m.store.HasEvents(watch.call) {
			continue
		}
		delete(m.calls.watches, watch.key)
		m.answer(watch.pendingCall, m.store.Execute(m.now, watch.call).Answer)
	}
}

// expireWatches queues the watches whose deadline has passed, to be answered without an event, and drops those that
// their relay no longer repeats.
func (m *Member) expireWatches() {
	for _, watch := range m.calls.sortedWatches() {
		switch {
		case m.now >= watch.deadline:
			delete(m.calls.watches, watch.key)
			watch.call.WaitMs = 0
			m.calls.unanswered[watch.key] = true
			m.calls.queued = append(m.calls.queued, watch.pendingCall)
		case m.now-watch.lastSentAt >= watchResendTimeout:
			delete(m.calls.watches, watch.key)
		}
	}
}

// answer sends an answer and keeps it among the most recent ones: if the message is lost, the relay repeats the call
// and must get the same answer.
func (m *Member) answer(call pendingCall, answer message.Answer) {
	delete(m.calls.unanswered, call.key)
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

// rejectCall tells a relay that the call was not executed, and names the issuer, if known.
func (m *Member) rejectCall(call pendingCall) {
	response := &message.CallResponse{ID: call.key.id, Issuer: m.knownIssuer()}
	m.send(call.relay, message.Message{CallResponse: response})
}

// knownIssuer returns another member that is probably the issuer, or a member without an identity if none is known.
func (m *Member) knownIssuer() message.Member {
	isOverdue := !m.follower.idle && m.now-m.follower.waitingSince > issuerAliveTime
	if m.issuer != nil || m.isSelf(m.follower.issuer) || isOverdue {
		return message.Member{}
	}
	return m.follower.issuer
}

// rejectCalls rejects all calls that were not decided and clears the queue.
func (m *Member) rejectCalls() {
	for _, call := range m.calls.queued {
		m.rejectCall(call)
	}
	for _, watch := range m.calls.sortedWatches() {
		m.rejectCall(watch.pendingCall)
	}
	m.calls = newCallQueue()
}
