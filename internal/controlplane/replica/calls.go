package replica

import (
	"net/http"

	"pumiceline/internal/message"
)

// onConfigCall takes an operator's call: the member that the operator reached passes it on, the head decides changes
// and the tail answers reads.
func (r *Replica) onConfigCall(m *message.Message) {
	target, ok := r.responsibleFor(m.ConfigRequest)
	if !ok {
		return
	}
	if target.Identity != r.control.Identity {
		if m.From == r.control.Identity {
			r.send(target, message.Message{ConfigRequest: m.ConfigRequest})
		}
		return
	}
	if len(r.link.calls) >= maxWaitingCalls {
		return
	}
	for _, waiting := range r.link.calls {
		if waiting.from.Identity == m.From && waiting.call.ID == m.ConfigRequest.ID {
			return
		}
	}
	r.link.calls = append(r.link.calls, waitingCall{from: r.sender(m), call: *m.ConfigRequest, arrived: r.now})
	r.serveCalls()
}

func (r *Replica) responsibleFor(call *message.ConfigRequest) (message.Member, bool) {
	members := r.control.View.Members
	if len(members) == 0 {
		return message.Member{}, false
	}
	if call.Method == http.MethodGet {
		return members[len(members)-1], true
	}
	return members[0], true
}

// serveCalls decides the waiting calls as far as it can now.
func (r *Replica) serveCalls() {
	for len(r.link.calls) > 0 && r.link.synced && r.link.settled && r.link.deciding == nil {
		next := r.link.calls[0]
		r.link.calls = r.link.calls[1:]
		if r.now-next.arrived > callLifetime {
			continue
		}
		if next.call.Method == http.MethodGet {
			r.read(next)
		} else {
			r.decide(next)
		}
	}
}

// read answers with the state of the tail once a majority has confirmed that the view is the newest.
func (r *Replica) read(call waitingCall) {
	if !r.isTail() {
		return
	}
	r.confirm(func() {
		if r.link.settled {
			r.answer(call, http.StatusOK, r.chain.Document)
		}
	})
}

func (r *Replica) decide(call waitingCall) {
	if !r.isHead() || !r.hasDurability() {
		return // its relay asks again
	}
	decision := r.judge(&r.chain, &call.call)
	switch {
	case decision.Apply:
		record := newRecord(&r.chain, decision.Change, decision.Document, r.control.View.Number)
		if r.apply(record) != nil {
			return // it is larger than it may be, which the judge refuses
		}
		r.link.deciding = &call
		r.passDown(&message.Replicate{Change: record, Sequence: r.chain.Sequence, Digest: r.chain.Digest})
	case decision.Status == 0: // its relay asks again
	case decision.Status == http.StatusOK:
		// What is settled in this view is held by every complete member, so it is there in every later view too: no
		// majority has to be asked.
		r.answer(call, decision.Status, decision.Body)
	default:
		// A head that was replaced without knowing it must refuse nothing.
		r.confirm(func() { r.answer(call, decision.Status, decision.Body) })
	}
}

// finishCurrent acknowledges the change that has settled.
func (r *Replica) finishCurrent() {
	if r.link.deciding == nil {
		return
	}
	call := *r.link.deciding
	r.link.deciding = nil
	r.answer(call, http.StatusOK, nil)
}

func (r *Replica) answer(call waitingCall, status int, body []byte) {
	result := &message.ConfigResponse{ID: call.call.ID, Status: status, Body: body}
	r.send(call.from, message.Message{ConfigResponse: result})
}
