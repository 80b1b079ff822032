// Package backend sends requests to backends. A Pool manages the connections, runs one exchange of request and response
// at a time on each, and reports the outcome of each exchange.
//
// backend.go has the types of an exchange; pool.go the Pool and its backends, connection.go the connections and their
// reuse; exchange.go the steps of an exchange, request.go the writing of a request, response.go the reading of a
// response, stream.go the streaming of a response that is too large to be buffered; loadpoll.go and loadreport.go the
// load that backends report.
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
	// MaxBufferedBody is the size of the largest body that is buffered. A buffered response is served only if it is
	// complete; a buffered request can be sent again in a retry. Larger bodies are streamed.
	MaxBufferedBody = 64 << 10
	// MaxStreamedBody is the size of the largest body of a request or response.
	MaxStreamedBody = 32 << 20
)

// ErrBodyTooLarge is the error of a body over MaxStreamedBody.
var ErrBodyTooLarge = fmt.Errorf("the body is longer than %d bytes", int64(MaxStreamedBody))

// Attempt is a request to send, with the conditions under which it may be sent.
type Attempt struct {
	// Request is the client's request; its body is ignored, its context is the client's.
	Request *http.Request
	Body    Body
	// WriteBy is the deadline for writing the request, without the streamed part of its body. Backends keep idempotency
	// keys for a limited time: a retry written after that could be executed a second time. Zero: no deadline.
	WriteBy time.Time
	// ClientDisconnected reports whether the client has disconnected, where its context may be canceled later than the
	// disconnect. nil: the context alone is checked.
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

// exchangeError is an error that ends an attempt, with the attempt's outcome.
type exchangeError struct {
	outcome      policy.Outcome
	cause        error
	connReusable bool // nothing was written: the connection can be used for another request
}

func (e *exchangeError) Error() string { return e.cause.Error() }
func (e *exchangeError) Unwrap() error { return e.cause }

// leavesConnReusable reports whether the connection can be used for another request after err.
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
