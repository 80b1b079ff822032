package replica

import (
	"net/http"
	"time"

	"pumiceline/internal/message"
)

// Validator decides an operator's change on top of a state. It must be a pure function.
type Validator func(state *message.ChainState, request *message.ConfigRequest) ValidationResult

// ValidationResult is the result of validating a change on top of a state.
type ValidationResult struct {
	// Status is the HTTP status of the answer: 200 where the change is applied or was applied before, else a rejection.
	// 0 means that it cannot be decided on this state: no response is sent, and the relay repeats the request.
	Status   int
	Body     []byte
	Apply    bool // the change is to be applied; Change and Document say how
	Change   message.Change
	Document []byte
}

// pendingRequest is an operator's request that waits at the head or the tail.
type pendingRequest struct {
	from       message.Member // the member that relays it and gets the response
	request    message.ConfigRequest
	receivedAt time.Duration
}

// onConfigRequest takes an operator's request. The member that the operator reached relays it to the head, which
// decides changes, or to the tail, which answers reads; those queue it. A relay repeats its requests until it has a
// response, so any of them may be dropped.
func (r *Replica) onConfigRequest(m *message.Message) {
	target, ok := r.responderFor(m.ConfigRequest)
	if !ok {
		return
	}
	if !r.isSelf(target) {
		// Only the relay forwards. A request from another member that has an older or newer view is dropped, as members that
		// disagree on the head would send it back and forth.
		if m.From == r.control.Identity {
			r.send(target, message.Message{ConfigRequest: m.ConfigRequest})
		}
		return
	}
	if len(r.link.pending) >= maxPendingRequests || r.isPending(m) {
		return
	}
	pending := pendingRequest{from: senderOf(m), request: *m.ConfigRequest, receivedAt: r.now}
	r.link.pending = append(r.link.pending, pending)
	r.dispatchPendingRequests()
}

// isPending reports whether m repeats a request that is queued.
func (r *Replica) isPending(m *message.Message) bool {
	for _, pending := range r.link.pending {
		if pending.from.Identity == m.From && pending.request.ID == m.ConfigRequest.ID {
			return true
		}
	}
	return false
}

// responderFor returns the member that answers a request: the tail for reads, else the head.
func (r *Replica) responderFor(request *message.ConfigRequest) (message.Member, bool) {
	members := r.control.View.Members
	if len(members) == 0 {
		return message.Member{}, false
	}
	if request.Method == http.MethodGet {
		return members[len(members)-1], true
	}
	return members[0], true
}

// dispatchPendingRequests processes the queue in order. It stops while a change is in flight or the state is not
// committed.
func (r *Replica) dispatchPendingRequests() {
	for len(r.link.pending) > 0 && r.link.synced && r.link.committed && r.link.inFlight == nil {
		next := r.link.pending[0]
		r.link.pending = r.link.pending[1:]
		switch {
		case r.now-next.receivedAt > requestTimeout: // its relay does not wait for it any more
		case next.request.Method == http.MethodGet:
			r.answerRead(next)
		default:
			r.processChange(next)
		}
	}
}

// answerRead answers with the state of the tail once a majority has confirmed that the view is the newest.
func (r *Replica) answerRead(read pendingRequest) {
	if !r.isTail() {
		return
	}
	r.whenViewConfirmed(func() {
		if r.link.committed {
			r.respond(read, http.StatusOK, r.chain.Document)
		}
	})
}

// processChange validates a change at the head and replicates it where it is to be applied.
func (r *Replica) processChange(change pendingRequest) {
	if !r.isHead() || !r.IsDurable() {
		return // its relay repeats it
	}
	result := r.validate(&r.chain, &change.request)
	switch {
	case result.Apply:
		r.replicateChange(change, result)
	case result.Status == 0: // its relay repeats it
	case result.Status == http.StatusOK:
		// What is committed in this view is held by every complete member, so it is there in every later view too: no
		// majority has to be asked.
		r.respond(change, result.Status, result.Body)
	default:
		// A head that was replaced without knowing it must not reject what its successor may have accepted.
		r.whenViewConfirmed(func() { r.respond(change, result.Status, result.Body) })
	}
}

// replicateChange applies a valid change and sends it down the chain.
func (r *Replica) replicateChange(change pendingRequest, result ValidationResult) {
	record := newChangeRecord(&r.chain, result.Change, result.Document, r.control.View.Number)
	if r.applyChange(record) != nil {
		return // its document is larger than MaxDocumentBytes, which the validator should reject
	}
	r.link.inFlight = &change
	r.forwardToSuccessor(&message.Replicate{Change: record, Sequence: r.chain.Sequence, Digest: r.chain.Digest})
}

// acknowledgeChange responds to the request in flight, whose change is committed now.
func (r *Replica) acknowledgeChange() {
	if r.link.inFlight == nil {
		return
	}
	change := *r.link.inFlight
	r.link.inFlight = nil
	r.respond(change, http.StatusOK, nil)
}

func (r *Replica) respond(pending pendingRequest, status int, body []byte) {
	response := &message.ConfigResponse{ID: pending.request.ID, Status: status, Body: body}
	r.send(pending.from, message.Message{ConfigResponse: response})
}
