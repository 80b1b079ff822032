package replica

import (
	"net/http"

	"pumiceline/internal/message"
)

// onConfigRequest takes an operator's call: the member that the operator reached passes it on, the head decides changes
// and the tail answers reads.
func (r *Replica) onConfigRequest(m *message.Message) {
	target, ok := r.responderFor(m.ConfigRequest)
	if !ok {
		return
	}
	if target.Identity != r.control.Identity {
		if m.From == r.control.Identity {
			r.send(target, message.Message{ConfigRequest: m.ConfigRequest})
		}
		return
	}
	if len(r.link.pending) >= maxPendingRequests {
		return
	}
	for _, waiting := range r.link.pending {
		if waiting.from.Identity == m.From && waiting.request.ID == m.ConfigRequest.ID {
			return
		}
	}
	r.link.pending = append(r.link.pending, pendingRequest{from: r.sender(m), request: *m.ConfigRequest, receivedAt: r.now})
	r.dispatchPendingRequests()
}

func (r *Replica) responderFor(call *message.ConfigRequest) (message.Member, bool) {
	members := r.control.View.Members
	if len(members) == 0 {
		return message.Member{}, false
	}
	if call.Method == http.MethodGet {
		return members[len(members)-1], true
	}
	return members[0], true
}

// dispatchPendingRequests decides the waiting calls as far as it can now.
func (r *Replica) dispatchPendingRequests() {
	for len(r.link.pending) > 0 && r.link.synced && r.link.committed && r.link.inFlight == nil {
		next := r.link.pending[0]
		r.link.pending = r.link.pending[1:]
		if r.now-next.receivedAt > requestTimeout {
			continue
		}
		if next.request.Method == http.MethodGet {
			r.answerRead(next)
		} else {
			r.processChange(next)
		}
	}
}

// answerRead answers with the state of the tail once a majority has confirmed that the view is the newest.
func (r *Replica) answerRead(call pendingRequest) {
	if !r.isTail() {
		return
	}
	r.whenViewConfirmed(func() {
		if r.link.committed {
			r.respond(call, http.StatusOK, r.chain.Document)
		}
	})
}

func (r *Replica) processChange(call pendingRequest) {
	if !r.isHead() || !r.isDurable() {
		return // its relay asks again
	}
	decision := r.validate(&r.chain, &call.request)
	switch {
	case decision.Apply:
		record := newRecord(&r.chain, decision.Change, decision.Document, r.control.View.Number)
		if r.applyChange(record) != nil {
			return // it is larger than it may be, which the judge refuses
		}
		r.link.inFlight = &call
		r.forwardToSuccessor(&message.Replicate{Change: record, Sequence: r.chain.Sequence, Digest: r.chain.Digest})
	case decision.Status == 0: // its relay asks again
	case decision.Status == http.StatusOK:
		// What is settled in this view is held by every complete member, so it is there in every later view too: no
		// majority has to be asked.
		r.respond(call, decision.Status, decision.Body)
	default:
		// A head that was replaced without knowing it must refuse nothing.
		r.whenViewConfirmed(func() { r.respond(call, decision.Status, decision.Body) })
	}
}

// acknowledgeChange acknowledges the change that has settled.
func (r *Replica) acknowledgeChange() {
	if r.link.inFlight == nil {
		return
	}
	call := *r.link.inFlight
	r.link.inFlight = nil
	r.respond(call, http.StatusOK, nil)
}

func (r *Replica) respond(call pendingRequest, status int, body []byte) {
	result := &message.ConfigResponse{ID: call.request.ID, Status: status, Body: body}
	r.send(call.from, message.Message{ConfigResponse: result})
}
