package epoch

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// candidatePhase is the phase of a candidacy.
type candidatePhase int

const (
	phaseQuery   candidatePhase = iota // asks whether the acceptors have an issuer
	phasePrepare                       // collects promises
	phaseFetch                         // fetches the newest state that the promises reported
)

// candidate is a member's attempt to become the issuer.
type candidate struct {
	phase     candidatePhase
	startedAt time.Duration // of the phase
	requestID uint64        // of the query
	queried   map[message.MemberID]*message.EpochQueryResponse
	epoch     message.Epoch // from phasePrepare on
	group     message.AcceptorGroup
	promises  map[message.MemberID]message.CoordinationPosition // by acceptor: the position that it reported
	sources   map[message.MemberID]message.Member               // the acceptors that reported a position
	newest    message.CoordinationPosition                      // in phaseFetch: the newest position that was reported
	isHandOff bool                                              // the issuer of the previous group continues in this one
}

// startQuery asks the acceptors whether they have an issuer before any epoch is prepared (a pre-vote). Without it a
// member that was cut off from the issuer would depose one that the other acceptors still follow.
func (m *Member) startQuery() {
	m.options.Incarnation++
	m.follower.issuer = message.Member{}
	m.candidate = &candidate{
		phase: phaseQuery, startedAt: m.now, requestID: m.options.Incarnation, group: m.newestGroup,
		queried: map[message.MemberID]*message.EpochQueryResponse{},
	}
	for _, acceptor := range m.newestGroup.Acceptors {
		m.send(acceptor, message.Message{EpochQuery: &message.EpochQuery{RequestID: m.candidate.requestID}})
	}
}

// onEpochQueryResponse counts the acceptors that have no issuer. With a majority of them it prepares an epoch.
func (m *Member) onEpochQueryResponse(received *message.Message) {
	c, response := m.candidate, received.EpochQueryResponse
	m.learnGroup(response.Group)
	if c == nil || c.phase != phaseQuery || response.RequestID != c.requestID {
		return
	}
	if c.group.Number != m.newestGroup.Number { // the queried acceptors are no longer the current ones
		m.candidate = nil
		return
	}
	c.queried[received.From] = response
	answered := lo.Filter(c.group.Acceptors, func(a message.Member, _ int) bool { return c.queried[a.Identity] != nil })
	withIssuer := lo.Filter(answered, func(a message.Member, _ int) bool { return c.queried[a.Identity].HasIssuer })
	switch {
	case len(answered)-len(withIssuer) >= quorum(c.group):
		m.prepare(m.newestGroup)
	case len(withIssuer) > len(c.group.Acceptors)-quorum(c.group):
		m.candidate = nil
		m.follower.waitingSince = m.now
		m.follower.issuer = c.queried[withIssuer[0].Identity].Issuer
		// A member outside the group expects no heartbeats.
		m.follower.idle = !containsMember(m.newestGroup.Acceptors, m.options.Self.Identity)
	}
}

// prepare starts phase 1 for a group under a new epoch. The member's own promise is synced before the epoch is sent: if
// the member sent the epoch first and restarted before the sync, it would use the same epoch twice.
func (m *Member) prepare(group message.AcceptorGroup) {
	m.follower.issuer = message.Member{}
	counter := m.record.Promised.Counter
	if m.candidate != nil {
		for _, response := range m.candidate.queried {
			counter = max(counter, response.Promised.Counter)
		}
	}
	m.candidate = nil
	epoch := message.Epoch{Counter: counter + 1, Issuer: m.options.Self.Identity}
	m.promise(epoch)
	m.candidate = newCandidate(epoch)
	m.collectPromises(group)
}

func newCandidate(epoch message.Epoch) *candidate {
	return &candidate{
		epoch: epoch, promises: map[message.MemberID]message.CoordinationPosition{},
		sources: map[message.MemberID]message.Member{},
	}
}

// collectPromises asks the acceptors of a group to promise the candidate's epoch. It also asks the acceptors of the
// group that this member's state belongs to: if no acceptor holds a state of the newer group, the candidate has to
// become the issuer of the older group and complete the change to the newer one. A promise holds for every group.
func (m *Member) collectPromises(group message.AcceptorGroup) {
	c := m.candidate
	c.phase, c.startedAt, c.group = phasePrepare, m.now, group
	acceptors := append(append([]message.Member(nil), group.Acceptors...), m.group.Acceptors...)
	acceptors = lo.UniqBy(acceptors, func(a message.Member) message.MemberID { return a.Identity })
	for _, acceptor := range acceptors {
		m.sendAfterSync(acceptor, message.Message{EpochPrepare: &message.EpochPrepare{Epoch: c.epoch, Group: group.Number}})
	}
}

// onEpochPrepareResponse counts the promises. A majority of promises includes an acceptor with the newest state of the
// group, because each write that was answered had been accepted by a majority.
func (m *Member) onEpochPrepareResponse(received *message.Message) {
	c, response := m.candidate, received.EpochPrepareResponse
	m.learnGroup(response.Current)
	if c == nil || c.phase != phasePrepare || response.Epoch != c.epoch || response.Group != c.group.Number {
		return
	}
	if response.Rejected {
		m.abandonCandidacy(response.Promised)
		return
	}
	c.promises[received.From] = response.Position
	c.sources[received.From] = senderOf(received)
	if response.Current.Number > c.group.Number { // the group was superseded
		c.isHandOff = false
		m.collectPromises(response.Current)
	}
	switch {
	case c.hasState(c.group) || c.isHandOff || m.position.Group == c.group.Number:
		if c.isPromisedBy(c.group) {
			m.fetchNewestState()
		}
	case m.group.Number < c.group.Number && c.isPromisedBy(m.group):
		c.group = m.group
		m.fetchNewestState()
	}
}

// isPromisedBy reports whether a majority of a group has promised the candidate's epoch.
func (c *candidate) isPromisedBy(group message.AcceptorGroup) bool {
	promised := lo.CountBy(group.Acceptors, func(a message.Member) bool { _, ok := c.promises[a.Identity]; return ok })
	return promised >= quorum(group)
}

// hasState reports whether an acceptor that has promised holds a state of a group. Such a state includes everything
// that was accepted in the earlier groups.
func (c *candidate) hasState(group message.AcceptorGroup) bool {
	return lo.SomeBy(lo.Values(c.promises), func(p message.CoordinationPosition) bool { return p.Group == group.Number })
}

// fetchNewestState fetches the newest state that was reported. If this member holds it already, it becomes the issuer
// at once.
func (m *Member) fetchNewestState() {
	c := m.candidate
	newest := m.options.Self.Identity
	position := m.position
	for _, identity := range slices.Sorted(maps.Keys(c.promises)) {
		if reported := c.promises[identity]; position.Less(reported) {
			newest, position = identity, reported
		}
	}
	if newest == m.options.Self.Identity {
		m.becomeIssuer()
		return
	}
	c.phase, c.startedAt, c.newest = phaseFetch, m.now, position
	m.send(c.sources[newest], message.Message{StateRequest: &message.StateRequest{Epoch: c.epoch}})
}

// onStateResponse adopts the newest state and becomes the issuer.
func (m *Member) onStateResponse(received *message.Message) {
	c, response := m.candidate, received.StateResponse
	if c == nil || c.phase != phaseFetch || response.Epoch != c.epoch || response.State.Position != c.newest {
		return
	}
	if m.position.Less(response.State.Position) {
		m.adoptState(response.State, false)
		m.output.stateReplaced = true
	}
	if m.position.Group > c.group.Number { // the state belongs to a later group than the one prepared
		m.prepare(m.newestGroup)
		return
	}
	m.becomeIssuer()
}

// abandonCandidacy ends a candidacy that was rejected because an acceptor had promised a later epoch.
func (m *Member) abandonCandidacy(promised message.Epoch) {
	if m.record.Promised.Less(promised) {
		m.promise(promised)
	}
	m.candidate = nil
	m.follower.awaitIssuer(m.now)
}

// tickCandidate ends a candidacy that takes too long. The next one starts when it is due again.
func (m *Member) tickCandidate() {
	c := m.candidate
	if c == nil {
		return
	}
	limit := prepareTimeout
	if c.phase == phaseQuery {
		limit = queryTimeout
	}
	if m.now-c.startedAt >= limit {
		m.candidate = nil
		if m.issuer != nil { // the candidacy was for the next group
			m.stepDown(message.Member{})
		}
		m.follower.retryElection(m.now)
	}
}

// retryElection makes the next candidacy due queryTimeout from now, at the earliest.
func (f *follower) retryElection(now time.Duration) {
	f.waitingSince = now - issuerTimeout + queryTimeout
}

// onIssuerHandOver starts a candidacy at once when an issuer hands over to this member.
func (m *Member) onIssuerHandOver(received *message.Message) {
	isCurrent := received.IssuerHandOver.Epoch == m.record.Promised
	if isCurrent && m.isAcceptor() && m.issuer == nil && m.candidate == nil && !m.leaving {
		m.prepare(m.newestGroup)
	}
}
