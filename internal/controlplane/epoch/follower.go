package epoch

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// follower is a member's view of the issuer.
type follower struct {
	issuer       message.Member // as last reported; without an identity: none is known
	lastWriteAt  time.Duration
	hasLastWrite bool          // lastWriteAt is set
	idle         bool          // no heartbeats are expected: there have been no calls for a while
	waitingSince time.Duration // start of the election time-out
}

// recordWrite records a write that an issuer sent.
func (f *follower) recordWrite(write *message.StateWrite, now time.Duration) {
	f.issuer, f.lastWriteAt, f.hasLastWrite = write.Issuer, now, true
	f.idle, f.waitingSince = write.Idle, now
}

// awaitIssuer restarts the election time-out while another member, which has a later epoch, is expected to become the
// issuer.
func (f *follower) awaitIssuer(now time.Duration) {
	f.issuer, f.hasLastWrite = message.Member{}, false
	f.idle, f.waitingSince = false, now
}

// isIssuerAlive reports whether a write of an issuer arrived within issuerAliveTime.
func (f *follower) isIssuerAlive(now time.Duration) bool {
	return f.hasLastWrite && !f.idle && now-f.lastWriteAt <= issuerAliveTime
}

// expectHeartbeats ends the idle state and restarts the election time-out, after a call or when the group needs a
// change. An issuer that is alive resumes its heartbeats for the same reason. If none arrives there is no issuer, and
// an election follows.
func (m *Member) expectHeartbeats() {
	if m.follower.idle {
		m.follower.idle = false
		m.follower.waitingSince = m.now
	}
}

// electionDue reports whether this member should start a candidacy now.
func (m *Member) electionDue() bool {
	if m.follower.idle || m.issuer != nil || m.candidate != nil || !m.isAcceptor() {
		return false
	}
	timeout := time.Duration(m.electionRank()) * rankDelay
	if m.follower.issuer.Identity != "" || m.record.Promised.Counter > 0 {
		timeout += issuerTimeout
	}
	if m.leaving {
		timeout += leavingDelay
	}
	return m.now-m.follower.waitingSince >= timeout
}

// isAcceptor reports whether this member is an acceptor of the newest group that it knows, or of the group of its own
// state. The latter counts because an issuer may have announced the newer group and failed before any other member had
// a state of it.
func (m *Member) isAcceptor() bool {
	self := m.options.Self.Identity
	return containsMember(m.newestGroup.Acceptors, self) || containsMember(m.group.Acceptors, self)
}

// electionRank returns how many acceptors may start a candidacy before this one: those between the last issuer and this
// member in the order of the group.
func (m *Member) electionRank() int {
	indexOf := func(identity message.MemberID) int {
		return slices.IndexFunc(m.newestGroup.Acceptors, func(a message.Member) bool { return a.Identity == identity })
	}
	count := len(m.newestGroup.Acceptors)
	if indexOf(m.options.Self.Identity) < 0 {
		return count
	}
	return (indexOf(m.options.Self.Identity) - indexOf(m.record.Promised.Issuer) - 1 + count) % count
}

// tickFollower starts a candidacy when the election time-out is over or a change of the group needs an issuer.
func (m *Member) tickFollower() {
	if m.hasLongMismatch() {
		m.expectHeartbeats()
	}
	if m.electionDue() {
		m.startQuery()
	}
}

// observeMismatch records since when the voters of the view differ from the acceptors.
func (m *Member) observeMismatch() {
	mismatched := m.wantedAcceptors() != nil
	if mismatched && !m.membership.mismatched {
		m.membership.mismatchSince = m.now
	}
	m.membership.mismatched = mismatched
}

// hasLongMismatch reports whether the voters have differed from the acceptors for groupMismatchDelay. An issuer is then
// needed to change the group, even without calls.
func (m *Member) hasLongMismatch() bool {
	return m.membership.mismatched && m.isAcceptor() && m.now-m.membership.mismatchSince >= groupMismatchDelay
}

// wantedAcceptors returns the voters of the view if the view is newer than that of the group and they differ from its
// acceptors.
func (m *Member) wantedAcceptors() []message.Member {
	current := m.newestGroup
	isNewer := current.Number > 0 && m.membership.view > current.View
	if !isNewer || len(m.membership.voters) == 0 || sameMembers(m.membership.voters, current.Acceptors) {
		return nil
	}
	return m.membership.voters
}

// onEpochQuery reports whether this member has an issuer, its promised epoch and its newest group. It promises nothing.
func (m *Member) onEpochQuery(received *message.Message) {
	response := &message.EpochQueryResponse{
		RequestID: received.EpochQuery.RequestID, Promised: m.record.Promised, Group: m.newestGroup,
		Issuer: m.follower.issuer, HasIssuer: m.follower.isIssuerAlive(m.now),
	}
	if m.issuer != nil && m.issuer.hasQuorum(m.now) {
		response.Issuer, response.HasIssuer = m.options.Self, true
	}
	m.send(senderOf(received), message.Message{EpochQueryResponse: response})
}
