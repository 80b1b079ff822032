package relay

import (
	"context"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

// responseQueueLength is how many responses to one call may wait to be read.
const responseQueueLength = 8

// exchange is one call from its first request to its answer. One goroutine runs it.
type exchange struct {
	relay     *Relay
	call      message.Call
	start     time.Time
	responses chan *message.Message
	requests  []*request
	last      *request    // the request that was sent last
	next      *time.Timer // fires when the next target is to be asked
	declined  bool        // the last target has declined, so a voter is asked next
	resends   int         // how often a watch was sent again
}

// request is the call as sent to one target. It is sent again with the same ID, until the target declines.
type request struct {
	id       uint64
	target   message.Member
	sentAt   time.Time // when it was sent last
	sent     int       // how often it was sent
	declined bool      // the target responded that it is not the issuer and did nothing
}

// isNotExecuted reports whether the request was certainly not executed and never will be. This is not certain if it was
// sent several times, even if its target declined: the response is to one copy, and another may have been executed.
func (q *request) isNotExecuted() bool { return q.declined && q.sent == 1 }

func newExchange(r *Relay, call message.Call) *exchange {
	e := &exchange{relay: r, call: call, start: time.Now(), responses: make(chan *message.Message, responseQueueLength)}
	e.next = time.NewTimer(e.retryInterval())
	return e
}

// close ends the exchange: later responses are dropped.
func (e *exchange) close() {
	e.next.Stop()
	for _, q := range e.requests {
		e.relay.unregister(q.id)
	}
}

// run sends requests until there is an answer, the call times out or ctx ends.
func (e *exchange) run(ctx context.Context) (message.Answer, error) {
	deadline := time.NewTimer(e.timeout())
	defer deadline.Stop()
	hintChanged := e.relay.hint.nextChange()
	e.askFirst()
	for {
		select {
		case m := <-e.responses:
			if answer := m.CallResponse.Answer; answer != nil {
				e.setHintToAnswerer(m)
				return *answer, nil
			}
			e.handleDeclined(m)
		case <-hintChanged:
			hintChanged = e.relay.hint.nextChange()
			e.followHint()
		case <-e.next.C:
			e.askNext()
		case <-deadline.C:
			return message.Answer{}, e.unansweredError()
		case <-ctx.Done():
			return message.Answer{}, e.unansweredError()
		}
	}
}

func (e *exchange) isWatch() bool { return e.call.Kind == message.CallWatch }

// retryInterval is how long to wait for a response before the next request.
func (e *exchange) retryInterval() time.Duration {
	if e.isWatch() {
		return watchResendInterval
	}
	return callRetryInterval
}

func (e *exchange) timeout() time.Duration {
	return callTimeout + time.Duration(e.call.WaitMs)*time.Millisecond
}

// unansweredError is the error of a call without an answer. For a watch it is always ErrOutcomeUnknown.
func (e *exchange) unansweredError() error {
	if !e.isWatch() && lo.EveryBy(e.requests, (*request).isNotExecuted) {
		return coordinationapi.ErrNotExecuted
	}
	return coordinationapi.ErrOutcomeUnknown
}

// handleDeclined takes a response without an answer, and asks the issuer that it names.
func (e *exchange) handleDeclined(m *message.Message) {
	asked, ok := lo.Find(e.requests, func(q *request) bool { return q.id == m.CallResponse.ID })
	if !ok {
		return
	}
	asked.declined = true
	issuer := m.CallResponse.Issuer
	if isKnown(issuer) {
		e.relay.hint.set(issuer)
	} else {
		e.relay.hint.clearIfNames(asked.target.Identity)
	}
	switch {
	case isKnown(issuer) && issuer.Identity != asked.target.Identity && !e.isAskedWithin(minRepeatInterval, issuer):
		e.ask(issuer)
	case e.isWatch() && e.hasOpenRequest():
		// no voter is asked: another target, which may be the issuer, has not declined and may hold the watch
	case asked == e.last:
		e.declined = true
		e.next.Reset(declinedDelay)
	}
}

// setHintToAnswerer sets the hint to the sender of an answer, which is the issuer.
func (e *exchange) setHintToAnswerer(m *message.Message) {
	if asked, ok := lo.Find(e.requests, func(q *request) bool { return q.id == m.CallResponse.ID }); ok {
		e.relay.hint.set(asked.target)
	}
}

// ask sends the call to a target and restarts the timer for the next one. A target that was asked before and has not
// declined gets the same request again. With less than minAnswerTime left nothing is sent: an answer would come too
// late, and a request without a response makes the outcome unknown.
func (e *exchange) ask(target message.Member) {
	if time.Since(e.start) > e.timeout()-minAnswerTime {
		return
	}
	q, ok := lo.Find(e.requests, func(q *request) bool { return q.target.Identity == target.Identity && !q.declined })
	if !ok {
		q = &request{id: e.relay.register(e.responses)}
		e.requests = append(e.requests, q)
	}
	q.target, q.sentAt, q.sent = target, time.Now(), q.sent+1
	e.last, e.declined = q, false
	e.relay.send(target, q.id, e.remainingCall())
	e.next.Reset(e.retryInterval())
}

// remainingCall returns the call with the rest of its waiting time.
func (e *exchange) remainingCall() message.Call {
	call := e.call
	call.WaitMs = max(0, call.WaitMs-time.Since(e.start).Milliseconds())
	return call
}

func (e *exchange) isAskedWithin(interval time.Duration, target message.Member) bool {
	at, ok := e.lastAsked(target.Identity)
	return ok && time.Since(at) < interval
}

// lastAsked returns when a member was asked last.
func (e *exchange) lastAsked(identity message.MemberID) (time.Time, bool) {
	asked := lo.Filter(e.requests, func(q *request, _ int) bool { return q.target.Identity == identity })
	if len(asked) == 0 {
		return time.Time{}, false
	}
	return lo.LatestBy(asked, func(q *request) time.Time { return q.sentAt }).sentAt, true
}

func (e *exchange) hasOpenRequest() bool {
	return lo.SomeBy(e.requests, func(q *request) bool { return !q.declined })
}
