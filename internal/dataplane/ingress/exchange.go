package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/dataplane/backend"
	"pumiceline/internal/dataplane/balancer"
)

const (
	maxKeptBody = 4 << 20 // an answer that is no stream is read whole up to this size
	maxAttempts = 6       // attempts for one request, those that were not run included
	busyPause   = 300 * time.Millisecond
)

// exchange is one client request on its way.
type exchange struct {
	timing   timing
	handler  *Handler
	writer   http.ResponseWriter
	route    *configuration.Route
	ctx      context.Context
	request  *balancer.Request
	outgoing backend.Request
	ran      int  // backends that may have run it
	begun    bool // the head of an answer has gone to the client
}

// verdict says how an attempt leaves the exchange.
type verdict int

const (
	finished verdict = iota // the client has its answer
	again                   // another backend may be tried
	broken                  // an answer that has begun cannot be finished here
)

// run tries backends until the client has its answer.
func (x *exchange) run() {
	defer x.logTiming()
	if x.isTooLate() {
		x.refuse(departurePause, "this proxy is stopping")
		return
	}
	for range maxAttempts {
		grant, err := x.handler.dispatcher.Acquire(x.ctx, x.request)
		if err != nil {
			x.giveUp()
			return
		}
		if grant.Backend == nil {
			x.timing.choice = grant.Choice
			x.refuse(grant.RetryAfter, grant.Reason)
			return
		}
		if x.isTooLate() {
			x.handler.dispatcher.Finish(x.request, grant.Backend, balancer.Abandoned, 0)
			x.refuse(departurePause, "this proxy is stopping")
			return
		}
		x.timing.granted(x.request.Arrived, grant.Choice)
		switch x.attempt(grant) {
		case finished:
			return
		case again:
		case broken:
			if !x.route.Resumable || x.ran >= x.route.Tries {
				panic(http.ErrAbortHandler) // an answer that ends early must not look complete
			}
		}
	}
	x.refuse(busyPause, "no backend takes it")
}

// isTooLate reports whether the process ends before an answer that has not begun could.
func (x *exchange) isTooLate() bool {
	if x.begun || x.ran > 0 {
		return false
	}
	now := time.Now()
	return x.handler.departure.mustRefuse(now.Sub(x.handler.started), x.route.Kind, x.request.OutputTokens, x.request.Deadline.Sub(now))
}

// refuse ends the exchange: with a promise that it has not run, or, where it may have run, without one.
func (x *exchange) refuse(after time.Duration, reason string) {
	x.timing.refusal = reason
	switch {
	case x.begun:
		panic(http.ErrAbortHandler)
	case x.ran > 0:
		http.Error(x.writer, reason, http.StatusBadGateway)
	default:
		refuse(x.writer, after, reason)
	}
}

// giveUp ends an exchange whose client left or whose time is over.
func (x *exchange) giveUp() {
	switch {
	case x.begun:
		panic(http.ErrAbortHandler)
	case x.ran > 0:
		http.Error(x.writer, "no answer in time", http.StatusGatewayTimeout)
	default:
		refuse(x.writer, busyPause, "no backend in time")
	}
}

// attempt sends the request to one backend and passes its answer on.
func (x *exchange) attempt(grant balancer.Grant) verdict {
	target := grant.Backend
	began := time.Now()
	x.outgoing.Backend, x.outgoing.Address = grant.ID, grant.Address
	answer, err := x.handler.pool.Do(x.ctx, &x.outgoing)
	if err != nil {
		return x.afterError(target, began, err)
	}
	defer answer.Close()
	if running, waiting, _, ok := backend.ParseLoad(answer.Header.Get(backend.HeaderLoad)); ok {
		x.handler.dispatcher.Observe(target, running, waiting)
	}
	outcome := balancer.Failed
	defer func() { x.handler.dispatcher.Finish(x.request, target, outcome, time.Since(began)) }()
	if answer.IsNotRun() {
		outcome = balancer.NotRun
		if answer.Status == http.StatusMisdirectedRequest {
			outcome = balancer.NotHere
		}
		x.discard(answer)
		return again
	}
	x.ran++
	if answer.Status >= 200 && answer.Status <= 299 && x.route.Kind == configuration.Streaming {
		var result verdict
		result, outcome = x.passStream(answer, func() { x.handler.dispatcher.Began(x.request, target, time.Since(began)) })
		if outcome == balancer.Answered {
			x.handler.departure.learn(time.Since(began), x.request.OutputTokens)
		}
		return result
	}
	var result verdict
	result, outcome = x.passWhole(answer)
	return result
}

// discard reads a short answer so that its connection can be used again.
func (x *exchange) discard(answer *backend.Answer) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, 64<<10)) // a break shows when it is closed
}

func (x *exchange) afterError(target *balancer.Backend, began time.Time, err error) verdict {
	var failure *backend.Error
	sent := !errors.As(err, &failure) || failure.Phase == backend.Sent
	outcome := balancer.Failed
	switch {
	case x.ctx.Err() != nil:
		outcome = balancer.Abandoned
	case !sent:
		outcome = balancer.ConnectFailed
	}
	x.handler.dispatcher.Finish(x.request, target, outcome, time.Since(began))
	if !sent {
		return again
	}
	x.ran++
	switch {
	case x.begun:
		return broken
	case x.ctx.Err() != nil:
		x.giveUp()
		return finished
	case x.route.IsIdempotent() && x.ran < x.route.Tries:
		return again
	}
	http.Error(x.writer, "the backend broke off", http.StatusBadGateway)
	return finished
}

// passWhole passes on an answer that is read whole first.
func (x *exchange) passWhole(answer *backend.Answer) (verdict, balancer.Outcome) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxKeptBody+1))
	if err != nil || !answer.HasEnd() || len(body) > maxKeptBody {
		switch {
		case x.begun:
			return broken, balancer.Failed
		case x.ctx.Err() != nil:
			x.giveUp()
			return finished, balancer.Abandoned
		case x.route.IsIdempotent() && x.ran < x.route.Tries:
			return again, balancer.Failed
		}
		http.Error(x.writer, "the backend's answer broke off", http.StatusBadGateway)
		return finished, balancer.Failed
	}
	if x.begun {
		return broken, balancer.Failed // a stream that was to be resumed was answered with a failure
	}
	outcome := balancer.Answered
	if answer.Status >= http.StatusInternalServerError {
		outcome = balancer.Failed
		if x.route.IsIdempotent() && x.ran < x.route.Tries {
			return again, outcome
		}
	}
	x.timing.whole = outcome == balancer.Answered
	x.writeHead(answer)
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(answer.Status)
	_, _ = x.writer.Write(body) // a client that has gone reads nothing
	return finished, outcome
}

// writeHead copies the backend's headers.
func (x *exchange) writeHead(answer *backend.Answer) {
	header := x.writer.Header()
	for name, values := range forwarded(answer.Header) {
		header[name] = values
	}
	header.Del("Content-Length")
	header.Del(backend.HeaderLoad)
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // none is made up
	}
}

// passStream passes events on as they come, each whole.
func (x *exchange) passStream(answer *backend.Answer, onFirst func()) (verdict, balancer.Outcome) {
	if !x.begun {
		x.writeHead(answer)
		x.writer.WriteHeader(answer.Status)
		x.begun = true
		if err := x.flush(); err != nil {
			return finished, balancer.Abandoned
		}
	}
	var pending []byte
	buffer := make([]byte, 4<<10)
	for {
		n, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := lastEventEnd(pending); end > 0 {
			if onFirst != nil {
				onFirst()
				onFirst = nil
			}
			if !x.passEvents(pending[:end]) {
				return finished, balancer.Abandoned
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && answer.HasEnd():
			if len(pending) > 0 && !x.passEvents(pending) {
				return finished, balancer.Abandoned
			}
			x.timing.whole = true
			return finished, balancer.Answered
		case err != nil && x.ctx.Err() != nil:
			panic(http.ErrAbortHandler)
		case err != nil:
			return broken, balancer.Failed
		}
	}
}

func (x *exchange) passEvents(events []byte) bool {
	x.timing.event(x.request.Arrived)
	if id := lastEventID(events); id != "" {
		x.outgoing.LastEvent = id
	}
	if _, err := x.writer.Write(events); err != nil {
		return false
	}
	return x.flush() == nil
}

func (x *exchange) flush() error { return http.NewResponseController(x.writer).Flush() }

// lastEventEnd returns where the last whole event of text ends, 0 where there is none.
func lastEventEnd(text []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if at := bytes.LastIndex(text, mark); at >= 0 {
			end = max(end, at+len(mark))
		}
	}
	return end
}

// lastEventID returns the id of the last event that names one.
func lastEventID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if rest, ok := bytes.CutPrefix(lines[i], []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
