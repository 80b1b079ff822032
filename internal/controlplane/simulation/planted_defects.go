package simulation

import (
	"net/http"
	"strconv"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

// ignoreStateTime is how long a member that claims to be complete ignores the state of others.
const ignoreStateTime = 2 * time.Second

// grant is the latest grant of the lease that a member gave.
type grant struct {
	holder message.MemberID
	token  message.FencingToken
}

// forgeReplies delivers forged responses, so that the replica does not wait for the real ones.
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
	case n.confirmsAlone(view) && m.ConfirmRequest != nil && m.From == n.replica.Identity():
		n.deliverAsOthers(view, message.Message{
			ConfirmResponse: &message.ConfirmResponse{RequestID: m.ConfirmRequest.RequestID},
		})
	case n.cluster.options.Defect == AcknowledgeWithoutChain && m.Replicate != nil && len(view.Members) > 1:
		n.acknowledgeEarly(m)
	}
}

// confirmsAlone reports whether the member does without a majority: the tail for reads, the head for rejections.
func (n *node) confirmsAlone(view message.View) bool {
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

// acknowledgeEarly acknowledges a replicated change to the predecessor before it was synced or forwarded. The head takes
// that for the acknowledgement of the whole chain.
func (n *node) acknowledgeEarly(m *message.Message) {
	n.send(message.Message{
		From: n.replica.Identity(), FromAddress: n.address, To: m.From, ToAddress: m.FromAddress, View: m.View,
		Committed: &message.Committed{Sequence: m.Replicate.Sequence, Digest: m.Replicate.Digest},
	})
}

// corruptControlState changes what a starting process reads from its disk.
func (n *node) corruptControlState(control *message.ControlState) {
	switch n.cluster.options.Defect {
	case ForgetFencingTokens:
		control.LeaseToken = 0
	case ClaimComplete:
		if control.Identity != "" && !control.Complete {
			control.Complete = true
			n.ignoresStateUntil = n.cluster.now + ignoreStateTime
		}
	}
}

// restartOnAdmission restarts a member that claims to be complete when it has been admitted, and is not complete.
func (n *node) restartOnAdmission() {
	if n.cluster.options.Defect == ClaimComplete && n.replica.IsMember() && !n.replica.IsComplete() {
		n.cluster.restart(n, restartTime, keepDisk)
	}
}

// ignoresState reports whether a member that claims to be complete ignores a message with state.
func (n *node) ignoresState(m *message.Message) bool {
	return n.cluster.now < n.ignoresStateUntil && (m.Replicate != nil || m.CatchUp != nil)
}

// releaseGrantEarly ends a grant as soon as the grantor has given it.
func (n *node) releaseGrantEarly(m *message.Message) {
	granted := n.lastGrant
	if n.cluster.options.Defect != ForgetGrants || m.LeaseRequest == nil || granted.token == 0 || m.From != granted.holder {
		return
	}
	n.applyOutput(n.replica.Step(n.clock(), &message.Message{
		From: granted.holder, To: n.replica.Identity(), View: n.replica.View().Number,
		LeaseRelease: &message.LeaseRelease{Token: granted.token},
	}))
}

// validator returns a sound validator, or one with the planted defect around it.
func (n *node) validator(sound replica.Validator) replica.Validator {
	switch n.cluster.options.Defect {
	case IgnoreBase:
		return func(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
			rebased := *request
			rebased.IfMatch = strconv.FormatUint(state.Version, 10)
			result := sound(state, &rebased)
			result.Change.Digest = configuration.RequestDigest(request)
			return result
		}
	case ForgetChanges:
		return func(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
			forgetful := *state
			forgetful.History = nil
			return sound(&forgetful, request)
		}
	case RejectPipelinedChange:
		return func(state *message.ChainState, request *message.ConfigRequest) replica.ValidationResult {
			result := sound(state, request)
			if result.Status == 0 {
				result.Status = http.StatusPreconditionFailed
			}
			return result
		}
	}
	return sound
}
