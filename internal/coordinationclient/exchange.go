package coordinationclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/ctxtime"
)

// request is an HTTP request to a coordinator.
type request struct {
	method string
	path   string        // with the query
	body   any           // nil: none
	wait   time.Duration // how long the coordinator may delay its response, in addition to responseTimeout
	until  time.Time     // repeated at most until then; zero: for the client's retryTimeout
}

// response is a definite answer.
type response struct {
	status int
	body   []byte
	sentAt time.Time // when the answered request was sent
}

// attemptError is the failure of an attempt without a definite answer.
type attemptError struct {
	notExecuted bool // the attempt was not executed and never will be
	cause       error
}

func (e *attemptError) Error() string { return e.cause.Error() }

// do sends a request to one coordinator after another until there is a definite answer. The error is ErrNotExecuted
// only if no attempt can have been executed.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	body, err := encodeBody(r.body)
	if err != nil {
		return response{}, err
	}
	if r.until.IsZero() {
		r.until = time.Now().Add(c.retryTimeout)
	}
	notExecuted := true
	for pause := newBackoff(); ; {
		address := c.current.Load()
		answer, failure := c.attempt(ctx, c.addresses[address%uint64(len(c.addresses))], r, body)
		if failure == nil {
			return answer, nil
		}
		c.current.CompareAndSwap(address, address+1) // unless another call has advanced it already
		notExecuted = notExecuted && failure.notExecuted
		delay := pause.next()
		if ctx.Err() != nil || time.Now().Add(delay).After(r.until) || ctxtime.Sleep(ctx, delay) != nil {
			return response{}, noAnswerError(notExecuted, r, failure.cause)
		}
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	encoded, err := json.Marshal(body)
	return encoded, errors.Wrap(err, "encode the call")
}

func noAnswerError(notExecuted bool, r request, cause error) error {
	kind := ErrOutcomeUnknown
	if notExecuted {
		kind = ErrNotExecuted
	}
	return fmt.Errorf("%s %s: %w: %w", r.method, r.path, kind, cause)
}

// attempt sends a request to one address.
func (c *Client) attempt(ctx context.Context, address string, r request, body []byte) (response, *attemptError) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+responseTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(body))
	if err != nil {
		return response{}, &attemptError{notExecuted: true, cause: err}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	answer := response{sentAt: time.Now()}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, &attemptError{notExecuted: isDialError(err), cause: err}
	}
	defer httpResponse.Body.Close()
	answer.status = httpResponse.StatusCode
	answer.body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	switch {
	case isNotExecuted(answer.status):
		return response{}, &attemptError{
			notExecuted: true, cause: errors.Errorf("%s answered with %d", address, answer.status),
		}
	case err != nil:
		return response{}, &attemptError{cause: err}
	case !isDefinite(answer.status):
		return response{}, &attemptError{cause: errors.Errorf("%s answered with %d", address, answer.status)}
	}
	return answer, nil
}

// isDialError reports whether no connection was established, so that the request was not sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isNotExecuted reports whether a status guarantees that this coordinator has not executed the request and never will.
func isNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// isDefinite reports whether a status is a definite answer. A 507 is one, although it is a 5xx: the state has reached
// its maximum size at every coordinator, so another one would give the same answer.
func isDefinite(status int) bool {
	return status < http.StatusInternalServerError || status == http.StatusInsufficientStorage
}

// decode decodes the JSON body of the response.
func (r response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return nil
}

// rejected returns the error for a status for which the call has no other error.
func (r response) rejected() error {
	var explanation struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(r.body, &explanation) != nil {
		explanation.Error = string(r.body)
	}
	return &RejectedError{Status: r.status, Text: explanation.Error}
}
