package epoch

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// candidatePhase is how far a candidate has come.
type candidatePhase int

const (
	phaseQuery   candidatePhase = iota // it asks whether the acceptors have an issuer
	phasePrepare                       // it collects promises
	phaseFetch                         // it fetches the newest state that the promises reported
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
	sources   map[message.MemberID]message.Member               // who reported it
	newest    message.CoordinationPosition                      // of phaseFetch: the newest that was reported
	isHandOff bool                                              // the issuer of the group before goes on in this one
}

// startQuery asks the acceptors whether they would promise a new epoch, so that a member that is cut off does not interrupt an
// issuer that the others hear.
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
	if c.group.Number != m.newestGroup.Number { // the acceptors asked are not the present ones
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
		m.follower.idle = !containsMember(m.newestGroup.Acceptors, m.options.Self.Identity) // the group goes on without it
	}
}

// prepare starts phase 1 for a group under a new epoch. The own promise is synced before the epoch is sent: a member that
// restarted in between would use the epoch twice.
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

// collectPromises asks the acceptors of a group to promise the candidate's epoch. Those of the group that this member's state
// belongs to are asked too: where nobody holds a state of the newer group, the older one has to be led to its end again. A
// promise that was given holds for every group.
func (m *Member) collectPromises(group message.AcceptorGroup) {
	c := m.candidate
	c.phase, c.startedAt, c.group = phasePrepare, m.now, group
	acceptors := append(append([]message.Member(nil), group.Acceptors...), m.group.Acceptors...)
	acceptors = lo.UniqBy(acceptors, func(a message.Member) message.MemberID { return a.Identity })
	for _, acceptor := range acceptors {
		m.sendAfterSync(acceptor, message.Message{EpochPrepare: &message.EpochPrepare{Epoch: c.epoch, Group: group.Number}})
	}
}

// onEpochPrepareResponse counts the promises. A majority of them has the newest state of the group among it, as each write that
// was answered was accepted by a majority.
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

// hasState reports whether one of those that have promised holds a state of a group. It has all then that was accepted in the
// groups before.
func (c *candidate) hasState(group message.AcceptorGroup) bool {
	return lo.SomeBy(lo.Values(c.promises), func(p message.CoordinationPosition) bool { return p.Group == group.Number })
}

// fetchNewestState fetches the newest state that was reported, unless this member holds it.
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

// onStateResponse takes the newest state over.
func (m *Member) onStateResponse(received *message.Message) {
	c, response := m.candidate, received.StateResponse
	if c == nil || c.phase != phaseFetch || response.Epoch != c.epoch || response.State.Position != c.newest {
		return
	}
	if m.position.Less(response.State.Position) {
		m.adoptState(response.State, false)
		m.output.stateReplaced = true
	}
	if m.position.Group > c.group.Number { // the state is of a later group than the one that was to be led
		m.prepare(m.newestGroup)
		return
	}
	m.becomeIssuer()
}

// abandonCandidacy ends an attempt that was rejected because of a later epoch.
func (m *Member) abandonCandidacy(promised message.Epoch) {
	if m.record.Promised.Less(promised) {
		m.promise(promised)
	}
	m.candidate = nil
	m.follower.awaitIssuer(m.now)
}

// tickCandidate gives up an attempt that takes too long; the next one starts when it is due again.
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
		if m.issuer != nil { // it was on its way to the next group
			m.stepDown(message.Member{})
		}
		m.follower.retryElection(m.now)
	}
}

// retryElection makes the next attempt due one queryTimeout from now, at the earliest.
func (f *follower) retryElection(now time.Duration) {
	f.waitingSince = now - issuerTimeout + queryTimeout
}

// onIssuerHandOver becomes the issuer in place of one that shuts down.
func (m *Member) onIssuerHandOver(received *message.Message) {
	isCurrent := received.IssuerHandOver.Epoch == m.record.Promised
	if isCurrent && m.isAcceptor() && m.issuer == nil && m.candidate == nil && !m.leaving {
		m.prepare(m.newestGroup)
	}
}
