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

// request is a call as it is sent.
type request struct {
	method string
	path   string        // with the query
	body   any           // nil: none
	wait   time.Duration // how long the coordinator may wait with its response, beyond silenceTimeout
	until  time.Time     // it is repeated until then; zero: as long as the client's patience lasts
}

// response is a clear answer.
type response struct {
	status int
	body   []byte
	sentAt time.Time // when the request was sent that it answers
}

// unclearError is an attempt without a clear answer.
type unclearError struct {
	isVoid bool // nothing was done and never will be
	cause  error
}

func (e *unclearError) Error() string { return e.cause.Error() }

// do sends a request to one coordinator after the other until there is a clear answer.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	body, err := encodeBody(r.body)
	if err != nil {
		return response{}, err
	}
	if r.until.IsZero() {
		r.until = time.Now().Add(c.patience)
	}
	isVoid := true
	for pause := newBackoff(); ; {
		address := c.current.Load()
		answer, unclear := c.attempt(ctx, c.addresses[address%uint64(len(c.addresses))], r, body)
		if unclear == nil {
			return answer, nil
		}
		c.current.CompareAndSwap(address, address+1) // unless another call has left it already
		isVoid = isVoid && unclear.isVoid
		delay := pause.next()
		if ctx.Err() != nil || time.Now().Add(delay).After(r.until) || ctxtime.Sleep(ctx, delay) != nil {
			return response{}, noAnswer(isVoid, r, unclear.cause)
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

func noAnswer(isVoid bool, r request, cause error) error {
	kind := ErrOutcomeUnknown
	if isVoid {
		kind = ErrNotExecuted
	}
	return fmt.Errorf("%s %s: %w: %w", r.method, r.path, kind, cause)
}

// attempt sends a request once.
func (c *Client) attempt(ctx context.Context, address string, r request, body []byte) (response, *unclearError) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+silenceTimeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(body))
	if err != nil {
		return response{}, &unclearError{isVoid: true, cause: err}
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	answer := response{sentAt: time.Now()}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, &unclearError{isVoid: isDialError(err), cause: err}
	}
	defer httpResponse.Body.Close()
	answer.status = httpResponse.StatusCode
	answer.body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	switch {
	case isNotExecuted(answer.status):
		return response{}, &unclearError{isVoid: true, cause: errors.Errorf("%s answered with %d", address, answer.status)}
	case err != nil:
		return response{}, &unclearError{cause: err}
	case !isClear(answer.status):
		return response{}, &unclearError{cause: errors.Errorf("%s answered with %d", address, answer.status)}
	}
	return answer, nil
}

// isDialError reports whether there was no connection, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// isNotExecuted reports whether a status promises that nothing was done and never will be, at this coordinator.
func isNotExecuted(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// isClear reports whether a status is an answer of the system. A 507 is: the state is as large as it may get everywhere.
func isClear(status int) bool {
	return status < http.StatusInternalServerError || status == http.StatusInsufficientStorage
}

// decode reads the body of a 200.
func (r response) decode(into any) error {
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return nil
}

// rejected is the error for a status that a call knows no other error for.
func (r response) rejected() error {
	var explanation struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(r.body, &explanation) != nil {
		explanation.Error = string(r.body)
	}
	return &RejectedError{Status: r.status, Text: explanation.Error}
}
