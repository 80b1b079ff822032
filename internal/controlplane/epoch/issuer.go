package epoch

import (
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// issuer is the state of a member to which a majority has promised its epoch.
type issuer struct {
	epoch       message.Epoch
	established bool // a majority has accepted its first write, so it decides calls
	round       uint64
	inFlight    *round // nil: none
	acks        map[message.MemberID]ack
	quorumAt    time.Duration // when a majority last accepted a round
	roundAt     time.Duration // when the last round was started
	lastCallAt  time.Duration
	idle        bool                        // the acceptors are told that no heartbeats follow
	recent      []message.CoordinationWrite // the newest writes, sent to acceptors that missed some

	formerAcceptors []message.Member // of the previous group; they receive rounds until formerUntil
	formerUntil     time.Duration
}

// ack is what an acceptor answered last, and when the issuer last sent it the writes that it lacks.
type ack struct {
	round          uint64        // the newest round that it accepted
	missingSentAt  time.Duration // when missing writes or the state were last sent to it
	hasSentMissing bool          // missingSentAt is set
	isLeaving      bool          // it is shutting down
}

// round is one write, or one request without a write to confirm the epoch, that is sent to the acceptors.
type round struct {
	number    uint64
	startedAt time.Duration
	sentAt    time.Duration               // last time, to the members that have not accepted it
	writes    []message.CoordinationWrite // at most one
	answers   []pendingAnswer             // released once a majority has accepted the round
}

// becomeIssuer starts phase 2: the candidate writes the newest state back under its own epoch. It answers no call
// before a majority has accepted that write.
func (m *Member) becomeIssuer() {
	c := m.candidate
	m.candidate = nil
	previous := m.issuer
	m.issuer = &issuer{
		epoch: c.epoch, acks: map[message.MemberID]ack{}, quorumAt: m.now, roundAt: m.now, lastCallAt: m.now,
	}
	if previous != nil { // the same issuer continues in the next group
		m.issuer.round, m.issuer.recent, m.issuer.lastCallAt = previous.round, previous.recent, previous.lastCallAt
		m.issuer.formerAcceptors, m.issuer.formerUntil = m.group.Acceptors, m.now+formerAcceptorPeriod
	} else {
		m.takeovers++
	}
	m.follower.issuer = m.options.Self
	write := message.CoordinationWrite{
		Previous: m.position,
		Position: message.CoordinationPosition{Group: c.group.Number, Epoch: c.epoch, Sequence: m.position.Sequence + 1},
	}
	if c.group.Number != m.position.Group {
		group := c.group
		write.Group = &group
	}
	m.startRound(&write, nil)
}

// startRound sends a write to the acceptors, or a request to confirm the epoch if the write is nil. The caller has
// already applied the changes of the write to this member's store.
func (m *Member) startRound(write *message.CoordinationWrite, answers []pendingAnswer) {
	l := m.issuer
	l.round++
	l.inFlight = &round{number: l.round, startedAt: m.now, sentAt: m.now, answers: answers}
	l.roundAt = m.now
	if write != nil {
		m.enterPosition(write)
		m.output.writes = append(m.output.writes, *write)
		l.inFlight.writes = []message.CoordinationWrite{*write}
		l.recent = append(l.recent, *write)
		if len(l.recent) > maxRecentWrites {
			l.recent = append([]message.CoordinationWrite(nil), l.recent[len(l.recent)-maxRecentWrites/2:]...)
		}
	}
	for _, recipient := range m.recipients() {
		m.sendRound(recipient)
	}
	// The issuer is an acceptor like the others: its acceptance counts only once its own disk has synced the write.
	m.sendAfterSync(m.options.Self, message.Message{StateWriteResponse: &message.StateWriteResponse{
		Epoch: l.epoch, Round: l.round, Promised: l.epoch, Position: m.position, Accepted: true,
	}})
}

// recipients returns the other members that rounds are sent to: the current acceptors, the wanted ones, and until
// formerUntil the former ones.
func (m *Member) recipients() []message.Member {
	members := append([]message.Member(nil), m.group.Acceptors...)
	members = append(members, m.wantedAcceptors()...)
	if m.now < m.issuer.formerUntil {
		members = append(members, m.issuer.formerAcceptors...)
	}
	members = lo.UniqBy(members, func(a message.Member) message.MemberID { return a.Identity })
	return lo.Reject(members, func(a message.Member, _ int) bool { return m.isSelf(a) })
}

// sendRound sends the round in flight to a member.
func (m *Member) sendRound(to message.Member) {
	l := m.issuer
	m.send(to, message.Message{StateWrite: &message.StateWrite{
		Epoch: l.epoch, Round: l.inFlight.number, Position: m.position, Writes: l.inFlight.writes, Issuer: m.options.Self,
		Idle: l.idle,
	}})
}

// onStateWriteResponse counts an acceptor's acceptance of a round, or sends the acceptor the writes that it lacks.
func (m *Member) onStateWriteResponse(received *message.Message) {
	l, response := m.issuer, received.StateWriteResponse
	if l == nil || response.Epoch != l.epoch {
		return
	}
	if response.Group != nil {
		m.learnGroup(*response.Group)
	}
	if l.epoch.Less(response.Promised) {
		m.stepDown(message.Member{})
		m.follower.awaitIssuer(m.now)
		return
	}
	if response.Group != nil {
		m.onSuperseded(*response.Group)
		return
	}
	if !response.Accepted {
		m.sendMissing(senderOf(received), response.Position)
		return
	}
	acknowledged := l.acks[received.From]
	acknowledged.round = max(acknowledged.round, response.Round)
	acknowledged.isLeaving = response.Leaving
	l.acks[received.From] = acknowledged
	m.completeRound()
}

// onSuperseded handles the answer of an acceptor that has entered a later group. The issuer steps down, with two
// exceptions:
//   - Its state already names the next group. It is changing to that group itself, and a majority of the old group can
//     still accept its writes.
//   - It has entered that group in the meantime, and the answer is late.
func (m *Member) onSuperseded(later message.AcceptorGroup) {
	if m.nextGroup == nil && later.Number > m.group.Number {
		m.stepDown(message.Member{})
	}
}

// sendMissing sends an acceptor the writes between its position and the current one, or the complete state if they are
// no longer kept.
func (m *Member) sendMissing(to message.Member, position message.CoordinationPosition) {
	l := m.issuer
	acknowledged := l.acks[to.Identity]
	if acknowledged.hasSentMissing && m.now-acknowledged.missingSentAt < resendInterval {
		return
	}
	acknowledged.missingSentAt, acknowledged.hasSentMissing = m.now, true
	l.acks[to.Identity] = acknowledged
	request := &message.StateWrite{Epoch: l.epoch, Round: l.round, Position: m.position, Issuer: m.options.Self, Idle: l.idle}
	for i := range l.recent {
		if l.recent[i].Previous == position {
			request.Writes = append([]message.CoordinationWrite(nil), l.recent[i:]...)
		}
	}
	if len(request.Writes) == 0 {
		state := m.snapshot()
		request.State = &state
	}
	m.send(to, message.Message{StateWrite: request})
}

// completeRound ends the round in flight once a majority of the acceptors has accepted it.
func (m *Member) completeRound() {
	l := m.issuer
	if l.inFlight == nil || m.acceptedBy(m.group.Acceptors, l.inFlight.number) < quorum(m.group) {
		return
	}
	completed := l.inFlight
	l.inFlight = nil
	l.quorumAt = m.now
	for _, pending := range completed.answers {
		m.answer(pending.call, pending.answer)
	}
	if !l.established {
		l.established = m.nextGroup == nil
	}
	if len(completed.writes) > 0 {
		m.answerWatches()
	}
	m.continueIssuing()
}

// acceptedBy returns how many of the members have accepted a round.
func (m *Member) acceptedBy(members []message.Member, number uint64) int {
	return lo.CountBy(members, func(a message.Member) bool { return m.issuer.acks[a.Identity].round >= number })
}

// continueIssuing takes the next step when no round is in flight: it enters the next group, hands over, closes the
// group, or decides the queued calls.
func (m *Member) continueIssuing() {
	switch {
	case m.nextGroup != nil:
		m.enterNextGroup()
	case m.mustHandOver():
		m.handOver()
	case m.isNextGroupReady():
		m.closeGroup()
	default:
		m.decideCalls()
	}
}

// hasQuorum reports whether a majority has accepted a round within quorumTimeout.
func (l *issuer) hasQuorum(now time.Duration) bool { return now-l.quorumAt < quorumTimeout }

// tickIssuer resends the round in flight, sends heartbeats, and steps down if no majority accepts a round in
// quorumTimeout.
func (m *Member) tickIssuer() {
	l := m.issuer
	if l == nil || m.candidate != nil { // a candidacy of the issuer is for the next group
		return
	}
	m.expireWatches()
	switch {
	case l.inFlight != nil && m.now-l.inFlight.startedAt >= quorumTimeout:
		m.stepDown(message.Member{})
		m.follower.retryElection(m.now)
	case l.inFlight != nil:
		m.resendRound()
	default:
		m.continueIssuing()
		m.sendHeartbeat()
	}
}

// resendRound sends the round in flight again to the members that have not accepted it.
func (m *Member) resendRound() {
	l := m.issuer
	if m.now-l.inFlight.sentAt < resendInterval {
		return
	}
	l.inFlight.sentAt = m.now
	for _, recipient := range m.recipients() {
		if l.acks[recipient.Identity].round < l.inFlight.number {
			m.sendRound(recipient)
		}
	}
}

// sendHeartbeat asks the acceptors to confirm the epoch if no round was started for heartbeatInterval. After
// idleTimeout without calls it tells them that no more heartbeats follow.
func (m *Member) sendHeartbeat() {
	l := m.issuer
	if m.issuer == nil || l.inFlight != nil || m.candidate != nil || m.now-l.roundAt < heartbeatInterval {
		return
	}
	isQuiet := m.now-l.lastCallAt >= idleTimeout && len(m.calls.watches) == 0 && m.wantedAcceptors() == nil
	if l.idle && isQuiet {
		return
	}
	l.idle = isQuiet && m.now >= l.formerUntil
	m.startRound(nil, nil)
}

// stepDown ends this member's epoch. Undecided calls are rejected with the issuer that the member knows. Calls whose
// round is in flight get no answer, because it is unknown whether a majority accepts the round: a rejection would say
// that the call had no effect, and an answer that it had.
func (m *Member) stepDown(successor message.Member) {
	m.issuer = nil
	m.candidate = nil
	m.follower.issuer = successor
	m.follower.hasLastWrite = false
	m.follower.idle, m.follower.waitingSince = false, m.now
	m.rejectCalls()
}
