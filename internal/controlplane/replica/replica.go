// Package replica implements one coordinator's replica of the control state as a deterministic state machine. It uses
// no network, disk or clock: Step takes a message and Tick the time, and both return an Output whose messages the
// caller sends and whose records the caller syncs.
//
// Three protocols work together:
//
//   - Chain replication (van Renesse and Schneider, "Chain Replication for Supporting High Throughput and
//     Availability", OSDI 2004) replicates the configuration along a chain of members. The head orders changes, each
//     member syncs a change before it forwards it, and the acknowledgement returns from the tail to the head.
//   - Single-decree Paxos (Lamport, "Paxos Made Simple") decides each membership change. The members of the chain, and
//     the voters that decide, form a numbered view; the voters of view n choose view n+1.
//   - Leases with fencing tokens, granted by a majority of the voters, elect one controller.
//
// A failure detector based on heartbeats records which members are suspected and which machines ask to join. The
// proposer of a view change uses its records.
package replica

import (
	"time"

	"pumiceline/internal/message"
)

// Options are the settings of a replica. They do not change while the process runs.
type Options struct {
	Self          message.Member // its identity is used only if the disk is empty
	Seeds         []string       // internal addresses of the members of the first view
	Tolerance     int            // number of members that may be lost at the same time
	LeaseDuration time.Duration
	FirstStart    bool // the whole system starts for the first time, with the seeds as members
	Diskless      bool // the machine has no disk; it joins only if no member has one
	// Incarnation is drawn at random when the process starts. Request IDs are counted from it, so that no response to an
	// earlier incarnation matches a request of this one.
	Incarnation uint64
}

// Replica is the state machine. It has no locks, so only one goroutine may use it.
type Replica struct {
	options  Options
	validate Validator
	now      time.Duration // latest time passed to Step or Tick
	ticked   bool          // Tick was called; a delay before the first Tick is not a pause

	// The state that is on disk once the outputs are synced.
	control message.ControlState
	chain   message.ChainState
	output  pendingOutput

	// The fields below are volatile: a restart loses them.
	viewEnteredAt time.Duration // when the view was entered, or when the process started with that view on its disk
	detector      failureDetector
	timers        membershipTimers
	proposal      proposal
	link          replicationLink
	confirmation  viewConfirmation
	lease         leaseState

	leaving         bool
	lastJoinRequest time.Duration
	diskStalled     bool // last value passed to SetDiskStalled
}

// New returns a replica with the state found on disk; zero states mean an empty disk. The time now and all later times
// are of the process's monotonic clock.
func New(options Options, validate Validator, now time.Duration, control message.ControlState, chain message.ChainState) *Replica {
	r := &Replica{options: options, validate: validate, now: now, control: control, chain: chain, viewEnteredAt: now}
	if control.Identity == "" {
		r.control = initialControlState(options)
		r.output.controlDirty = true
	}
	r.options.Self.Identity = r.control.Identity
	r.detector = newFailureDetector()
	r.detector.record(r.control.Identity).zone = options.Self.Zone
	r.detector.assignMonitors(r.control.View, r.control.Identity)
	r.lease = newLeaseState(now, options)
	r.confirmation.requestID = options.Incarnation
	r.resetReplication()
	return r
}

// initialControlState returns the control state of a member with an empty disk. On the first start of the system the
// seeds form the first view, with identities that every member derives from their addresses.
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

// SetLeaving starts a graceful shutdown. The other members remove this one from the chain, and it releases its lease.
func (r *Replica) SetLeaving() { r.leaving = true }

// SetDiskStalled sets whether a write to the disk has been in progress for too long. A member with a stalled disk is
// unhealthy: it is removed from the chain, proposes no view, and gives up the lease.
func (r *Replica) SetDiskStalled(stalled bool) { r.diskStalled = stalled }

// Tick runs the periodic work that is due at now. The caller ticks the replica every 50 ms.
func (r *Replica) Tick(now time.Duration) Output {
	r.detectPause(now)
	r.now, r.ticked = now, true
	r.tickMembership()
	r.tickProposal()
	r.tickReplication()
	r.tickConfirmation()
	r.tickLease()
	return r.takeOutput()
}

// Step handles a message that arrived at now.
func (r *Replica) Step(now time.Duration, m *message.Message) Output {
	r.detectPause(now)
	r.now = max(r.now, now)
	if m.To != "" && m.To != r.control.Identity { // addressed to a former process at this address
		r.announceNewerView(m)
		return r.takeOutput()
	}
	r.detector.recordMessage(m.From, r.control.Identity, r.now)
	r.announceNewerView(m)
	r.handle(m)
	return r.takeOutput()
}

// detectPause resets the failure detector if this process was paused: it cannot tell which members were alive during
// the pause.
func (r *Replica) detectPause(now time.Duration) {
	if r.ticked && now-r.now > pauseThreshold {
		r.detector.reset(now, now-r.now)
		r.timers.viewChangeWantedSince = instant{}
	}
}

func (r *Replica) handle(m *message.Message) {
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
