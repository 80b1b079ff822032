// Package epoch replicates the coordination state of applications (package coordination). It is a deterministic state
// machine that uses no network, disk or clock. Step takes a message and Tick the time, and both return an Output whose
// messages the caller sends and whose records it syncs.
//
// Time is divided into epochs, each with one issuer. The issuer alone decides calls, on its own copy of the state, and
// has a majority of the acceptors accept each write before it answers. There is no log: an acceptor keeps the newest
// state and its position. If a write does not continue from that position, the issuer sends the missing writes or the
// complete state.
//
//   - A new issuer first has a majority promise its epoch, takes the newest state that they report, and writes it back
//     under its own epoch (phases 1 and 2 of Lamport's "Paxos Made Simple" for one register that is written
//     repeatedly).
//   - Reads and rejections are answered only after a majority has confirmed, since the call arrived, that no later
//     epoch was promised (as ReadIndex does in Ongaro's thesis, section 6.4).
//   - The acceptors are the voters of the agreed view (package replica). The last write of the old group names the next
//     group; no other write follows it in the old group (the stop-sign of Lamport, Malkhi and Zhou, "Stoppable Paxos").
//
// docs/design/coordination.md lists the invariants and argues each of them.
package epoch

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// Options do not change while the process runs.
type Options struct {
	Self        message.Member // with the identity that is stored on its disk
	Incarnation uint64         // random for each start of the process; request IDs count up from it
	Tolerance   int            // number of members that may be lost at the same time
	// InitialGroup is the first group of acceptors. It is set only on the first start of the system, where the disk is
	// empty.
	InitialGroup *message.AcceptorGroup
	History      time.Duration // minimum time for which the events of keys are kept for watches
}

// Stored is the content of the disk at a start: the newest complete state and the writes appended since.
type Stored struct {
	Record message.CoordinationRecord
	State  message.CoordinationState
	Writes []message.CoordinationWrite
}

// Member is the state machine. It is not safe for concurrent use.
type Member struct {
	options   Options
	now       time.Duration // latest time passed to Step or Tick
	startedAt time.Duration
	store     *coordination.Store
	output    pendingOutput

	// The fields of this block are on disk once the outputs are synced.
	record    message.CoordinationRecord
	position  message.CoordinationPosition
	group     message.AcceptorGroup  // of position
	nextGroup *message.AcceptorGroup // named by the write at position, which is the last of group; nil: group continues

	// The fields below are lost in a restart.
	newestGroup message.AcceptorGroup // the newest group that this member knows; not older than group
	membership  membership
	follower    follower
	candidate   *candidate // nil: this member is not a candidate
	issuer      *issuer    // nil: this member is not the issuer
	calls       callQueue
	leaving     bool
	takeovers   int // how often this member became the issuer
}

// membership is the newest agreed view that this member knows.
type membership struct {
	view          message.ViewNumber
	voters        []message.Member
	volatile      bool          // writes accepted by a majority of the voters may be lost if all lose power
	mismatchSince time.Duration // since when the voters have differed from the acceptors
	mismatched    bool
}

// New returns a member that continues from the stored state. All times, now included, are of the process's monotonic
// clock.
func New(options Options, now time.Duration, stored Stored) *Member {
	m := &Member{
		options: options, now: now, startedAt: now, record: stored.Record,
		store: coordination.New(coordination.Options{HistoryRetention: options.History}),
		calls: newCallQueue(),
	}
	m.follower.idle = true
	m.record.Identity = options.Self.Identity
	if stored.State.Group.Number == 0 && options.InitialGroup != nil {
		stored.State.Group = *options.InitialGroup
		stored.State.Position = message.CoordinationPosition{Group: options.InitialGroup.Number}
		m.output.recordDirty, m.output.stateReplaced = true, true
	}
	m.adoptState(stored.State, true)
	for i := range stored.Writes {
		if stored.Writes[i].Previous == m.position {
			m.applyWrite(&stored.Writes[i])
		}
	}
	if m.record.Promised.Less(m.position.Epoch) {
		m.record.Promised = m.position.Epoch
	}
	return m
}

// Replay returns the complete state after the stored writes. It skips writes that do not continue from the state before
// them.
func Replay(stored Stored) message.CoordinationState {
	return New(Options{}, 0, stored).snapshot()
}

// SetVoters sets the voters of an agreed view, unless a view as new was set before. The issuer makes them the
// acceptors.
func (m *Member) SetVoters(view message.ViewNumber, voters []message.Member) {
	if view > m.membership.view {
		m.membership.view, m.membership.voters = view, slices.Clone(voters)
	}
}

// SetDurable sets whether a write that a majority of the voters has accepted survives a power loss of all members
// together with the loss of as many disks as the tolerance allows. While it is false no call is decided. It is true
// until SetDurable is called.
func (m *Member) SetDurable(durable bool) { m.membership.volatile = !durable }

// SetLeaving starts a graceful shutdown: an issuer hands over to another acceptor. The member accepts no further
// hand-over and starts elections later than the other acceptors.
func (m *Member) SetLeaving() { m.leaving = true }

// CanStop reports whether the member is neither the issuer nor an acceptor, so that it can stop.
func (m *Member) CanStop() bool {
	return m.issuer == nil && !containsMember(m.newestGroup.Acceptors, m.options.Self.Identity)
}

// Tick advances the time and does the work that is due. The caller calls it every 50 ms.
func (m *Member) Tick(now time.Duration) Output {
	m.now = max(m.now, now)
	m.observeMismatch()
	m.tickIssuer()
	m.tickCandidate()
	m.tickFollower()
	return m.takeOutput()
}

// Step handles a message that arrived at now.
func (m *Member) Step(now time.Duration, received *message.Message) Output {
	m.now = max(m.now, now)
	if received.To == m.options.Self.Identity { // otherwise it is for a member that had this address before
		m.handle(received)
	}
	return m.takeOutput()
}

func (m *Member) handle(received *message.Message) {
	switch {
	case received.CallRequest != nil:
		m.onCallRequest(received)
	case received.StateWrite != nil:
		m.onStateWrite(received)
	case received.StateWriteResponse != nil:
		m.onStateWriteResponse(received)
	case received.EpochQuery != nil:
		m.onEpochQuery(received)
	case received.EpochQueryResponse != nil:
		m.onEpochQueryResponse(received)
	case received.EpochPrepare != nil:
		m.onEpochPrepare(received)
	case received.EpochPrepareResponse != nil:
		m.onEpochPrepareResponse(received)
	case received.StateRequest != nil:
		m.onStateRequest(received)
	case received.StateResponse != nil:
		m.onStateResponse(received)
	case received.IssuerHandOver != nil:
		m.onIssuerHandOver(received)
	}
}

// isSelf reports whether a member is this one.
func (m *Member) isSelf(member message.Member) bool {
	return member.Identity == m.options.Self.Identity
}

// quorum returns the number of acceptors that form a majority of a group.
func quorum(group message.AcceptorGroup) int { return len(group.Acceptors)/2 + 1 }

func containsMember(members []message.Member, identity message.MemberID) bool {
	return slices.ContainsFunc(members, func(m message.Member) bool { return m.Identity == identity })
}

// sameMembers reports whether a and b have the same members, in any order.
func sameMembers(a, b []message.Member) bool {
	return len(a) == len(b) && lo.EveryBy(a, func(m message.Member) bool { return containsMember(b, m.Identity) })
}
