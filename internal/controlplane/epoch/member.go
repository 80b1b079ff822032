// Package epoch replicates the coordination state of applications (package coordination) as a deterministic state machine: it
// knows no network, disk or clock. Step takes a message and Tick the time, and both return an Output whose messages the caller
// sends and whose records it syncs.
//
// Time is divided into epochs, each with one issuer. The issuer alone decides calls, on its own copy of the state, and has a
// majority of the acceptors accept each write before it answers. There is no log: an acceptor keeps the newest state and its
// position, and a write that does not lead on from there is replaced by the complete state.
//
//   - A new issuer first has a majority promise its epoch, takes the newest state of those, and writes it back under its own
//     epoch (phases 1 and 2 of Lamport's "Paxos Made Simple" for one register that is written again and again).
//   - Reads and rejections are answered only after a majority has confirmed, since the call arrived, that no later epoch was
//     promised (as ReadIndex does in Ongaro's thesis, section 6.4).
//   - The acceptors are the voters of the agreed view (package replica). They are changed by a last write in the old group,
//     which names the next one; no other write follows it there (the stop-sign of Lamport, Malkhi and Zhou, "Stoppable Paxos").
//
// docs/design/coordination.md has the invariants and the argument for each.
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
	Self        message.Member // with the identity that is on its disk
	Incarnation uint64         // drawn at random when the process starts; request IDs are counted from it
	Tolerance   int            // number of members that may be lost at one time
	// InitialGroup is the first group of acceptors. It is set only on the first start of the system, where the disk is empty.
	InitialGroup *message.AcceptorGroup
	History      time.Duration // how long at least the events of keys are kept for watches
}

// Stored is what a start finds on disk: the newest complete state and the writes appended since.
type Stored struct {
	Record message.CoordinationRecord
	State  message.CoordinationState
	Writes []message.CoordinationWrite
}

// Member is the state machine. It has one owner and no locks.
type Member struct {
	options   Options
	now       time.Duration // latest time passed to Step or Tick
	startedAt time.Duration
	store     *coordination.Store
	output    pendingOutput

	// As on disk once the outputs are synced.
	record    message.CoordinationRecord
	position  message.CoordinationPosition
	group     message.AcceptorGroup  // of position
	nextGroup *message.AcceptorGroup // the group ends with position; nil: it goes on

	// All below is lost in a restart.
	newestGroup message.AcceptorGroup // the newest that this member knows; at least group
	membership  membership
	follower    follower
	candidate   *candidate // nil: this member does not try to become the issuer
	issuer      *issuer    // nil: this member is not the issuer
	calls       callQueue
	leaving     bool
	takeovers   int // how often this member became the issuer
}

// membership is what this member knows of the agreed view.
type membership struct {
	view          message.ViewNumber
	voters        []message.Member
	volatile      bool          // what a majority of them accepts may be lost with all power
	mismatchSince time.Duration // since when the voters have differed from the acceptors
	mismatched    bool
}

// New returns a member that goes on from what was found on disk. The time now and all later ones are of the process's
// monotonic clock.
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

// Replay returns the complete state that stored writes lead to. Writes that do not lead on from the state before are passed over.
func Replay(stored Stored) message.CoordinationState {
	return New(Options{}, 0, stored).snapshot()
}

// SetVoters sets the voters of the newest agreed view that this process knows. The issuer makes them the acceptors.
func (m *Member) SetVoters(view message.ViewNumber, voters []message.Member) {
	if view > m.membership.view {
		m.membership.view, m.membership.voters = view, slices.Clone(voters)
	}
}

// SetDurable sets whether what a majority of the voters accepts outlasts the loss of all power together with as many disks as the
// tolerance says. Without it no call is decided. It is set until SetDurable is called.
func (m *Member) SetDurable(durable bool) { m.membership.volatile = !durable }

// SetLeaving starts a graceful shutdown: an issuer hands its epoch over, and the member does not become one any more.
func (m *Member) SetLeaving() { m.leaving = true }

// CanStop reports whether a member that leaves is neither the issuer nor an acceptor any more.
func (m *Member) CanStop() bool {
	return m.issuer == nil && !containsMember(m.newestGroup.Acceptors, m.options.Self.Identity)
}

// Tick does what is due at now. The caller ticks the member every 50 ms.
func (m *Member) Tick(now time.Duration) Output {
	m.now = max(m.now, now)
	m.observeMismatch()
	m.tickIssuer()
	m.tickCandidate()
	m.tickFollower()
	return m.takeOutput()
}

// Step takes a message that arrived at now.
func (m *Member) Step(now time.Duration, received *message.Message) Output {
	m.now = max(m.now, now)
	if received.To == m.options.Self.Identity { // else it is for a member that had this address before
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

// quorum returns how many acceptors of a group are a majority.
func quorum(group message.AcceptorGroup) int { return len(group.Acceptors)/2 + 1 }

func containsMember(members []message.Member, identity message.MemberID) bool {
	return slices.ContainsFunc(members, func(m message.Member) bool { return m.Identity == identity })
}

// sameMembers reports whether a and b have the same members, in whatever order.
func sameMembers(a, b []message.Member) bool {
	return len(a) == len(b) && lo.EveryBy(a, func(m message.Member) bool { return containsMember(b, m.Identity) })
}
