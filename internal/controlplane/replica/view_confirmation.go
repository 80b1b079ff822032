package replica

import (
	"time"

	"pumiceline/internal/message"
)

// viewConfirmation asks the voters whether the view is still the newest, as ReadIndex in Raft asks the followers
// (Ongaro's thesis, section 6.4). Confirmations from a majority show that no later view had been decided when the
// request was sent, so the member may answer reads and reject changes. One confirmation serves all callbacks that were
// waiting when it started.
type viewConfirmation struct {
	requestID     uint64   // ID of the confirmation in progress
	callbacks     []func() // run when the confirmation in progress succeeds; nil if none is in progress
	nextCallbacks []func() // for the next confirmation
	confirmedBy   map[message.MemberID]bool
	sentAt        time.Duration // when requests were last sent
	startedAt     time.Duration // start of the confirmation in progress, otherwise of the last one

	confirmed   bool          // a confirmation has succeeded in this view
	confirmedAt time.Duration // start of the last confirmation that succeeded
}

// cancel drops all callbacks, as they depend on a view that is no longer current. The request ID is not reused, so late
// responses do not match a later confirmation.
func (c *viewConfirmation) cancel() {
	c.callbacks, c.nextCallbacks, c.confirmedBy = nil, nil, nil
	c.confirmed = false
}

// whenViewConfirmed runs a callback once a majority has confirmed the view. The callback is dropped if its confirmation
// takes longer than confirmTimeout, or if another view is entered.
func (r *Replica) whenViewConfirmed(callback func()) {
	r.confirmation.nextCallbacks = append(r.confirmation.nextCallbacks, callback)
	if r.confirmation.callbacks == nil {
		r.startConfirmation()
	}
}

// startConfirmation starts a confirmation for all waiting callbacks. An earlier confirmation cannot serve them: its
// requests were sent before the callbacks were added, so it does not rule out that a view was decided in between.
func (r *Replica) startConfirmation() {
	c := &r.confirmation
	if len(c.nextCallbacks) == 0 {
		return
	}
	c.requestID++
	c.callbacks, c.nextCallbacks = c.nextCallbacks, nil
	c.confirmedBy = map[message.MemberID]bool{}
	c.startedAt = r.now
	r.sendConfirmRequests()
}

func (r *Replica) sendConfirmRequests() {
	r.confirmation.sentAt = r.now
	for _, voter := range r.control.View.EffectiveVoters() {
		if !r.confirmation.confirmedBy[voter.Identity] {
			request := &message.ConfirmRequest{RequestID: r.confirmation.requestID}
			r.send(voter, message.Message{ConfirmRequest: request})
		}
	}
}

// onConfirmRequest answers as a voter. The response need not wait for a sync: an acceptance that is not synced yet has
// not been sent either, so it has not contributed to the decision on a view.
func (r *Replica) onConfirmRequest(m *message.Message) {
	if m.View != r.control.View.Number || !r.isVoter() {
		return
	}
	hasAccepted := r.control.AcceptedView.Number != 0
	response := &message.ConfirmResponse{RequestID: m.ConfirmRequest.RequestID, Rejected: hasAccepted}
	r.send(senderOf(m), message.Message{ConfirmResponse: response})
}

func (r *Replica) onConfirmResponse(m *message.Message) {
	c, response := &r.confirmation, m.ConfirmResponse
	if m.View != r.control.View.Number || c.callbacks == nil || response.RequestID != c.requestID || response.Rejected {
		return
	}
	if !r.hasVote(m.From) {
		return
	}
	c.confirmedBy[m.From] = true
	if len(c.confirmedBy) < r.quorumSize() {
		return
	}
	c.confirmed, c.confirmedAt = true, c.startedAt
	callbacks := c.callbacks
	c.callbacks = nil
	for _, callback := range callbacks {
		callback()
	}
	r.startConfirmation()
}

// tickConfirmation repeats the requests of the confirmation in progress, or abandons it after confirmTimeout. If none
// is in progress it starts one every confirmInterval, so that the member may continue to serve proxies.
func (r *Replica) tickConfirmation() {
	c := &r.confirmation
	switch {
	case c.callbacks == nil:
		if r.IsMember() && r.now-c.startedAt >= confirmInterval {
			r.whenViewConfirmed(func() {})
		}
	case r.now-c.startedAt > confirmTimeout:
		c.callbacks = nil
		r.startConfirmation()
	case r.now-c.sentAt >= confirmRetryInterval:
		r.sendConfirmRequests()
	}
}
