// Package backend talks to backends: a Pool keeps their connections, carries out one exchange at a time on each, and
// says how the exchange ended.
//
// backend.go has the types of an exchange; pool.go the Pool and the backends in it, connection.go the connections and
// their reuse; exchange.go the steps of an exchange, request.go the writing of a request, response.go the reading of
// a response, stream.go a response that is too large to be buffered; loadpoll.go and loadreport.go the backends'
// load.
package backend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

const (
	// MaxBufferedBody is the largest body that is buffered: of a response, which is then served only if it is complete,
	// and of a request, which can then be sent again. Larger bodies are streamed.
	MaxBufferedBody = 64 << 10
	// MaxStreamedBody is the largest body of a request or response.
	MaxStreamedBody = 32 << 20
)

// ErrBodyTooLarge is the error of a body over MaxStreamedBody.
var ErrBodyTooLarge = fmt.Errorf("the body is longer than %d bytes", int64(MaxStreamedBody))

// Attempt is a request that is to be sent, with the conditions under which it still may be.
type Attempt struct {
	// Request is the client's request; its body is ignored, its context is the client's.
	Request *http.Request
	Body    Body
	// WriteBy is when writing has to stop: backends remember idempotency keys for a limited time, so that a retry after
	// that could be executed twice. Zero: there is no limit.
	WriteBy time.Time
	// ClientDisconnected reports whether the client has disconnected, where its context may not know yet. nil: the
	// context knows.
	ClientDisconnected func() bool
}

// canWrite reports whether WriteBy has not passed.
func (a *Attempt) canWrite() bool { return a.WriteBy.IsZero() || time.Now().Before(a.WriteBy) }

// Body is a request's body.
type Body struct {
	Buffered []byte              // the start, which can be sent again in a retry
	Stream   *requestbody.Stream // the rest, which can be sent once; nil: Buffered is the complete body
}

// Result is how an exchange ended.
type Result struct {
	Outcome    policy.Outcome
	Response   *Response // if the Outcome is OK
	Report     []float32 // the backend's load, in the order of the report columns; nil: unknown
	BodySentAt time.Time // when the last byte of a streamed request body was written; zero for others
	Err        error     // what went wrong, for the log
}

// Response is a backend's response with status 200.
type Response struct {
	Header http.Header
	Body   []byte        // the body, of a buffered response
	Stream io.ReadCloser // the complete body, of a streamed response; it must be closed. nil: the response is buffered
	Length int64         // of a streamed response; -1: unknown
}

// exchangeError is an error with the outcome of the attempt that it ends.
type exchangeError struct {
	outcome      policy.Outcome
	cause        error
	connReusable bool // nothing was written: the connection can be used for another request
}

func (e *exchangeError) Error() string { return e.cause.Error() }
func (e *exchangeError) Unwrap() error { return e.cause }

// leavesConnReusable reports whether err left the connection as it was.
func leavesConnReusable(err error) bool {
	var e *exchangeError
	return errors.As(err, &e) && e.connReusable
}

// failedResult returns the result of an exchange that ended with err, which must be or wrap an exchangeError.
func failedResult(err error) Result {
	result := Result{Outcome: policy.ErrorResponse, Err: err}
	var e *exchangeError
	if errors.As(err, &e) {
		result.Outcome = e.outcome
	}
	return result
}
