package replica

import (
	"time"

	"pumiceline/internal/message"
)

// viewConfirmation lets effects wait until a majority has said that the view is the newest. One round serves all that
// waited when it began.
type viewConfirmation struct {
	requestID   uint64
	running     []func()
	waiting     []func()
	confirmedBy map[message.MemberID]bool
	sentAt      time.Duration
	startedAt   time.Duration

	confirmed   bool          // in this view
	confirmedAt time.Duration // when the last round that a majority answered was begun
}

// confirmTimeout ends a round that no majority answers: the callers' relays ask again.
const confirmTimeout = 1500 * time.Millisecond

// abandon drops all that waits; its round number is never used again.
func (c *viewConfirmation) abandon() {
	c.running, c.waiting, c.confirmedBy = nil, nil, nil
	c.confirmed = false
}

// whenViewConfirmed runs effect when a majority has confirmed the view.
func (r *Replica) whenViewConfirmed(effect func()) {
	r.confirmation.waiting = append(r.confirmation.waiting, effect)
	if r.confirmation.running == nil {
		r.startConfirmation()
	}
}

func (r *Replica) startConfirmation() {
	c := &r.confirmation
	if len(c.waiting) == 0 {
		return
	}
	c.requestID++
	c.running, c.waiting = c.waiting, nil
	c.confirmedBy = map[message.MemberID]bool{}
	c.startedAt = r.now
	r.sendConfirmRequests()
}

func (r *Replica) sendConfirmRequests() {
	r.confirmation.sentAt = r.now
	for _, member := range r.control.View.EffectiveVoters() {
		if !r.confirmation.confirmedBy[member.Identity] {
			r.send(member, message.Message{ConfirmRequest: &message.ConfirmRequest{RequestID: r.confirmation.requestID}})
		}
	}
}

func (r *Replica) onConfirmRequest(m *message.Message) {
	if m.View != r.control.View.Number || !r.isVoter() {
		return
	}
	// Nothing has to be on disk for it: an acceptance that is not yet synced has not been told to anyone either.
	confirmed := &message.ConfirmResponse{RequestID: m.ConfirmRequest.RequestID, Rejected: r.control.AcceptedView.Number != 0}
	r.send(r.sender(m), message.Message{ConfirmResponse: confirmed})
}

func (r *Replica) onConfirmResponse(m *message.Message) {
	c := &r.confirmation
	if m.View != r.control.View.Number || c.running == nil || m.ConfirmResponse.RequestID != c.requestID || m.ConfirmResponse.Rejected {
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
	effects := c.running
	c.running = nil
	for _, effect := range effects {
		effect()
	}
	r.startConfirmation()
}

func (r *Replica) tickConfirmation() {
	c := &r.confirmation
	if c.running == nil {
		if r.IsMember() && r.now-c.startedAt >= confirmInterval {
			r.whenViewConfirmed(func() {})
		}
		return
	}
	if r.now-c.startedAt > confirmTimeout {
		c.running = nil
		r.startConfirmation()
		return
	}
	if r.now-c.sentAt >= confirmRetryInterval {
		r.sendConfirmRequests()
	}
}
