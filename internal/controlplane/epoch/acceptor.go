package epoch

import (
	"pumiceline/internal/message"
)

// onEpochPrepare promises to accept no write of an earlier epoch, or rejects the request if a later epoch was promised.
func (m *Member) onEpochPrepare(received *message.Message) {
	request := received.EpochPrepare
	response := &message.EpochPrepareResponse{Epoch: request.Epoch, Group: request.Group}
	if request.Epoch.Less(m.record.Promised) {
		response.Rejected, response.Promised = true, m.record.Promised
		m.send(senderOf(received), message.Message{EpochPrepareResponse: response})
		return
	}
	if request.Epoch != m.record.Promised {
		m.promise(request.Epoch)
		m.follower.awaitIssuer(m.now)
	}
	response.Promised, response.Position, response.Current = m.record.Promised, m.position, m.group
	m.sendAfterSync(senderOf(received), message.Message{EpochPrepareResponse: response})
}

// promise promises an epoch. It ends this member's own term as issuer or candidacy under an earlier epoch.
func (m *Member) promise(epoch message.Epoch) {
	m.record.Promised = epoch
	m.output.recordDirty = true
	if m.issuer != nil && m.issuer.epoch.Less(epoch) {
		m.stepDown(message.Member{})
	}
	if m.candidate != nil && m.candidate.epoch.Less(epoch) {
		m.candidate = nil
	}
}

// onStateWrite accepts an issuer's writes if this member has promised no later epoch and the writes continue from its
// own state.
func (m *Member) onStateWrite(received *message.Message) {
	write := received.StateWrite
	if write.Epoch.Less(m.record.Promised) || write.Position.Group < m.group.Number {
		m.rejectWrite(received)
		return
	}
	if m.record.Promised != write.Epoch {
		m.promise(write.Epoch)
	}
	m.follower.recordWrite(write, m.now)
	m.acceptWrite(write)
	response := &message.StateWriteResponse{
		Epoch: write.Epoch, Round: write.Round, Promised: m.record.Promised, Position: m.position, Leaving: m.leaving,
		Accepted: m.position.Epoch == write.Epoch && !m.position.Less(write.Position),
	}
	m.sendAfterSync(senderOf(received), message.Message{StateWriteResponse: response})
}

// rejectWrite tells an issuer that its epoch or its group was superseded.
func (m *Member) rejectWrite(received *message.Message) {
	write := received.StateWrite
	response := &message.StateWriteResponse{
		Epoch: write.Epoch, Round: write.Round, Promised: m.record.Promised, Position: m.position,
	}
	if write.Position.Group < m.group.Number {
		group := m.group
		response.Group = &group
	}
	m.send(senderOf(received), message.Message{StateWriteResponse: response})
}

// acceptWrite applies the writes that continue from the current position, or adopts a complete state that is newer.
func (m *Member) acceptWrite(write *message.StateWrite) {
	if write.State != nil && m.position.Less(write.State.Position) {
		m.adoptState(*write.State, false)
		m.output.stateReplaced = true
		return
	}
	for i := range write.Writes {
		step := &write.Writes[i]
		if step.Previous == m.position {
			m.applyWrite(step)
			m.output.writes = append(m.output.writes, *step)
		}
	}
}

// applyWrite applies a write whose previous position is the current one.
func (m *Member) applyWrite(write *message.CoordinationWrite) {
	for _, change := range write.Changes {
		if change.NextGroup != nil {
			m.nextGroup = change.NextGroup
			continue
		}
		m.store.Apply(m.now, change)
	}
	m.enterPosition(write)
}

// enterPosition moves to the position of a write whose changes have been applied, and to the group that it starts, if
// any.
func (m *Member) enterPosition(write *message.CoordinationWrite) {
	m.position = write.Position
	if write.Group != nil {
		m.group, m.nextGroup = *write.Group, nil
		m.learnGroup(m.group)
	}
}

// adoptState replaces the state. After a restart each lock hold starts again with its full duration, because the
// monotonic clock that measured it is lost.
func (m *Member) adoptState(state message.CoordinationState, restarted bool) {
	m.position, m.group, m.nextGroup = state.Position, state.Group, state.NextGroup
	m.learnGroup(m.group)
	m.store.Restore(m.now, state, restarted)
}

// snapshot returns the complete state.
func (m *Member) snapshot() message.CoordinationState {
	state := m.store.Snapshot(m.now)
	state.Position, state.Group, state.NextGroup = m.position, m.group, m.nextGroup
	return state
}

// learnGroup records a group that a message or a write named, if it is newer than the newest one known.
func (m *Member) learnGroup(group message.AcceptorGroup) {
	if group.Number > m.newestGroup.Number {
		m.newestGroup = group
	}
}

// onStateRequest sends the complete state to the candidate whose epoch this member promised last.
func (m *Member) onStateRequest(received *message.Message) {
	if received.StateRequest.Epoch != m.record.Promised {
		return
	}
	response := &message.StateResponse{Epoch: received.StateRequest.Epoch, State: m.snapshot()}
	m.send(senderOf(received), message.Message{StateResponse: response})
}
