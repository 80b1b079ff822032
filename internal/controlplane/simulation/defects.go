package simulation

import (
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

// Defect is a fault of the program that can be planted to show that a checker finds it.
type Defect int

// The defects that can be planted.
const (
	NoDefect            Defect = iota
	AcknowledgeUnsynced        // messages that wait for a sync go out before it
	KeepIdentityOnWipe         // a member whose disk was lost comes back under its old identity, and votes
	ReadUnconfirmed            // a tail answers reads without asking a majority
	GrantTwice                 // a refused lease is taken for a granted one
	RefuseUnconfirmed          // a head refuses without asking a majority
	MinorityView               // one vote is enough for a view
	SkipMember                 // the head acknowledges without the rest of the chain
	IgnoreLeaseEnd             // a holder acts on after its lease
	ServeWithoutContact        // a coordinator hands out configurations without a majority's word
	RepeatIncarnation          // every life of a process numbers its rounds and calls from the same start
	AnswerAnyone               // an answer is given to whichever call waits
	ForgetTokens               // a restarted member has forgotten the tokens that it granted
	ClaimComplete              // a member that restarts takes its state for complete
	ShortGrants                // a grantor forgets its grant as soon as it has given it
	IgnoreBase                 // a change is taken whatever it is built on
	ForgetChanges              // a head knows no change that was taken earlier
	RefuseAhead                // a change on top of one that is under way is refused
	defectCount
)

var defectNames = map[Defect]string{
	AcknowledgeUnsynced: "acknowledge before the sync", KeepIdentityOnWipe: "an empty disk that votes",
	ReadUnconfirmed: "a read without a majority", GrantTwice: "a lease granted twice",
	RefuseUnconfirmed: "a refusal without a majority", MinorityView: "a view by a minority",
	SkipMember: "an acknowledgement without the chain", IgnoreLeaseEnd: "a holder that goes on",
	ServeWithoutContact: "configurations without a majority", RepeatIncarnation: "the same numbers in every life",
	AnswerAnyone: "an answer for any caller", ForgetTokens: "forgotten tokens",
	ClaimComplete: "an old state that leads", ShortGrants: "grants that end early", IgnoreBase: "two changes on one base",
	ForgetChanges: "forgotten changes", RefuseAhead: "a change refused that is taken later",
}

func (d Defect) String() string { return defectNames[d] }

// Defects lists all that can be planted.
func Defects() []Defect {
	return lo.Map(lo.Range(int(defectCount)-1), func(i, _ int) Defect { return Defect(i + 1) })
}

// plantReplies makes up answers that a defective program would not have waited for.
func (n *node) plantReplies(m *message.Message) {
	view := n.replica.View()
	switch {
	case n.cluster.options.Defect == GrantTwice && m.LeaseGrant != nil:
		m.LeaseGrant.Granted = true
	case n.cluster.options.Defect == MinorityView && m.PrepareResponse != nil && !m.PrepareResponse.Rejected:
		n.forge(view, func(from message.Member) message.Message {
			return message.Message{PrepareResponse: &message.PrepareResponse{Proposal: m.PrepareResponse.Proposal}}
		})
	case n.cluster.options.Defect == MinorityView && m.AcceptResponse != nil && !m.AcceptResponse.Rejected:
		n.forge(view, func(from message.Member) message.Message {
			return message.Message{AcceptResponse: &message.AcceptResponse{Proposal: m.AcceptResponse.Proposal}}
		})
	case n.confirmsAlone(view) && m.ConfirmRequest != nil && m.From == n.replica.Identity():
		n.forge(view, func(from message.Member) message.Message {
			return message.Message{ConfirmResponse: &message.ConfirmResponse{RequestID: m.ConfirmRequest.RequestID}}
		})
	case n.cluster.options.Defect == SkipMember && m.Replicate != nil && len(view.Members) > 1:
		// The head takes its successor's receipt for the whole chain's.
		n.acknowledgeEarly(m)
	}
}

// confirmsAlone reports whether the member does without a majority: a tail for reads, a head for refusals.
func (n *node) confirmsAlone(view message.View) bool {
	identity, last := n.replica.Identity(), len(view.Members)-1
	if last < 0 {
		return false
	}
	switch n.cluster.options.Defect {
	case ReadUnconfirmed:
		return view.Members[last].Identity == identity
	case RefuseUnconfirmed:
		return view.Members[0].Identity == identity && last > 0
	}
	return false
}

// forge delivers a message in the name of every other member.
func (n *node) forge(view message.View, make func(message.Member) message.Message) {
	for _, member := range view.Members {
		if member.Identity == n.replica.Identity() {
			continue
		}
		forged := make(member)
		forged.From, forged.FromAddress, forged.To, forged.View = member.Identity, member.Address, n.replica.Identity(), view.Number
		n.act(n.replica.Step(n.clock(), &forged))
	}
}

// acknowledgeEarly answers a replication before it was synced or passed on.
func (n *node) acknowledgeEarly(m *message.Message) {
	n.send(message.Message{
		From: n.replica.Identity(), FromAddress: n.address, To: m.From, ToAddress: m.FromAddress, View: m.View,
		Committed: &message.Committed{Sequence: m.Replicate.Sequence, Digest: m.Replicate.Digest},
	})
}

// plantOnDisk changes what a starting process reads.
func (n *node) plantOnDisk(control *message.ControlState) {
	switch n.cluster.options.Defect {
	case ForgetTokens:
		control.LeaseToken = 0
	case ClaimComplete:
		if control.Identity != "" && !control.Complete {
			control.Complete = true
			n.deafUntil = n.cluster.now + claimTime
		}
	}
}

// claimTime is how long a member that claims to be complete takes no state.
const claimTime = 2 * time.Second

// claimComplete restarts a member in the moment of its admission.
func (n *node) claimComplete() {
	if n.cluster.options.Defect == ClaimComplete && n.replica.IsMember() && !n.replica.IsComplete() {
		n.cluster.restart(n, restartTime, false)
	}
}

// refusesState reports whether a member that claims to be complete takes no state now.
func (n *node) refusesState(m *message.Message) bool {
	return n.cluster.now < n.deafUntil && (m.Replicate != nil || m.CatchUp != nil)
}

// grantHold is a grant that a member gave.
type grantHold struct {
	holder message.MemberID
	token  message.FencingToken
}

// forgetGrant lets a grantor take its grant for over as soon as it has given it.
func (n *node) forgetGrant(m *message.Message) {
	granted := n.lastGrant
	if n.cluster.options.Defect != ShortGrants || m.LeaseRequest == nil || granted.token == 0 || m.From != granted.holder {
		return
	}
	n.act(n.replica.Step(n.clock(), &message.Message{
		From: granted.holder, To: n.replica.Identity(), View: n.replica.View().Number,
		LeaseRelease: &message.LeaseRelease{Token: granted.token},
	}))
}

// judge puts a defective judge in the place of the real one.
func (n *node) judge(real replica.Validator) replica.Validator {
	switch n.cluster.options.Defect {
	case IgnoreBase:
		return func(state *message.ChainState, call *message.ConfigRequest) replica.ValidationResult {
			rebased := *call
			rebased.IfMatch = strconv.FormatUint(state.Version, 10)
			decision := real(state, &rebased)
			decision.Change.Digest = configuration.RequestDigest(call)
			return decision
		}
	case ForgetChanges:
		return func(state *message.ChainState, call *message.ConfigRequest) replica.ValidationResult {
			forgetful := *state
			forgetful.History = nil
			return real(&forgetful, call)
		}
	case RefuseAhead:
		return func(state *message.ChainState, call *message.ConfigRequest) replica.ValidationResult {
			decision := real(state, call)
			if decision.Status == 0 {
				decision.Status = http.StatusPreconditionFailed
			}
			return decision
		}
	}
	return real
}

// isWild reports whether the defect shows beyond the tolerance alone, or soonest there.
func (d Defect) isWild() bool {
	switch d {
	case ReadUnconfirmed, RefuseUnconfirmed, MinorityView, ServeWithoutContact, ClaimComplete:
		return true
	}
	return false
}
