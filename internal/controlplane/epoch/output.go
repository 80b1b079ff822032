package epoch

import "pumiceline/internal/message"

// Output is what a step asks the caller to do, in this order: send Immediate; store Record where it is set, and State (the
// complete state, which makes all that was stored before void) or Writes (appended to what is stored); sync; then send
// AfterSync. Outputs are carried out in the order in which they were returned.
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
	stateReplaced bool // writes do not lead to the state from what is stored
	writes        []message.CoordinationWrite
}

// takeOutput returns what was collected since the last call.
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

// sendAfterSync sends a message once all that was changed so far is on disk.
func (m *Member) sendAfterSync(to message.Member, body message.Message) {
	m.output.afterSync = append(m.output.afterSync, m.addressed(to, body))
}

func (m *Member) addressed(to message.Member, body message.Message) message.Message {
	self := m.options.Self
	body.From, body.FromAddress, body.FromZone = self.Identity, self.Address, self.Zone
	body.To, body.ToAddress = to.Identity, to.Address
	return body
}

// senderOf returns the sender of a message, as far as the message describes it.
func senderOf(received *message.Message) message.Member {
	return message.Member{Identity: received.From, Address: received.FromAddress, Zone: received.FromZone}
}
