package replica

import (
	"time"

	"pumiceline/internal/message"
)

// confirmations lets effects wait until a majority has said that the view is the newest. One round serves all that
// waited when it began.
type confirmations struct {
	round   uint64
	running []func()
	waiting []func()
	votes   map[message.MemberID]bool
	sentAt  time.Duration
	began   time.Duration

	confirmed bool          // in this view
	contact   time.Duration // when the last round that a majority answered was begun
}

// confirmTimeout ends a round that no majority answers: the callers' relays ask again.
const confirmTimeout = 1500 * time.Millisecond

// abandon drops all that waits; its round number is never used again.
func (c *confirmations) abandon() {
	c.running, c.waiting, c.votes = nil, nil, nil
	c.confirmed = false
}

// confirm runs effect when a majority has confirmed the view.
func (r *Replica) confirm(effect func()) {
	r.confirms.waiting = append(r.confirms.waiting, effect)
	if r.confirms.running == nil {
		r.beginConfirm()
	}
}

func (r *Replica) beginConfirm() {
	c := &r.confirms
	if len(c.waiting) == 0 {
		return
	}
	c.round++
	c.running, c.waiting = c.waiting, nil
	c.votes = map[message.MemberID]bool{}
	c.began = r.now
	r.sendConfirms()
}

func (r *Replica) sendConfirms() {
	r.confirms.sentAt = r.now
	for _, member := range r.control.View.EffectiveVoters() {
		if !r.confirms.votes[member.Identity] {
			r.send(member, message.Message{ConfirmRequest: &message.ConfirmRequest{RequestID: r.confirms.round}})
		}
	}
}

func (r *Replica) onConfirm(m *message.Message) {
	if m.View != r.control.View.Number || !r.isVoter() {
		return
	}
	// Nothing has to be on disk for it: an acceptance that is not yet synced has not been told to anyone either.
	confirmed := &message.ConfirmResponse{RequestID: m.ConfirmRequest.RequestID, Rejected: r.control.AcceptedView.Number != 0}
	r.send(r.sender(m), message.Message{ConfirmResponse: confirmed})
}

func (r *Replica) onConfirmed(m *message.Message) {
	c := &r.confirms
	if m.View != r.control.View.Number || c.running == nil || m.ConfirmResponse.RequestID != c.round || m.ConfirmResponse.Rejected {
		return
	}
	if !r.isVoterOf(m.From) {
		return
	}
	c.votes[m.From] = true
	if len(c.votes) < r.majority() {
		return
	}
	c.confirmed, c.contact = true, c.began
	effects := c.running
	c.running = nil
	for _, effect := range effects {
		effect()
	}
	r.beginConfirm()
}

func (r *Replica) tickConfirms() {
	c := &r.confirms
	if c.running == nil {
		if r.IsMember() && r.now-c.began >= contactInterval {
			r.confirm(func() {})
		}
		return
	}
	if r.now-c.began > confirmTimeout {
		c.running = nil
		r.beginConfirm()
		return
	}
	if r.now-c.sentAt >= confirmResend {
		r.sendConfirms()
	}
}
