package coordinationsim

import (
	"slices"
	"time"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

const (
	// alteredOneIn says that a defect alters one in so many answers.
	alteredOneIn = 20
	// quickRestartTime is the downtime of an acceptor that restarts after its promise.
	quickRestartTime = 20 * time.Millisecond
)

// messageFate says whether a received message is handled or dropped.
type messageFate bool

const (
	handleMessage messageFate = false
	dropMessage   messageFate = true
)

// corruptStored changes the state that a starting process loads from its disk.
func (n *node) corruptStored(found *epoch.Stored) {
	switch n.cluster.options.Defect {
	case LosePromise:
		found.Record.Promised = message.Epoch{}
	case LoseTokens:
		dropHolds(found)
		found.State.LastToken = 0
	case IgnoreHolds:
		dropHolds(found)
	case LoseNumbers:
		found.State.LastNumber = 0
		dropChanges(found, func(change *message.CoordinationChange) bool { return change.Number > 0 })
	case LoseHistory:
		dropEvents(found)
	}
}

func dropHolds(found *epoch.Stored) {
	found.State.Holds = nil
	dropChanges(found, func(change *message.CoordinationChange) bool { return change.Hold != nil || change.Release != nil })
}

// dropEvents drops the events of all groups, as if they were old enough to be trimmed.
func dropEvents(found *epoch.Stored) {
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

// dropChanges drops changes from the writes that a starting process loads.
func dropChanges(found *epoch.Stored, isDropped func(*message.CoordinationChange) bool) {
	for i := range found.Writes {
		write := &found.Writes[i]
		var kept []message.CoordinationChange
		for _, change := range write.Changes {
			if !isDropped(&change) {
				kept = append(kept, change)
			}
		}
		write.Changes = kept
	}
}

// alterReceived changes a message that the process receives.
func (n *node) alterReceived(m *message.Message) messageFate {
	switch n.cluster.options.Defect {
	case LosePromise: // the old issuer does not receive the rejections of acceptors that kept their promise
		response := m.StateWriteResponse
		return messageFate(response != nil && response.Epoch.Less(response.Promised))
	case DecideByMinority:
		n.forgeResponsesOfOthers(m)
	case IgnoreHolds:
		if m.StateResponse != nil {
			response := *m.StateResponse
			response.State.Holds = nil
			m.StateResponse = &response
		}
	case ExpireEarly:
		if call := detachCall(m); call != nil {
			call.HoldMs /= 2
		}
	case ReleaseByOldToken:
		if call := detachCall(m); call != nil && call.Kind == message.CallRelease {
			call.Token = n.cluster.newestTokenOf(call.Lock)
		}
	case AcceptWithoutState:
		return messageFate(n.ignoresWrites && m.StateWrite != nil && n.acceptWithoutApplying(m))
	}
	return handleMessage
}

// detachCall replaces the call in the message by a copy and returns the copy, nil where the message has no call.
func detachCall(m *message.Message) *message.Call {
	if m.CallRequest == nil {
		return nil
	}
	request := *m.CallRequest
	m.CallRequest = &request
	return &request.Call
}

// newestTokenOf returns the highest token that any caller obtained for a lock.
func (c *Cluster) newestTokenOf(lock message.LockName) (newest message.FencingToken) {
	for token := range c.locks.lock(lock).tokens {
		newest = max(newest, token)
	}
	return newest
}

// restartAfterPromise restarts an acceptor as soon as it has sent its promise to another member, while faults are
// injected.
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

// forgeResponsesOfOthers delivers the acceptance or promise of one acceptor again in the names of all others.
func (n *node) forgeResponsesOfOthers(m *message.Message) {
	isPositive := m.StateWriteResponse != nil && m.StateWriteResponse.Accepted ||
		m.EpochPrepareResponse != nil && !m.EpochPrepareResponse.Rejected
	if !isPositive {
		return
	}
	for _, acceptor := range n.member.Status().Group.Acceptors {
		if acceptor.Identity != m.From {
			n.deliverAs(acceptor, *m)
		}
	}
}

// deliverAs delivers a message to the process in the name of another member.
func (n *node) deliverAs(sender message.Member, m message.Message) {
	m.From, m.FromAddress, m.To = sender.Identity, sender.Address, n.identity
	n.applyOutput(n.member.Step(n.clock(), &m))
}

// acceptWithoutApplying accepts a write without storing it. It always returns true.
func (n *node) acceptWithoutApplying(m *message.Message) bool {
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
			n.forgeAcceptance(&messages[i])
		}
	}
}

// forgeAcceptance delivers a forged acceptance of a write, or of a read confirmation, at once.
func (n *node) forgeAcceptance(m *message.Message) {
	write := m.StateWrite
	if write == nil {
		return
	}
	isReadConfirmation := write.State == nil && len(write.Writes) == 0
	defect := n.cluster.options.Defect
	if defect != AnswerBeforeMajority && (defect != ReadUnconfirmed || !isReadConfirmation) {
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

// alterAnswer changes the answer to a call as the planted defect does.
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
	case RejectAppliedPut:
		if isDrawn && isDonePut {
			answer.Status, answer.Revision = coordination.StatusRevisionMismatch, answer.Revision-1
		}
	case RepeatPut:
		if isDrawn && isDonePut {
			answer.Revision++
		}
	}
}
