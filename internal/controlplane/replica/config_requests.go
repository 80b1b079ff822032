package replica

import (
	"net/http"
	"time"

	"pumiceline/internal/message"
)

// Validator decides whether an operator's change can be applied to a state. It must be a pure function.
type Validator func(state *message.ChainState, request *message.ConfigRequest) ValidationResult

// ValidationResult is the result of validating a change against a state.
type ValidationResult struct {
	// Status is the HTTP status of the response: 200 if the change is applied or was applied before, otherwise that of a
	// rejection. 0 means that the change cannot be decided on this state: no response is sent, and the relay repeats the
	// request.
	Status   int
	Body     []byte
	Apply    bool // the change is to be applied, as Change and Document describe
	Change   message.Change
	Document []byte
}

// pendingRequest is an operator's request in the queue of the head or the tail.
type pendingRequest struct {
	from       message.Member // the member that relays it and gets the response
	request    message.ConfigRequest
	receivedAt time.Duration
}

// onConfigRequest handles an operator's request. The member that receives it from the operator is its relay. The relay
// forwards a change to the head and a read to the tail, which queue it. The relay repeats a request until it has a
// response, so any copy may be dropped.
func (r *Replica) onConfigRequest(m *message.Message) {
	target, ok := r.responderFor(m.ConfigRequest)
	if !ok {
		return
	}
	if !r.isSelf(target) {
		// Only the relay forwards a request. Members with different views may disagree on the head, and would otherwise send
		// a request back and forth.
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

// dispatchPendingRequests processes the queue in order while the state is committed and no change is in flight.
func (r *Replica) dispatchPendingRequests() {
	for len(r.link.pending) > 0 && r.link.synced && r.link.committed && r.link.inFlight == nil {
		next := r.link.pending[0]
		r.link.pending = r.link.pending[1:]
		switch {
		case r.now-next.receivedAt > requestTimeout: // the relay no longer waits for it
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

// processChange validates a change at the head, and replicates it if it is to be applied.
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
		// Every complete member holds a change that is committed in this view, so every later view contains it too. The
		// majority need not confirm the view.
		r.respond(change, result.Status, result.Body)
	default:
		// This head may have been replaced without having received the new view. It must not reject a change that the new
		// head may have accepted, so a majority must confirm the view first.
		r.whenViewConfirmed(func() { r.respond(change, result.Status, result.Body) })
	}
}

// replicateChange applies a valid change and sends it down the chain.
func (r *Replica) replicateChange(change pendingRequest, result ValidationResult) {
	record := newChangeRecord(&r.chain, result.Change, result.Document, r.control.View.Number)
	if r.applyChange(record) != nil {
		return // the document exceeds MaxDocumentBytes, which the validator should have rejected
	}
	r.link.inFlight = &change
	r.forwardToSuccessor(&message.Replicate{Change: record, Sequence: r.chain.Sequence, Digest: r.chain.Digest})
}

// acknowledgeChange responds to the request in flight once its change is committed.
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
