package epoch

import (
	"slices"
	"time"

	"pumiceline/internal/message"
)

// follower is what a member knows of the issuer.
type follower struct {
	issuer       message.Member // the one that was heard last; without an identity: none is known
	heardAt      time.Duration
	hasHeard     bool          // an issuer was heard since the start
	idle         bool          // no heartbeats are expected: there have been no calls for a while
	waitingSince time.Duration // since when an issuer has been awaited; it starts the time-out anew
}

// heard notes a message of an issuer.
func (f *follower) heard(write *message.StateWrite, now time.Duration) {
	f.issuer, f.heardAt, f.hasHeard = write.Issuer, now, true
	f.idle, f.waitingSince = write.Idle, now
}

// awaitIssuer expects a message of an issuer from now on: one that was promised its epoch is about to begin.
func (f *follower) awaitIssuer(now time.Duration) {
	f.issuer, f.hasHeard = message.Member{}, false
	f.idle, f.waitingSince = false, now
}

// isIssuerAlive reports whether an issuer was heard a moment ago.
func (f *follower) isIssuerAlive(now time.Duration) bool {
	return f.hasHeard && !f.idle && now-f.heardAt <= issuerAliveTime
}

// wake expects heartbeats again after a call has come: the issuer hears of it, or there is none.
func (m *Member) wake() {
	if m.follower.idle {
		m.follower.idle = false
		m.follower.waitingSince = m.now
	}
}

// electionDue reports whether it is this member's turn to look for a new issuer.
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

// isAcceptor reports whether this member is an acceptor of the newest group that it knows, or of that of its own state: the newer
// group may have been named by an issuer that was lost before anybody else entered it.
func (m *Member) isAcceptor() bool {
	self := m.options.Self.Identity
	return containsMember(m.newestGroup.Acceptors, self) || containsMember(m.group.Acceptors, self)
}

// electionRank returns how many acceptors are to try before this one: those between the last issuer and it.
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

// tickFollower looks for a new issuer when the present one has not been heard for too long.
func (m *Member) tickFollower() {
	if m.hasLongMismatch() {
		m.wake()
	}
	if m.electionDue() {
		m.startQuery()
	}
}

// observeMismatch notes since when the voters of the view have not been the acceptors.
func (m *Member) observeMismatch() {
	mismatched := m.wantedAcceptors() != nil
	if mismatched && !m.membership.mismatched {
		m.membership.mismatchSince = m.now
	}
	m.membership.mismatched = mismatched
}

// hasLongMismatch reports whether the group has needed a change for so long that an issuer is needed for it alone.
func (m *Member) hasLongMismatch() bool {
	return m.membership.mismatched && m.isAcceptor() && m.now-m.membership.mismatchSince >= groupMismatchDelay
}

// wantedAcceptors returns the voters of a newer view than that of the group, if they are others than its acceptors.
func (m *Member) wantedAcceptors() []message.Member {
	current := m.newestGroup
	isNewer := current.Number > 0 && m.membership.view > current.View
	if !isNewer || len(m.membership.voters) == 0 || sameMembers(m.membership.voters, current.Acceptors) {
		return nil
	}
	return m.membership.voters
}

// onEpochQuery says whether this member would promise a new epoch, without promising anything.
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
