package replica

import (
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// proposal is this member's proposal for the next view, as a proposer of Paxos.
type proposal struct {
	active         bool
	number         message.ProposalNumber
	value          message.View
	revocable      bool // the value came from nextView; the proposal is abandoned if nextView no longer returns it
	accepting      bool // phase 2 has begun: Accept was sent
	promises       map[message.MemberID]bool
	acceptances    map[message.MemberID]bool
	acceptedNumber message.ProposalNumber // the highest number of an accepted proposal in the promises
	startedAt      time.Duration
	highestCounter uint64 // highest counter of all proposal numbers seen
}

// isFirstProposer reports whether no member before this one in the chain may propose.
func (r *Replica) isFirstProposer() bool { return r.proposerRank() == 0 }

// proposerRank returns how many members before this one in the chain may propose.
func (r *Replica) proposerRank() int {
	suspected := r.suspectedMembers()
	rank := 0
	for _, member := range r.control.View.Members {
		if r.isSelf(member) {
			return rank
		}
		if !lo.Contains(suspected, member.Identity) && r.isComplete(member) && !r.isLeaving(member) {
			rank++
		}
	}
	return rank
}

// canPropose reports whether this member may start a proposal. It must be complete, so that it can be the head of the
// chain that it proposes. It waits for minViewAge, to learn which others are complete, and after a pause of its process
// for suspicionTimeout, to learn which others are alive.
func (r *Replica) canPropose() bool {
	if resumed := r.detector.resumedAt; resumed.known && r.now-resumed.at < suspicionTimeout {
		return false
	}
	return r.IsMember() && r.now-r.viewEnteredAt >= minViewAge && r.control.Complete && !r.leaving && !r.diskStalled
}

// tickProposal starts a proposal if a view change has been wanted, or an accepted view undecided, for long enough.
func (r *Replica) tickProposal() {
	wantedSince := &r.timers.viewChangeWantedSince
	if !r.canPropose() {
		*wantedSince = instant{}
		return
	}
	value, isWanted := r.nextView()
	isUndecided := r.control.AcceptedView.Number != 0
	if !isWanted && !isUndecided {
		*wantedSince = instant{}
		return
	}
	if !wantedSince.known {
		*wantedSince = instantAt(r.now)
	}
	delay := r.proposalDelay()
	if !isWanted {
		value = r.control.AcceptedView
		delay += acceptedViewTimeout
	}
	if r.now-wantedSince.at < delay || r.proposal.active && r.now-r.proposal.startedAt < proposalTimeout {
		return
	}
	r.prepare(value)
	r.proposal.revocable = isWanted
}

// proposalDelay returns how long this member waits for higher-ranked members to propose first.
func (r *Replica) proposalDelay() time.Duration {
	delay := time.Duration(r.proposerRank()) * proposalRankDelay
	if r.options.Diskless && r.hasDurablePeer() {
		delay += disklessProposalDelay
	}
	return delay
}

// hasDurablePeer reports whether another member that has a disk may propose.
func (r *Replica) hasDurablePeer() bool {
	suspected := r.suspectedMembers()
	return lo.ContainsBy(r.control.View.Members, func(m message.Member) bool {
		return r.detector.lookup(m.Identity).disk == diskPresent && r.isComplete(m) && !lo.Contains(suspected, m.Identity)
	})
}

// prepare starts phase 1 with a number above all numbers seen. This member's own promise is synced before the number is
// sent. Otherwise the proposer could restart after sending the number and use it again for another value.
func (r *Replica) prepare(value message.View) {
	counter := max(r.proposal.highestCounter, r.control.HighestProposal.Counter) + 1
	r.proposal = proposal{
		active: true, value: value, startedAt: r.now, highestCounter: counter,
		number:   message.ProposalNumber{Counter: counter, Proposer: r.control.Identity},
		promises: map[message.MemberID]bool{}, acceptances: map[message.MemberID]bool{},
	}
	r.control.HighestProposal = r.proposal.number
	r.output.controlDirty = true
	for _, voter := range r.control.View.EffectiveVoters() {
		r.sendAfterSync(voter, message.Message{Prepare: &message.Prepare{Proposal: r.proposal.number}})
	}
}

// onPrepareResponse counts the promises. If promises contain accepted proposals, the value of the one with the highest
// number replaces this member's own value, as it may have been decided already. With a majority of promises phase 2
// begins.
func (r *Replica) onPrepareResponse(m *message.Message) {
	p, response := &r.proposal, m.PrepareResponse
	if !r.isResponseFromVoter(m, response.Proposal) || p.accepting {
		return
	}
	if response.Rejected {
		p.highestCounter = max(p.highestCounter, response.HighestProposal.Counter)
		return
	}
	p.promises[m.From] = true
	if response.AcceptedView.Number != 0 && !response.AcceptedProposal.Less(p.acceptedNumber) {
		p.acceptedNumber, p.value = response.AcceptedProposal, response.AcceptedView
	}
	if len(p.promises) < r.quorumSize() {
		return
	}
	if p.revocable && p.acceptedNumber.Counter == 0 && !r.isStillWanted(p.value) {
		p.active = false
		return
	}
	p.accepting = true
	for _, voter := range r.control.View.EffectiveVoters() {
		r.send(voter, message.Message{Accept: &message.Accept{Proposal: p.number, Value: p.value}})
	}
}

// isStillWanted reports whether the proposed view is still wanted. It may not be, for example if a suspected member has
// sent messages again since the proposal started.
func (r *Replica) isStillWanted(value message.View) bool {
	wanted, isWanted := r.nextView()
	return isWanted && sameMembers(wanted.Members, value.Members) && sameMembers(wanted.Voters, value.Voters)
}

// onAcceptResponse counts the acceptances. A majority of them decides the view.
func (r *Replica) onAcceptResponse(m *message.Message) {
	p, response := &r.proposal, m.AcceptResponse
	if !r.isResponseFromVoter(m, response.Proposal) || !p.accepting {
		return
	}
	if response.Rejected {
		p.highestCounter = max(p.highestCounter, response.HighestProposal.Counter)
		return
	}
	p.acceptances[m.From] = true
	if len(p.acceptances) >= r.quorumSize() {
		r.announceDecided(p.value)
	}
}

// isResponseFromVoter reports whether m is a voter's response to the active proposal.
func (r *Replica) isResponseFromVoter(m *message.Message, number message.ProposalNumber) bool {
	return m.View == r.control.View.Number && r.hasVote(m.From) && r.proposal.active && number == r.proposal.number
}

// announceDecided enters a decided view and announces it to the members and voters of the old and the new view.
func (r *Replica) announceDecided(view message.View) {
	recipients := membersAndVoters(r.control.View, view)
	r.enterView(view)
	for _, member := range recipients {
		if !r.isSelf(member) {
			r.announceView(member)
		}
	}
}
