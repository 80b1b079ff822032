package coordinationsim

import (
	"slices"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

const (
	// alteredOneIn is how many answers there are to one that a defect alters.
	alteredOneIn = 20
	// quickRestartTime is how long an acceptor is down that restarts after its promise.
	quickRestartTime = 20 * time.Millisecond
)

// messageFate says what becomes of a received message.
type messageFate bool

const (
	handleMessage messageFate = false
	dropMessage   messageFate = true
)

// corruptStored changes what a starting process finds on its disk.
func (n *node) corruptStored(found *epoch.Stored) {
	switch n.cluster.options.Defect {
	case ForgetPromise:
		found.Record.Promised = message.Epoch{}
	case ForgetTokens:
		forgetHolds(found)
		found.State.LastToken = 0
	case IgnoreHolds:
		forgetHolds(found)
	case ForgetNumbers:
		found.State.LastNumber = 0
		forgetChanges(found, func(change *message.CoordinationChange) bool { return change.Number > 0 })
	case ForgetHistory:
		forgetEvents(found)
	}
}

func forgetHolds(found *epoch.Stored) {
	found.State.Holds = nil
	forgetChanges(found, func(change *message.CoordinationChange) bool { return change.Hold != nil || change.Release != nil })
}

// forgetEvents drops the events of all groups, as if they were older than they are.
func forgetEvents(found *epoch.Stored) {
	newest := map[message.KeyGroup]message.Revision{}
	for i := range found.State.KeyGroups {
		group := &found.State.KeyGroups[i]
		group.History, group.Horizon = nil, group.Revision
	}
	for _, write := range found.Writes {
		for _, change := range write.Changes {
			if change.Put != nil {
				newest[groupOf(change.Put.Key)] = change.Put.Revision
			}
		}
	}
	for _, group := range groupNames {
		if newest[group] > 0 {
			last := &found.Writes[len(found.Writes)-1]
			trim := &message.HistoryTrim{Group: group, Horizon: newest[group]}
			last.Changes = append(slices.Clone(last.Changes), message.CoordinationChange{Trim: trim})
		}
	}
}

// forgetChanges drops changes from the writes that a starting process finds.
func forgetChanges(found *epoch.Stored, isForgotten func(*message.CoordinationChange) bool) {
	for i := range found.Writes {
		write := &found.Writes[i]
		var kept []message.CoordinationChange
		for _, change := range write.Changes {
			if !isForgotten(&change) {
				kept = append(kept, change)
			}
		}
		write.Changes = kept
	}
}

// alterReceived changes a message that the process receives.
func (n *node) alterReceived(m *message.Message) messageFate {
	switch n.cluster.options.Defect {
	case ForgetPromise: // of those that kept their promise the old issuer hears nothing
		response := m.StateWriteResponse
		return messageFate(response != nil && response.Epoch.Less(response.Promised))
	case DecideByMinority:
		n.multiplyResponse(m)
	case IgnoreHolds:
		if m.StateResponse != nil {
			response := *m.StateResponse
			response.State.Holds = nil
			m.StateResponse = &response
		}
	case ExpireEarly:
		if call := callOf(m); call != nil {
			call.HoldMs /= 2
		}
	case ReleaseByOldToken:
		if call := callOf(m); call != nil && call.Kind == message.CallRelease {
			call.Token = n.cluster.newestTokenOf(call.Lock)
		}
	case CountNewcomer:
		return messageFate(n.ignoresWrites && m.StateWrite != nil && n.acceptBlindly(m))
	}
	return handleMessage
}

// callOf returns a copy of the call that the message carries, which takes its place in the message.
func callOf(m *message.Message) *message.Call {
	if m.CallRequest == nil {
		return nil
	}
	request := *m.CallRequest
	m.CallRequest = &request
	return &request.Call
}

// newestTokenOf is the highest token that a caller obtained for a lock.
func (c *Cluster) newestTokenOf(lock message.LockName) (newest message.FencingToken) {
	for token := range c.locks.lock(lock).tokens {
		newest = max(newest, token)
	}
	return newest
}

// restartAfterPromise restarts an acceptor as soon as it has sent its promise, as long as there are faults.
func (n *node) restartAfterPromise(sent []message.Message) {
	if n.cluster.isHealing {
		return
	}
	for i := range sent {
		response := sent[i].EpochPrepareResponse
		if response != nil && !response.Rejected && sent[i].To != n.identity {
			n.cluster.restart(n, quickRestartTime, keepDisk)
			return
		}
	}
}

// multiplyResponse delivers the consent of one acceptor in the name of all others.
func (n *node) multiplyResponse(m *message.Message) {
	isConsent := m.StateWriteResponse != nil && m.StateWriteResponse.Accepted ||
		m.EpochPrepareResponse != nil && !m.EpochPrepareResponse.Rejected
	if !isConsent {
		return
	}
	for _, acceptor := range n.member.Status().Group.Acceptors {
		if acceptor.Identity != m.From {
			n.deliverAs(acceptor, *m)
		}
	}
}

// deliverAs delivers a message in the name of another member.
func (n *node) deliverAs(sender message.Member, m message.Message) {
	m.From, m.FromAddress, m.To = sender.Identity, sender.Address, n.identity
	n.applyOutput(n.member.Step(n.clock(), &m))
}

// acceptBlindly accepts a write without its content.
func (n *node) acceptBlindly(m *message.Message) bool {
	write := m.StateWrite
	n.send(message.Message{
		From: n.identity, To: m.From, ToAddress: m.FromAddress,
		StateWriteResponse: &message.StateWriteResponse{
			Epoch: write.Epoch, Round: write.Round, Accepted: true, Promised: write.Epoch, Position: write.Position,
		},
	})
	return true
}

// alterOutput changes what the member sends and stores.
func (n *node) alterOutput(out *epoch.Output) {
	if n.cluster.options.Defect == AcknowledgeUnsynced {
		out.Immediate = append(out.Immediate, out.AfterSync...)
		out.AfterSync = nil
	}
	for _, messages := range [][]message.Message{out.Immediate, out.AfterSync} {
		for i := range messages {
			n.consentAlone(&messages[i])
		}
	}
}

// consentAlone makes the acceptor's consent to a write, or to a question, arrive at once.
func (n *node) consentAlone(m *message.Message) {
	write := m.StateWrite
	if write == nil {
		return
	}
	isQuestion := write.State == nil && len(write.Writes) == 0
	defect := n.cluster.options.Defect
	if defect != AnswerBeforeMajority && (defect != ReadUnconfirmed || !isQuestion) {
		return
	}
	acceptor := message.Member{Identity: m.To, Address: m.ToAddress}
	forged := message.Message{StateWriteResponse: &message.StateWriteResponse{
		Epoch: write.Epoch, Round: write.Round, Accepted: true, Promised: write.Epoch, Position: write.Position,
	}}
	generation := n.generation
	n.cluster.after(localDelay, func() {
		if n.generation == generation {
			n.run(func() { n.deliverAs(acceptor, forged) })
		}
	})
}

// alterAnswer changes the answer to a call.
func (r *relay) alterAnswer(call *message.Call, answer *message.Answer) {
	c := r.node.cluster
	isDrawn := c.options.Defect != NoDefect && c.random.IntN(alteredOneIn) == 0
	isDonePut := call.Kind == message.CallPut && answer.Status == coordination.StatusOK
	switch c.options.Defect {
	case SkipEvent:
		if isDrawn && len(answer.Events) > 0 {
			answer.Events = answer.Events[1:]
		}
	case InventRevision:
		if answer.Status == coordination.StatusRevisionMismatch {
			answer.Revision++
		}
	case ShowRejected:
		if isDrawn && isDonePut {
			answer.Status, answer.Revision = coordination.StatusRevisionMismatch, answer.Revision-1
		}
	case RepeatPut:
		if isDrawn && isDonePut {
			answer.Revision++
		}
	}
}
