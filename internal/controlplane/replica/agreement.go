package replica

import (
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// proposal is a round of the agreement on the next view that this member has begun.
type proposal struct {
	open      bool
	ballot    message.ProposalNumber
	value     message.View
	tentative bool // the value is what was wanted at the beginning of the round, and is given up when it no longer is
	accepting bool
	promises  map[message.MemberID]bool
	accepts   map[message.MemberID]bool
	best      message.ProposalNumber // ballot of the accepted value that value was taken from
	began     time.Duration
	highest   uint64 // highest round seen
}

// proposalDelay is how long a member waits for each one before it in the chain to propose first.
const proposalDelay = 350 * time.Millisecond

// volatileDelay is how much longer a member without a disk waits where one with a disk could propose: that one may take
// those without out in the same step.
const volatileDelay = 2 * time.Second

// hasDurablePeer reports whether another member, with a disk, could propose.
func (r *Replica) hasDurablePeer() bool {
	suspects := r.suspects()
	return lo.ContainsBy(r.control.View.Members, func(m message.Member) bool {
		return r.detector.disk[m.Identity] && r.isComplete(m) && !lo.Contains(suspects, m.Identity)
	})
}

// settleTime is how long after its start a view is not changed again.
const settleTime = 2 * heartbeatInterval

// undecidedAfter is how long an accepted value may stay undecided before another member takes it up.
const undecidedAfter = 500 * time.Millisecond

// isProposer reports whether the member is the first of those that may propose.
func (r *Replica) isProposer() bool { return r.proposerRank() == 0 }

// proposerRank is how many members that may propose stand before this one.
func (r *Replica) proposerRank() int {
	suspects := r.suspects()
	rank := 0
	for _, member := range r.control.View.Members {
		if member.Identity == r.control.Identity {
			return rank
		}
		if !lo.Contains(suspects, member.Identity) && r.isComplete(member) && !r.isGoing(member) {
			rank++
		}
	}
	return rank
}

// mayPropose reports whether the member may begin a round: it holds all that was acknowledged, so it may stand at the
// head of the chain that it proposes, and a moment after a view began it knows who else is complete. One that has stood
// still for long waits until it can tell who is silent.
func (r *Replica) mayPropose() bool {
	if r.detector.stoodStill != 0 && r.now-r.detector.stoodStill < suspectAfter {
		return false
	}
	return r.IsMember() && r.now-r.lease.viewEntered >= settleTime && r.control.Complete && !r.leaving && !r.stalled
}

func (r *Replica) tickProposal() {
	if !r.mayPropose() {
		r.detector.wantsAnother = false
		return
	}
	wanted, wants := r.wantedView()
	undecided := r.control.AcceptedView.Number != 0
	if !wants && !undecided {
		r.detector.wantsAnother = false
		return
	}
	if !r.detector.wantsAnother {
		r.detector.wantsAnother, r.detector.wantedSince = true, r.now
	}
	patience := time.Duration(r.proposerRank()) * proposalDelay
	if r.options.Volatile && r.hasDurablePeer() {
		patience += volatileDelay
	}
	if !wants {
		wanted, patience = r.control.AcceptedView, patience+undecidedAfter
	}
	if r.now-r.detector.wantedSince < patience || r.proposal.open && r.now-r.proposal.began < roundTimeout {
		return
	}
	r.beginRound(wanted)
	r.proposal.tentative = wants
}

// beginRound opens a ballot above all that were seen. The own promise is synced before anyone hears of the ballot, so
// that a restarted proposer never uses one twice.
func (r *Replica) beginRound(value message.View) {
	round := max(r.proposal.highest, r.control.HighestProposal.Counter) + 1
	r.proposal = proposal{
		open: true, value: value, began: r.now, highest: round,
		ballot:   message.ProposalNumber{Counter: round, Proposer: r.control.Identity},
		promises: map[message.MemberID]bool{}, accepts: map[message.MemberID]bool{},
	}
	r.control.HighestProposal = r.proposal.ballot
	r.controlDirty = true
	for _, member := range r.control.View.EffectiveVoters() {
		r.sendAfterSync(member, message.Message{Prepare: &message.Prepare{Proposal: r.proposal.ballot}})
	}
}

// votes reports whether the replica may vote on the view after that of m. It need not hold the state for it: the
// proposer does.
func (r *Replica) votes(m *message.Message) bool {
	return m.View == r.control.View.Number && r.isVoter() && positionOf(r.control.View, m.From) >= 0
}

func (r *Replica) onPrepare(m *message.Message) {
	if !r.votes(m) {
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

func (r *Replica) onPromise(m *message.Message) {
	p := &r.proposal
	if m.View != r.control.View.Number || !r.isVoterOf(m.From) || !p.open || p.accepting || m.PrepareResponse.Proposal != p.ballot {
		return
	}
	if m.PrepareResponse.Rejected {
		p.highest = max(p.highest, m.PrepareResponse.HighestProposal.Counter)
		return
	}
	p.promises[m.From] = true
	if m.PrepareResponse.AcceptedView.Number != 0 && !m.PrepareResponse.AcceptedProposal.Less(p.best) {
		p.best, p.value = m.PrepareResponse.AcceptedProposal, m.PrepareResponse.AcceptedView
	}
	if len(p.promises) < r.majority() {
		return
	}
	if p.tentative && p.best.Counter == 0 && !r.stillWants(p.value) {
		p.open = false
		return
	}
	p.accepting = true
	for _, member := range r.control.View.EffectiveVoters() {
		r.send(member, message.Message{Accept: &message.Accept{Proposal: p.ballot, Value: p.value}})
	}
}

// stillWants reports whether the view that a round was begun for is wanted yet: a member may have come back meanwhile.
func (r *Replica) stillWants(value message.View) bool {
	wanted, wants := r.wantedView()
	return wants && sameMembers(wanted.Members, value.Members) && sameMembers(wanted.Voters, value.Voters)
}

func (r *Replica) onAccept(m *message.Message) {
	if !r.votes(m) || m.Accept.Value.Number != r.control.View.Number+1 {
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

func (r *Replica) onAccepted(m *message.Message) {
	p := &r.proposal
	if m.View != r.control.View.Number || !r.isVoterOf(m.From) || !p.open || !p.accepting || m.AcceptResponse.Proposal != p.ballot {
		return
	}
	if m.AcceptResponse.Rejected {
		p.highest = max(p.highest, m.AcceptResponse.HighestProposal.Counter)
		return
	}
	p.accepts[m.From] = true
	if len(p.accepts) < r.majority() {
		return
	}
	r.announce(p.value)
}

// announce enters a decided view and tells everyone whom it concerns.
func (r *Replica) announce(view message.View) {
	concerned := everyone(r.control.View, view)
	r.enterView(view)
	for _, member := range concerned {
		if member.Identity != r.control.Identity {
			r.send(member, message.Message{ViewAnnouncement: &message.ViewAnnouncement{View: view}})
		}
	}
}
