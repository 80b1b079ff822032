package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// deadlineSlack is added to the request's deadline, so that a backend's own response at the deadline still arrives.
	deadlineSlack = 50 * time.Millisecond
	// maxInlineWrite is the size in bytes up to which a request fits into the socket's send buffer, so that writing it
	// does not wait for the backend to read.
	maxInlineWrite = 8 << 10
	// maxSkippedResponses bounds how many responses to other requests are skipped before the awaited one.
	maxSkippedResponses = 4
	// maxSkippedBody bounds the body of such a response in bytes.
	maxSkippedBody = 1 << 20
)

// Do sends a request and waits for the headers of its response. The request is written once, on one connection, and
// never again after an error. When ctx ends, the connection is closed, also while the body is read. Errors are of type
// *Error.
func (p *Pool) Do(ctx context.Context, request *Request) (*Response, error) {
	c, err := p.acquire(ctx, request)
	if err != nil {
		return nil, &Error{Phase: NotSent, cause: err}
	}
	c.lastRequest = request.ID
	detachContext := context.AfterFunc(ctx, func() { c.Close() })
	_ = c.SetDeadline(request.Deadline.Add(deadlineSlack)) // where it fails, reading fails too
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
	requestWritten bool // false: the response came before the whole request was written
}

// roundTrip writes a request and reads the headers of its response. A backend may respond before it has read a long
// request, and would wait for the proxy to read while the proxy waits for it: so a long request is written by a
// goroutine of its own, which ends with the connection at the latest. Errors are of type *Error.
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
			return responseHead{raw, false}, nil // the connection is not used again
		}
	}
	c.Close() // it ends the writer
	if writeErr := <-written; writeErr != nil {
		return responseHead{}, writeErr
	}
	return responseHead{}, readError(err)
}

// writeRequest writes a request; its error says whether a part of it may have arrived.
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

// readHead reads up to the headers of the response to request id. It skips informational responses, and responses to
// earlier requests on the connection.
func readHead(c *conn, id string) (*http.Response, error) {
	for range maxSkippedResponses {
		response, err := http.ReadResponse(c.reader, nil)
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

// skipBody reads the body of a response to another request.
func skipBody(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("a response to another request has no end")
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
