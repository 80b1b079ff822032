// Package replica is a coordinator's part in the agreed control state, as a state machine: it takes messages and the
// time, and returns messages and records to be synced. It knows no network, disk or clock.
//
// The state is replicated along a chain of members (van Renesse and Schneider): the head takes changes, each member
// syncs a change before it passes it on, and the tail's word that it has synced it is the acknowledgement. The
// membership is a numbered view; the members of view n choose view n+1 by one single-value agreement of a majority.
package replica

import (
	"strconv"
	"time"

	"pumiceline/internal/message"
)

// Intervals and limits of the protocol.
const (
	heartbeatInterval           = 200 * time.Millisecond
	suspicionTimeout            = 900 * time.Millisecond  // silence after which a member is suspected
	unmonitoredSuspicionTimeout = 1600 * time.Millisecond // the same, where its monitors say nothing
	lateTimeout                 = 450 * time.Millisecond  // silence after which a member is in doubt
	reportTimeout               = 600 * time.Millisecond  // how long another member's suspicion counts
	joinRequestTimeout          = 700 * time.Millisecond  // how long a request to join counts
	newcomerTimeout             = 2 * suspicionTimeout    // a joiner whose place is not clear asks so long
	initialStartPeriod          = 2 * time.Second         // after the first start of the whole system
	proposalTimeout             = 400 * time.Millisecond  // an agreement round that takes longer is begun anew
	incompleteChainTimeout      = 2 * time.Second         // so long silent members stay for others that are not complete yet
	replicateRetryInterval      = 150 * time.Millisecond  // unacknowledged replication is sent again
	confirmRetryInterval        = 100 * time.Millisecond
	requestTimeout              = 1500 * time.Millisecond                // a waiting call that is older was given up by its relay
	pauseThreshold              = 300 * time.Millisecond                 // ticks further apart mean that this process stood still
	withdrawalTimeout           = joinRequestTimeout + 2*proposalTimeout // a request to join leads to admission so much later at the most
	monitorsPerMember           = 3
	maxPendingRequests          = 64
	confirmInterval             = 350 * time.Millisecond // a member asks a majority so often whether its view is the newest
	confirmLifetime             = 800 * time.Millisecond // so long after it asked, a member serves proxies
)

// Options are fixed for the life of a process.
type Options struct {
	Self          message.Member
	Seeds         []string // internal addresses
	Tolerance     int      // members that may be lost at one time
	LeaseDuration time.Duration
	FirstStart    bool
	Diskless      bool // the machine has no disk: it never asks for membership
	// Incarnation is drawn at random for each life of the process. Rounds are numbered from it, so that no answer to an
	// earlier life is taken for one to this.
	Incarnation uint64
}

// ValidationResult is what a change amounts to on top of a state.
type ValidationResult struct {
	Status   int // 200: taken before or to be applied; 0: undecided, no answer is given; otherwise refused
	Body     []byte
	Apply    bool
	Change   message.Change
	Document []byte
}

// Validator decides a call on top of a state. It must be a pure function.
type Validator func(state *message.ChainState, call *message.ConfigRequest) ValidationResult

// Output is what a step asks the caller to do, in this order: send Immediate; write Control and Chain where they are
// set and sync them; then send AfterSync. Outputs are carried out in the order in which they were returned.
type Output struct {
	Immediate []message.Message
	Control   *message.ControlState
	Chain     *message.ChainState
	// AppendedRecords are what has to be added to the state of the output before to make Chain; none: it is written whole.
	AppendedRecords []message.ChangeRecord
	AfterSync       []message.Message
}

// Replica is the state machine. It has one owner and no locks.
type Replica struct {
	options  Options
	validate Validator
	now      time.Duration
	ticked   bool

	control message.ControlState
	chain   message.ChainState

	output       Output
	controlDirty bool
	chainDirty   bool

	chainReplaced   bool // since the last output
	appendedRecords []message.ChangeRecord

	detector        failureDetector
	proposal        proposal
	link            replicationLink
	confirmation    viewConfirmation
	lease           leaseState
	leaving         bool
	lastJoinRequest time.Duration // when it asked for membership last
	diskStalled     bool
}

// New makes a replica from what was found on disk; the zero states stand for an empty disk.
func New(options Options, judge Validator, now time.Duration, control message.ControlState, chain message.ChainState) *Replica {
	r := &Replica{options: options, validate: judge, now: now, control: control, chain: chain}
	if control.Identity == "" {
		r.control = initialControlState(options)
		r.controlDirty = true
	}
	r.options.Self.Identity = r.control.Identity
	r.detector.init()
	r.detector.zone[r.control.Identity] = options.Self.Zone
	r.detector.assignMonitors(r.control.View, r.control.Identity)
	r.lease.init(now, options.LeaseDuration, options.Incarnation)
	r.confirmation.requestID = options.Incarnation
	r.resetReplication()
	return r
}

// initialControlState is that of a member with an empty disk. On the first start of the system the seeds are the first
// view, under identities that everyone can derive from their addresses.
func initialControlState(options Options) message.ControlState {
	state := message.ControlState{Identity: options.Self.Identity}
	if !options.FirstStart {
		return state
	}
	state.View = InitialView(options.Seeds)
	for _, member := range state.View.Members {
		if member.Address == options.Self.Address {
			state.Identity = member.Identity
			state.Complete = true
		}
	}
	return state
}

// Identity returns the member's identity.
func (r *Replica) Identity() message.MemberID { return r.control.Identity }

// View returns the newest view known.
func (r *Replica) View() message.View { return r.control.View }

// CommittedState returns the newest state known to be acknowledged; its sequence is 0 where none is.
func (r *Replica) CommittedState() message.ChainState { return r.link.committedState }

// IsMember reports whether the replica belongs to the newest view it knows.
func (r *Replica) IsMember() bool { return r.position() >= 0 }

// IsComplete reports whether the replica holds all that was acknowledged in the views before its own.
func (r *Replica) IsComplete() bool { return r.control.Complete }

// IsSynced reports whether the replica holds the state of its view.
func (r *Replica) IsSynced() bool { return r.IsMember() && r.link.synced }

// ServingUntil returns until when the member may hand out its state: for a while after it asked a majority of the voters
// whether its view is the newest, and they said so. What it hands out then is no older than what had been acknowledged
// when it asked. It is 0 where the member may hand out nothing.
func (r *Replica) ServingUntil() time.Duration {
	if !r.IsSynced() || !r.link.committedInView || !r.confirmation.confirmed {
		return 0
	}
	return r.confirmation.confirmedAt + confirmLifetime
}

// HasMajority reports whether a majority of the voters confirmed the view a moment ago.
func (r *Replica) HasMajority() bool {
	return r.IsMember() && r.confirmation.confirmed && r.now < r.confirmation.confirmedAt+confirmLifetime
}

// WaitingFor tells what keeps the member from going on, for people who look for a fault: empty where nothing does.
func (r *Replica) WaitingFor() string {
	switch {
	case r.control.AcceptedView.Number != 0:
		return "the decision on view " + strconv.FormatUint(uint64(r.control.AcceptedView.Number), 10)
	case !r.IsMember():
		return "admission to the chain"
	case !r.control.Complete:
		return "the state of its predecessor"
	case !r.confirmation.confirmed:
		return "a majority of the voters"
	case !r.link.committed:
		return "the rest of the chain"
	}
	return ""
}

// SetLeaving says that the process was asked to stop: the others take it out of the chain, and its lease goes back.
func (r *Replica) SetLeaving() { r.leaving = true }

// CanStop reports whether a member that was asked to stop is needed no more: it is outside the chain, and no request of
// its own by which it could be admitted again is still under way.
func (r *Replica) CanStop() bool {
	return r.leaving && !r.IsMember() && r.now-r.lastJoinRequest >= withdrawalTimeout
}

// SetDiskStalled says whether a write has been under way for too long.
func (r *Replica) SetDiskStalled(stalled bool) { r.diskStalled = stalled }

// Tick does what is due at now.
func (r *Replica) Tick(now time.Duration) Output {
	if r.ticked && now-r.now > pauseThreshold {
		r.detector.reset(now, now-r.now)
	}
	r.now, r.ticked = now, true
	r.tickMembership()
	r.tickProposal()
	r.tickChain()
	r.tickConfirmation()
	r.tickLease()
	return r.takeOutput()
}

// Step takes a message.
func (r *Replica) Step(now time.Duration, m *message.Message) Output {
	if r.ticked && now-r.now > pauseThreshold {
		r.detector.reset(now, now-r.now)
	}
	r.now = max(r.now, now)
	if m.To != "" && m.To != r.control.Identity { // meant for whoever had this address before
		r.announceNewerView(m)
		return r.takeOutput()
	}
	r.detector.recordMessage(m.From, r.control.Identity, r.now)
	r.announceNewerView(m)
	r.dispatch(m)
	return r.takeOutput()
}

func (r *Replica) dispatch(m *message.Message) {
	switch {
	case m.Heartbeat != nil:
		r.onHeartbeat(m)
	case m.SuspicionReport != nil:
		r.onSuspicionReport(m)
	case m.JoinRequest != nil:
		r.onJoinRequest(m)
	case m.ViewAnnouncement != nil:
		r.enterView(m.ViewAnnouncement.View)
	case m.Prepare != nil:
		r.onPrepare(m)
	case m.PrepareResponse != nil:
		r.onPrepareResponse(m)
	case m.Accept != nil:
		r.onAccept(m)
	case m.AcceptResponse != nil:
		r.onAcceptResponse(m)
	case m.Replicate != nil:
		r.onReplicate(m)
	case m.Committed != nil:
		r.onCommitted(m)
	case m.SnapshotRequest != nil:
		r.onSnapshotRequest(m)
	case m.CatchUpRequest != nil:
		r.onCatchUpRequest(m)
	case m.CatchUp != nil:
		r.onCatchUp(m)
	case m.ConfirmRequest != nil:
		r.onConfirmRequest(m)
	case m.ConfirmResponse != nil:
		r.onConfirmResponse(m)
	case m.LeaseRequest != nil:
		r.onLeaseRequest(m)
	case m.LeaseGrant != nil:
		r.onLeaseGrant(m)
	case m.LeaseRelease != nil:
		r.onLeaseRelease(m)
	case m.ConfigRequest != nil:
		r.onConfigRequest(m)
	}
}

// takeOutput hands out what has gathered.
func (r *Replica) takeOutput() Output {
	out := r.output
	r.output = Output{}
	if r.controlDirty {
		state := r.control
		out.Control = &state
		r.controlDirty = false
	}
	if r.chainDirty {
		state := r.chain
		out.Chain = &state
		if !r.chainReplaced {
			out.AppendedRecords = r.appendedRecords
		}
		r.chainDirty, r.chainReplaced, r.appendedRecords = false, false, nil
	}
	return out
}

// send lets a message out at once.
func (r *Replica) send(to message.Member, m message.Message) {
	r.output.Immediate = append(r.output.Immediate, r.addressed(to, m))
}

// sendAfterSync lets a message out when all that was changed so far is on disk.
func (r *Replica) sendAfterSync(to message.Member, m message.Message) {
	r.output.AfterSync = append(r.output.AfterSync, r.addressed(to, m))
}

func (r *Replica) addressed(to message.Member, m message.Message) message.Message {
	m.From, m.FromAddress, m.FromZone = r.control.Identity, r.options.Self.Address, r.options.Self.Zone
	m.View = r.control.View.Number
	m.To, m.ToAddress = to.Identity, to.Address
	return m
}

// sender is who sent a message.
func (r *Replica) sender(m *message.Message) message.Member {
	return message.Member{Identity: m.From, Address: m.FromAddress, Zone: m.FromZone}
}
