package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// deadlineSlack is added to the request's deadline, so that a response that the backend sends at the deadline still
	// arrives.
	deadlineSlack = 50 * time.Millisecond
	// maxInlineWrite is the size in bytes up to which a request is assumed to fit into the socket's send buffer, so
	// that writing it does not wait for the backend to read.
	maxInlineWrite = 8 << 10
	// maxResponsesRead bounds how many responses are read for one request. It includes informational responses,
	// responses to other requests, and the awaited one.
	maxResponsesRead = 4
	// maxSkippedBody bounds the body in bytes of a response to another request.
	maxSkippedBody = 1 << 20
)

// Do sends a request and waits for the headers of its response. It writes the request once, on one connection, and
// never retries it after an error. When ctx ends, the connection is closed, even while the caller reads the body.
// Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, request)
	if err != nil {
		return nil, &Error{Phase: NotSent, cause: err}
	}
	if request.IsWithdrawn != nil && request.IsWithdrawn() {
		c.Close()
		return nil, &Error{Phase: NotSent, cause: ErrWithdrawn}
	}
	c.lastRequest = request.ID
	detachContext := context.AfterFunc(ctx, func() { c.Close() })
	_ = c.SetDeadline(request.Deadline.Add(deadlineSlack)) // if it fails, reading fails too
	head, err := roundTrip(c, encode(request), request.ID)
	if err != nil {
		detachContext()
		c.Close()
		return nil, err
	}
	response := &Response{
		Status: head.raw.StatusCode, Header: head.raw.Header, Length: head.raw.ContentLength,
		pool: p, conn: c, raw: head.raw, detachContext: detachContext, backendID: request.BackendID,
		requestWritten: head.requestWritten,
	}
	response.Body = &bodyReader{response}
	return response, nil
}

// responseHead is a response whose headers have been read.
type responseHead struct {
	raw            *http.Response
	requestWritten bool // false: the response arrived before the whole request was written
}

// roundTrip writes a request and reads the headers of its response. A backend may respond before it has read a long
// request. If the proxy wrote the whole request first, it would wait for the backend to read while the backend waits
// for the proxy to read the response. So a separate goroutine writes a long request; it ends when the connection is
// closed at the latest. Errors are of type *Error.
func roundTrip(c *conn, text []byte, id string) (responseHead, error) {
	if len(text) <= maxInlineWrite {
		if err := writeRequest(c, text); err != nil {
			return responseHead{}, err
		}
		raw, err := readHead(c, id)
		return responseHead{raw, true}, readError(err)
	}
	written := make(chan error, 1)
	go func() { written <- writeRequest(c, text) }()
	raw, err := readHead(c, id)
	if err == nil {
		select {
		case writeErr := <-written:
			return responseHead{raw, writeErr == nil}, nil
		default:
			return responseHead{raw, false}, nil // the request is not written in full: the connection is not reused
		}
	}
	c.Close() // unblocks the writing goroutine
	if writeErr := <-written; writeErr != nil {
		return responseHead{}, writeErr
	}
	return responseHead{}, readError(err)
}

// writeRequest writes a request. The Phase of its error is whether a part of the request may have arrived.
func writeRequest(c *conn, text []byte) error {
	n, err := c.Write(text)
	if err == nil {
		return nil
	}
	phase := Sent
	if n == 0 {
		phase = NotSent
	}
	return &Error{Phase: phase, cause: errors.Wrap(err, "write the request")}
}

func readError(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Phase: Sent, cause: errors.Wrap(err, "read the response")}
}

// readHead reads up to the end of the headers of the response to the request with this ID. It skips informational
// responses, and responses to other requests, such as late ones to earlier requests on the connection.
func readHead(c *conn, id string) (*http.Response, error) {
	for range maxResponsesRead {
		c.headBytes.begin()
		response, err := http.ReadResponse(c.reader, nil)
		c.headBytes.end()
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(HeaderRequestID) == id {
			return response, nil
		}
		if err := skipBody(response); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("only responses to other requests")
}

// skipBody reads and drops the body of a response to another request, so that the next response can be read.
func skipBody(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("a response to another request has neither a length nor a chunked body")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBody))
	if err != nil {
		return errors.Wrap(err, "skip a response to another request")
	}
	if n == maxSkippedBody {
		return errors.New("a response to another request is too long")
	}
	return nil
}
