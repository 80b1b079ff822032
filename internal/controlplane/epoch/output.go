package epoch

import "pumiceline/internal/message"

// Output lists the work of the caller after a step, in this order: send Immediate; store Record if it is set, and State
// (the complete state, which replaces the stored state and writes) or Writes (appended to the stored ones); sync; then
// send AfterSync. The caller carries outputs out in the order in which they were returned.
type Output struct {
	Immediate []message.Message
	Record    *message.CoordinationRecord
	State     *message.CoordinationState
	Writes    []message.CoordinationWrite
	AfterSync []message.Message
}

// IsEmpty reports whether there is nothing to do.
func (o *Output) IsEmpty() bool {
	return len(o.Immediate) == 0 && len(o.AfterSync) == 0 && o.Record == nil && o.State == nil && len(o.Writes) == 0
}

// pendingOutput collects the output of a step.
type pendingOutput struct {
	immediate     []message.Message
	afterSync     []message.Message
	recordDirty   bool
	stateReplaced bool // the stored state and writes do not lead to the state; store it whole
	writes        []message.CoordinationWrite
}

// takeOutput returns the output collected since the last call.
func (m *Member) takeOutput() Output {
	pending := m.output
	m.output = pendingOutput{}
	out := Output{Immediate: pending.immediate, AfterSync: pending.afterSync}
	if pending.recordDirty {
		record := m.record
		out.Record = &record
	}
	if pending.stateReplaced {
		state := m.snapshot()
		out.State = &state
	} else {
		out.Writes = pending.writes
	}
	return out
}

// send sends a message at once.
func (m *Member) send(to message.Member, body message.Message) {
	m.output.immediate = append(m.output.immediate, m.addressed(to, body))
}

// sendAfterSync sends a message once all changes made so far are synced to disk.
func (m *Member) sendAfterSync(to message.Member, body message.Message) {
	m.output.afterSync = append(m.output.afterSync, m.addressed(to, body))
}

func (m *Member) addressed(to message.Member, body message.Message) message.Message {
	self := m.options.Self
	body.From, body.FromAddress, body.FromZone = self.Identity, self.Address, self.Zone
	body.To, body.ToAddress = to.Identity, to.Address
	return body
}

// senderOf returns the sender of a message, with the fields that the message has of it.
func senderOf(received *message.Message) message.Member {
	return message.Member{Identity: received.From, Address: received.FromAddress, Zone: received.FromZone}
}
