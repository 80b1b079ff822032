package epoch

import (
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// issuer is the state of a member that has the promises of a majority for its epoch.
type issuer struct {
	epoch       message.Epoch
	established bool // its first write was accepted by a majority, so it decides calls
	round       uint64
	inFlight    *round // nil: none
	acks        map[message.MemberID]ack
	quorumAt    time.Duration // when a majority answered last
	roundAt     time.Duration // when the last round was started
	lastCallAt  time.Duration
	idle        bool                        // the acceptors were told that no heartbeats follow
	recent      []message.CoordinationWrite // the newest writes, for acceptors that have missed some

	formerAcceptors []message.Member // of the group before, which are told of the present one
	formerUntil     time.Duration
}

// ack is what an acceptor answered last.
type ack struct {
	round      uint64        // the newest round that it accepted
	stateSent  time.Duration // when it was last sent what it lacks
	wasStateTo bool          // stateSent is set
	isLeaving  bool          // it shuts down
}

// round is one write or question that is sent to the acceptors.
type round struct {
	number    uint64
	startedAt time.Duration
	sentAt    time.Duration               // to those that have not accepted it
	writes    []message.CoordinationWrite // at most one
	answers   []pendingAnswer             // released once a majority has accepted the round
}

// becomeIssuer starts phase 2: it writes the newest state back under its own epoch. Until a majority has accepted that, it
// answers nothing.
func (m *Member) becomeIssuer() {
	c := m.candidate
	m.candidate = nil
	previous := m.issuer
	m.issuer = &issuer{
		epoch: c.epoch, acks: map[message.MemberID]ack{}, quorumAt: m.now, roundAt: m.now, lastCallAt: m.now,
	}
	if previous != nil { // it goes on in the next group
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

// startRound sends a write, or where it is nil a question, to the acceptors. The changes of the write are in force here.
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
	// The issuer is an acceptor like the others: it counts once its own disk has the write.
	m.sendAfterSync(m.options.Self, message.Message{StateWriteResponse: &message.StateWriteResponse{
		Epoch: l.epoch, Round: l.round, Promised: l.epoch, Position: m.position, Accepted: true,
	}})
}

// recipients returns the other members that rounds are sent to: the acceptors, those that are to become acceptors, and for a
// while those that were.
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

// onStateWriteResponse counts an acceptor's answer to a round, and sends it what it lacks.
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

// onSuperseded handles the answer of an acceptor that has entered a later group. Where this member's state names that group it
// is on its way there itself, and a majority of the old group can still accept its writes. The answer may come after this member
// has entered that group.
func (m *Member) onSuperseded(later message.AcceptorGroup) {
	if m.nextGroup == nil && later.Number > m.group.Number {
		m.stepDown(message.Member{})
	}
}

// sendMissing sends an acceptor what leads from its position to the present one: the writes that it has missed, or the complete
// state.
func (m *Member) sendMissing(to message.Member, position message.CoordinationPosition) {
	l := m.issuer
	acknowledged := l.acks[to.Identity]
	if acknowledged.wasStateTo && m.now-acknowledged.stateSent < resendInterval {
		return
	}
	acknowledged.stateSent, acknowledged.wasStateTo = m.now, true
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

// acceptedBy returns how many of some members have accepted a round.
func (m *Member) acceptedBy(members []message.Member, number uint64) int {
	return lo.CountBy(members, func(a message.Member) bool { return m.issuer.acks[a.Identity].round >= number })
}

// continueIssuing does what comes after a round: it goes on to the next group, hands over, or decides the calls that have come.
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

// tickIssuer repeats what got no answer, sends heartbeats, and steps down without a majority.
func (m *Member) tickIssuer() {
	l := m.issuer
	if l == nil || m.candidate != nil { // with a candidacy it is on its way to the next group
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

// resendRound sends the round in flight again to those that have not accepted it.
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

// sendHeartbeat asks the acceptors to confirm the epoch when there was nothing else to send. Without calls it tells them that no
// more heartbeats follow.
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

// stepDown ends this member's epoch. Calls that were not decided are answered with the issuer that it knows; those whose round
// is in flight get no answer, as it is not known whether a majority accepts it.
func (m *Member) stepDown(successor message.Member) {
	m.issuer = nil
	m.candidate = nil
	m.follower.issuer = successor
	m.follower.hasHeard = false
	m.follower.idle, m.follower.waitingSince = false, m.now
	m.rejectCalls()
}
