package replica

import (
	"time"

	"pumiceline/internal/message"
)

// viewConfirmation asks the voters whether the view is still the newest, as ReadIndex of Raft asks the followers
// (Ongaro's thesis, section 6.4). A majority of confirmations shows that no later view had been decided when the
// request was sent, so the member may answer reads and reject changes. One round serves all that waited when it
// started.
type viewConfirmation struct {
	requestID   uint64   // of the round in progress
	effects     []func() // to run when the round in progress is confirmed; nil: no round is in progress
	waiting     []func() // for the next round
	confirmedBy map[message.MemberID]bool
	sentAt      time.Duration
	startedAt   time.Duration // of the round in progress, else of the last one

	confirmed   bool          // some round was confirmed in this view
	confirmedAt time.Duration // start of the last round that was confirmed
}

// cancel drops all that waits, as its view is over. The ID of the round is not used again.
func (c *viewConfirmation) cancel() {
	c.effects, c.waiting, c.confirmedBy = nil, nil, nil
	c.confirmed = false
}

// whenViewConfirmed runs effect when a majority has confirmed the view; it is dropped where none does in time.
func (r *Replica) whenViewConfirmed(effect func()) {
	r.confirmation.waiting = append(r.confirmation.waiting, effect)
	if r.confirmation.effects == nil {
		r.startConfirmation()
	}
}

// startConfirmation starts a round for all that waits.
func (r *Replica) startConfirmation() {
	c := &r.confirmation
	if len(c.waiting) == 0 {
		return
	}
	c.requestID++
	c.effects, c.waiting = c.waiting, nil
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

// onConfirmRequest answers as a voter. Nothing has to be synced for it: an acceptance that is not synced yet has not
// been sent either, so no view was decided by it.
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
	if m.View != r.control.View.Number || c.effects == nil || response.RequestID != c.requestID || response.Rejected {
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
	effects := c.effects
	c.effects = nil
	for _, effect := range effects {
		effect()
	}
	r.startConfirmation()
}

// tickConfirmation repeats the requests of the round in progress, gives it up, or, where none is in progress, keeps the
// view confirmed for the proxies.
func (r *Replica) tickConfirmation() {
	c := &r.confirmation
	switch {
	case c.effects == nil:
		if r.IsMember() && r.now-c.startedAt >= confirmInterval {
			r.whenViewConfirmed(func() {})
		}
	case r.now-c.startedAt > confirmTimeout:
		c.effects = nil
		r.startConfirmation()
	case r.now-c.sentAt >= confirmRetryInterval:
		r.sendConfirmRequests()
	}
}
