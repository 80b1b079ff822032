package replica

import (
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// proposal is a round of the agreement on the next view that this member has begun.
type proposal struct {
	active         bool
	number         message.ProposalNumber
	value          message.View
	revocable      bool // the value is what was wanted at the beginning of the round, and is given up when it no longer is
	accepting      bool
	promises       map[message.MemberID]bool
	acceptances    map[message.MemberID]bool
	acceptedNumber message.ProposalNumber // ballot of the accepted value that value was taken from
	startedAt      time.Duration
	highestCounter uint64 // highest round seen
}

// proposalRankDelay is how long a member waits for each one before it in the chain to propose first.
const proposalRankDelay = 350 * time.Millisecond

// disklessProposalDelay is how much longer a member without a disk waits where one with a disk could propose: that one may take
// those without out in the same step.
const disklessProposalDelay = 2 * time.Second

// hasDurablePeer reports whether another member, with a disk, could propose.
func (r *Replica) hasDurablePeer() bool {
	suspects := r.suspectedMembers()
	return lo.ContainsBy(r.control.View.Members, func(m message.Member) bool {
		return r.detector.disk[m.Identity] && r.isComplete(m) && !lo.Contains(suspects, m.Identity)
	})
}

// minViewAge is how long after its start a view is not changed again.
const minViewAge = 2 * heartbeatInterval

// acceptedViewTimeout is how long an accepted value may stay undecided before another member takes it up.
const acceptedViewTimeout = 500 * time.Millisecond

// isFirstProposer reports whether the member is the first of those that may propose.
func (r *Replica) isFirstProposer() bool { return r.proposerRank() == 0 }

// proposerRank is how many members that may propose stand before this one.
func (r *Replica) proposerRank() int {
	suspects := r.suspectedMembers()
	rank := 0
	for _, member := range r.control.View.Members {
		if member.Identity == r.control.Identity {
			return rank
		}
		if !lo.Contains(suspects, member.Identity) && r.isComplete(member) && !r.isLeaving(member) {
			rank++
		}
	}
	return rank
}

// canPropose reports whether the member may begin a round: it holds all that was acknowledged, so it may stand at the
// head of the chain that it proposes, and a moment after a view began it knows who else is complete. One that has stood
// still for long waits until it can tell who is silent.
func (r *Replica) canPropose() bool {
	if r.detector.resumedAt != 0 && r.now-r.detector.resumedAt < suspicionTimeout {
		return false
	}
	return r.IsMember() && r.now-r.lease.viewEntered >= minViewAge && r.control.Complete && !r.leaving && !r.diskStalled
}

func (r *Replica) tickProposal() {
	if !r.canPropose() {
		r.detector.wantsViewChange = false
		return
	}
	wanted, wants := r.nextView()
	undecided := r.control.AcceptedView.Number != 0
	if !wants && !undecided {
		r.detector.wantsViewChange = false
		return
	}
	if !r.detector.wantsViewChange {
		r.detector.wantsViewChange, r.detector.viewChangeWantedSince = true, r.now
	}
	patience := time.Duration(r.proposerRank()) * proposalRankDelay
	if r.options.Diskless && r.hasDurablePeer() {
		patience += disklessProposalDelay
	}
	if !wants {
		wanted, patience = r.control.AcceptedView, patience+acceptedViewTimeout
	}
	if r.now-r.detector.viewChangeWantedSince < patience || r.proposal.active && r.now-r.proposal.startedAt < proposalTimeout {
		return
	}
	r.prepare(wanted)
	r.proposal.revocable = wants
}

// prepare opens a ballot above all that were seen. The own promise is synced before anyone hears of the ballot, so
// that a restarted proposer never uses one twice.
func (r *Replica) prepare(value message.View) {
	round := max(r.proposal.highestCounter, r.control.HighestProposal.Counter) + 1
	r.proposal = proposal{
		active: true, value: value, startedAt: r.now, highestCounter: round,
		number:   message.ProposalNumber{Counter: round, Proposer: r.control.Identity},
		promises: map[message.MemberID]bool{}, acceptances: map[message.MemberID]bool{},
	}
	r.control.HighestProposal = r.proposal.number
	r.controlDirty = true
	for _, member := range r.control.View.EffectiveVoters() {
		r.sendAfterSync(member, message.Message{Prepare: &message.Prepare{Proposal: r.proposal.number}})
	}
}

// canVoteOn reports whether the replica may vote on the view after that of m. It need not hold the state for it: the
// proposer does.
func (r *Replica) canVoteOn(m *message.Message) bool {
	return m.View == r.control.View.Number && r.isVoter() && chainPosition(r.control.View, m.From) >= 0
}

func (r *Replica) onPrepare(m *message.Message) {
	if !r.canVoteOn(m) {
		return
	}
	promise := &message.PrepareResponse{Proposal: m.Prepare.Proposal}
	if m.Prepare.Proposal.Less(r.control.HighestProposal) {
		promise.Rejected, promise.HighestProposal = true, r.control.HighestProposal
	} else {
		r.control.HighestProposal = m.Prepare.Proposal
		r.controlDirty = true
		promise.AcceptedProposal, promise.AcceptedView = r.control.AcceptedProposal, r.control.AcceptedView
	}
	r.sendAfterSync(r.sender(m), message.Message{PrepareResponse: promise})
}

func (r *Replica) onPrepareResponse(m *message.Message) {
	p := &r.proposal
	if m.View != r.control.View.Number || !r.hasVote(m.From) || !p.active || p.accepting || m.PrepareResponse.Proposal != p.number {
		return
	}
	if m.PrepareResponse.Rejected {
		p.highestCounter = max(p.highestCounter, m.PrepareResponse.HighestProposal.Counter)
		return
	}
	p.promises[m.From] = true
	if m.PrepareResponse.AcceptedView.Number != 0 && !m.PrepareResponse.AcceptedProposal.Less(p.acceptedNumber) {
		p.acceptedNumber, p.value = m.PrepareResponse.AcceptedProposal, m.PrepareResponse.AcceptedView
	}
	if len(p.promises) < r.quorumSize() {
		return
	}
	if p.revocable && p.acceptedNumber.Counter == 0 && !r.isStillWanted(p.value) {
		p.active = false
		return
	}
	p.accepting = true
	for _, member := range r.control.View.EffectiveVoters() {
		r.send(member, message.Message{Accept: &message.Accept{Proposal: p.number, Value: p.value}})
	}
}

// isStillWanted reports whether the view that a round was begun for is wanted yet: a member may have come back meanwhile.
func (r *Replica) isStillWanted(value message.View) bool {
	wanted, wants := r.nextView()
	return wants && sameMembers(wanted.Members, value.Members) && sameMembers(wanted.Voters, value.Voters)
}

func (r *Replica) onAccept(m *message.Message) {
	if !r.canVoteOn(m) || m.Accept.Value.Number != r.control.View.Number+1 {
		return
	}
	accepted := &message.AcceptResponse{Proposal: m.Accept.Proposal}
	if m.Accept.Proposal.Less(r.control.HighestProposal) {
		accepted.Rejected, accepted.HighestProposal = true, r.control.HighestProposal
	} else {
		r.control.HighestProposal, r.control.AcceptedProposal, r.control.AcceptedView = m.Accept.Proposal, m.Accept.Proposal, m.Accept.Value
		r.controlDirty = true
	}
	r.sendAfterSync(r.sender(m), message.Message{AcceptResponse: accepted})
}

func (r *Replica) onAcceptResponse(m *message.Message) {
	p := &r.proposal
	if m.View != r.control.View.Number || !r.hasVote(m.From) || !p.active || !p.accepting || m.AcceptResponse.Proposal != p.number {
		return
	}
	if m.AcceptResponse.Rejected {
		p.highestCounter = max(p.highestCounter, m.AcceptResponse.HighestProposal.Counter)
		return
	}
	p.acceptances[m.From] = true
	if len(p.acceptances) < r.quorumSize() {
		return
	}
	r.announceDecided(p.value)
}

// announceDecided enters a decided view and tells everyone whom it concerns.
func (r *Replica) announceDecided(view message.View) {
	concerned := membersAndVoters(r.control.View, view)
	r.enterView(view)
	for _, member := range concerned {
		if member.Identity != r.control.Identity {
			r.send(member, message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: view}})
		}
	}
}
