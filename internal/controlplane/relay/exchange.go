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
	last      *request    // that was sent last
	next      *time.Timer // when somebody is asked again
	declined  bool        // the last one asked has declined, and a voter is to be asked next
	resends   int         // of a watch
}

// request is what one target was asked. It is sent again, with the same ID, until the target declines.
type request struct {
	id       uint64
	target   message.Member
	sentAt   time.Time // the last time
	sent     int       // how often
	declined bool      // the target said that it is not the issuer and did nothing
}

// isVoid reports whether nothing was done by the request and never will be. A target that declined after the request was
// sent to it several times said so of one of them only.
func (q *request) isVoid() bool { return q.declined && q.sent == 1 }

func newExchange(r *Relay, call message.Call) *exchange {
	e := &exchange{relay: r, call: call, start: time.Now(), responses: make(chan *message.Message, responseQueueLength)}
	e.next = time.NewTimer(e.silence())
	return e
}

// close ends the exchange: later responses are dropped.
func (e *exchange) close() {
	e.next.Stop()
	for _, q := range e.requests {
		e.relay.unregister(q.id)
	}
}

// run asks until there is an answer or time is up.
func (e *exchange) run(ctx context.Context) (message.Answer, error) {
	deadline := time.NewTimer(e.timeout())
	defer deadline.Stop()
	hintChanged := e.relay.hint.nextChange()
	e.askFirst()
	for {
		select {
		case m := <-e.responses:
			if answer := m.CallResponse.Answer; answer != nil {
				e.learnAnswerer(m)
				return *answer, nil
			}
			e.handleDeclined(m)
		case <-hintChanged:
			hintChanged = e.relay.hint.nextChange()
			e.followHint()
		case <-e.next.C:
			e.askNext()
		case <-deadline.C:
			return message.Answer{}, e.outcome()
		case <-ctx.Done():
			return message.Answer{}, e.outcome()
		}
	}
}

func (e *exchange) isWatch() bool { return e.call.Kind == message.CallWatch }

// silence is how long to wait for the targets that were asked.
func (e *exchange) silence() time.Duration {
	if e.isWatch() {
		return watchResendInterval
	}
	return callSilence
}

func (e *exchange) timeout() time.Duration {
	return callTimeout + time.Duration(e.call.WaitMs)*time.Millisecond
}

// outcome is the error of a call without an answer.
func (e *exchange) outcome() error {
	if !e.isWatch() && lo.EveryBy(e.requests, (*request).isVoid) {
		return coordinationapi.ErrNotExecuted
	}
	return coordinationapi.ErrOutcomeUnknown
}

// handleDeclined takes a response without an answer: it is followed to the issuer that it names.
func (e *exchange) handleDeclined(m *message.Message) {
	asked, ok := lo.Find(e.requests, func(q *request) bool { return q.id == m.CallResponse.ID })
	if !ok {
		return
	}
	asked.declined = true
	issuer := m.CallResponse.Issuer
	if isKnown(issuer) {
		e.relay.hint.learn(issuer)
	} else {
		e.relay.hint.forget(asked.target.Identity)
	}
	switch {
	case isKnown(issuer) && issuer.Identity != asked.target.Identity && !e.isAskedWithin(minRepeatInterval, issuer):
		e.ask(issuer)
	case e.isWatch() && e.hasOpenRequest():
		// the issuer that was asked may keep the watch
	case asked == e.last:
		e.declined = true
		e.next.Reset(declinedDelay)
	}
}

// learnAnswerer keeps in mind that the sender of an answer is the issuer.
func (e *exchange) learnAnswerer(m *message.Message) {
	if asked, ok := lo.Find(e.requests, func(q *request) bool { return q.id == m.CallResponse.ID }); ok {
		e.relay.hint.learn(asked.target)
	}
}

// ask sends the call to a target, and waits for it. A target that has not declined gets the request that it had. Where no
// time is left for an answer nothing is sent: it would only leave the outcome open.
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
	e.next.Reset(e.silence())
}

// remainingCall is the call with what is left of its waiting time.
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
