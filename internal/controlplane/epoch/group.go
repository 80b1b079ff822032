package epoch

import (
	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// isNextGroupReady reports whether the acceptors have to change and a majority of the new ones holds the current state.
func (m *Member) isNextGroupReady() bool {
	l, wanted := m.issuer, m.wantedAcceptors()
	if wanted == nil || !l.established || l.inFlight != nil {
		return false
	}
	return m.acceptedBy(wanted, l.round) >= len(wanted)/2+1
}

// closeGroup starts the last write of the group, which names the next group.
func (m *Member) closeGroup() {
	m.nextGroup = &message.AcceptorGroup{
		Number: m.group.Number + 1, View: m.membership.view, Acceptors: m.wantedAcceptors(),
	}
	write := &message.CoordinationWrite{
		Previous: m.position,
		Position: m.nextPosition(),
		Changes:  []message.CoordinationChange{{NextGroup: m.nextGroup}},
	}
	m.startRound(write, nil)
}

// nextPosition returns the position of the issuer's next write in the group.
func (m *Member) nextPosition() message.CoordinationPosition {
	next := m.position
	next.Sequence++
	return next
}

// enterNextGroup asks the acceptors of the next group to promise the epoch. Another issuer may already have written in
// that group, so the newest state has to be found first, as in any election.
func (m *Member) enterNextGroup() {
	m.issuer.established = false
	m.candidate = newCandidate(m.issuer.epoch)
	m.candidate.isHandOff = true
	m.collectPromises(*m.nextGroup)
}

// mustHandOver reports whether another member has to become the issuer, because this one shuts down or is not an
// acceptor.
func (m *Member) mustHandOver() bool {
	isOutside := !containsMember(m.group.Acceptors, m.options.Self.Identity)
	return m.issuer.established && (m.leaving || isOutside)
}

// handOver ends the epoch in favour of an acceptor that holds the current state and is not shutting down. If there is
// none, this member continues to decide calls until its process ends.
func (m *Member) handOver() {
	l := m.issuer
	successor, found := lo.Find(m.group.Acceptors, func(a message.Member) bool {
		acknowledged := l.acks[a.Identity]
		return !m.isSelf(a) && acknowledged.round >= l.round && !acknowledged.isLeaving
	})
	if !found {
		m.decideCalls()
		return
	}
	m.send(successor, message.Message{IssuerHandOver: &message.IssuerHandOver{Epoch: l.epoch}})
	m.stepDown(successor)
}
