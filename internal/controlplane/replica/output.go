package replica

import "pumiceline/internal/message"

// Output tells the caller what to do after a step, in this order: send Immediate; write and sync Control and Chain, if
// they are set; send AfterSync. The caller must carry out outputs in the order in which they were returned.
type Output struct {
	Immediate []message.Message
	Control   *message.ControlState
	Chain     *message.ChainState
	// AppendedRecords are the changes from the previous output's chain state to Chain. If there are none, Chain must be
	// written in full.
	AppendedRecords []message.ChangeRecord
	AfterSync       []message.Message
}

// pendingOutput accumulates the output of a step.
type pendingOutput struct {
	immediate       []message.Message
	afterSync       []message.Message
	controlDirty    bool
	chainDirty      bool
	chainReplaced   bool // by a snapshot or for another view, so appendedRecords do not describe the difference
	appendedRecords []message.ChangeRecord
}

// takeOutput returns the output accumulated since the last call.
func (r *Replica) takeOutput() Output {
	pending := r.output
	r.output = pendingOutput{}
	out := Output{Immediate: pending.immediate, AfterSync: pending.afterSync}
	if pending.controlDirty {
		state := r.control
		out.Control = &state
	}
	if pending.chainDirty {
		state := r.chain
		out.Chain = &state
		if !pending.chainReplaced {
			out.AppendedRecords = pending.appendedRecords
		}
	}
	return out
}

// send sends a message at once.
func (r *Replica) send(to message.Member, m message.Message) {
	r.output.immediate = append(r.output.immediate, r.addressed(to, m))
}

// sendAfterSync sends a message once all state changes so far are synced.
func (r *Replica) sendAfterSync(to message.Member, m message.Message) {
	r.output.afterSync = append(r.output.afterSync, r.addressed(to, m))
}

// addressed returns m with its sender, receiver and view filled in.
func (r *Replica) addressed(to message.Member, m message.Message) message.Message {
	m.From, m.FromAddress, m.FromZone = r.control.Identity, r.options.Self.Address, r.options.Self.Zone
	m.View = r.control.View.Number
	m.To, m.ToAddress = to.Identity, to.Address
	return m
}

// senderOf returns the sender of a message with the fields that the message contains.
func senderOf(m *message.Message) message.Member {
	return message.Member{Identity: m.From, Address: m.FromAddress, Zone: m.FromZone}
}
