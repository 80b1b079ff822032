package simulation

import (
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

// ignoreStateTime is how long a member with the defect ClaimComplete ignores the state of others.
const ignoreStateTime = 2 * time.Second

// grant is the latest grant of the lease by a member.
type grant struct {
	holder message.MemberID
	token  message.FencingToken
}

// forgeReplies alters a received message, or delivers forged responses, so that the replica does not wait for real
// ones.
func (n *node) forgeReplies(m *message.Message) {
	view := n.replica.View()
	switch {
	case n.cluster.options.Defect == TakeRejectionAsGrant && m.LeaseGrant != nil:
		m.LeaseGrant.Granted = true
	case n.cluster.options.Defect == DecideByMinority && m.PrepareResponse != nil && !m.PrepareResponse.Rejected:
		n.deliverAsOthers(view, message.Message{
			PrepareResponse: &message.PrepareResponse{Proposal: m.PrepareResponse.Proposal},
		})
	case n.cluster.options.Defect == DecideByMinority && m.AcceptResponse != nil && !m.AcceptResponse.Rejected:
		n.deliverAsOthers(view, message.Message{
			AcceptResponse: &message.AcceptResponse{Proposal: m.AcceptResponse.Proposal},
		})
	case n.skipsMajorityConfirmation(view) && m.ConfirmRequest != nil && m.From == n.replica.Identity():
		n.deliverAsOthers(view, message.Message{
			ConfirmResponse: &message.ConfirmResponse{RequestID: m.ConfirmRequest.RequestID},
		})
	case n.cluster.options.Defect == AcknowledgeWithoutChain && m.Replicate != nil && len(view.Members) > 1:
		n.acknowledgeEarly(m)
	}
}

// skipsMajorityConfirmation reports whether the member skips the confirmation of a majority: the tail for reads, the
// head for rejections.
func (n *node) skipsMajorityConfirmation(view message.View) bool {
	identity, last := n.replica.Identity(), len(view.Members)-1
	if last < 0 {
		return false
	}
	switch n.cluster.options.Defect {
	case ReadUnconfirmed:
		return view.Members[last].Identity == identity
	case RejectUnconfirmed:
		return view.Members[0].Identity == identity && last > 0
	}
	return false
}

// deliverAsOthers delivers a message in the name of each other member.
func (n *node) deliverAsOthers(view message.View, m message.Message) {
	for _, member := range view.Members {
		if member.Identity == n.replica.Identity() {
			continue
		}
		forged := m
		forged.From, forged.FromAddress = member.Identity, member.Address
		forged.To, forged.View = n.replica.Identity(), view.Number
		n.applyOutput(n.replica.Step(n.clock(), &forged))
	}
}

// acknowledgeEarly acknowledges a replicated change to its sender before it is synced or forwarded. The head takes this
// for the acknowledgement of the whole chain.
func (n *node) acknowledgeEarly(m *message.Message) {
	n.send(message.Message{
		From: n.replica.Identity(), FromAddress: n.address, To: m.From, ToAddress: m.FromAddress, View: m.View,
		Committed: &message.Committed{Sequence: m.Replicate.Sequence, Digest: m.Replicate.Digest},
	})
}

// corruptControlState changes the state that a starting process loads from its disk.
func (n *node) corruptControlState(control *message.ControlState) {
	switch n.cluster.options.Defect {
	case LoseFencingTokens:
		control.LeaseToken = 0
	case ClaimComplete:
		if control.Identity != "" && !control.Complete {
			control.Complete = true
			n.ignoresStateUntil = n.cluster.now + ignoreStateTime
		}
	}
}

// restartOnAdmission restarts a member with the defect ClaimComplete when it has been admitted and is not complete yet.
func (n *node) restartOnAdmission() {
	if n.cluster.options.Defect == ClaimComplete && n.replica.IsMember() && !n.replica.IsComplete() {
		n.cluster.restart(n, restartTime, keepDisk)
	}
}

// ignoresState reports whether a member with the defect ClaimComplete ignores a message because it carries state.
func (n *node) ignoresState(m *message.Message) bool {
	return n.cluster.now < n.ignoresStateUntil && (m.Replicate != nil || m.CatchUp != nil)
}

// releaseGrantEarly ends a grant, for LoseGrants, as soon as the grantor has given it.
func (n *node) releaseGrantEarly(m *message.Message) {
	granted := n.lastGrant
	if n.cluster.options.Defect != LoseGrants || m.LeaseRequest == nil || granted.token == 0 || m.From != granted.holder {
		return
	}
	n.applyOutput(n.replica.Step(n.clock(), &message.Message{
		From: granted.holder, To: n.replica.Identity(), View: n.replica.View().Number,
		LeaseRelease: &message.LeaseRelease{Token: granted.token},
	}))
}

// validator returns a validator, wrapped in the planted defect where there is one.
func (n *node) validator(validate replica.Validator) replica.Validator {
	switch n.cluster.options.Defect {
	case IgnoreBase:
		return func(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
			rebased := *request
			rebased.IfMatch = strconv.FormatUint(state.Version, 10)
			result := validate(state, &rebased)
			result.Change.Digest = configuration.RequestDigest(request)
			return result
		}
	case LoseChanges:
		return func(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
			withoutHistory := *state
			withoutHistory.History = nil
			return validate(&withoutHistory, request)
		}
	case RejectPipelinedChange:
		return func(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
			result := validate(state, request)
			if result.Status == 0 {
				result.Status = http.StatusPreconditionFailed
			}
			return result
		}
	}
	return validate
}
