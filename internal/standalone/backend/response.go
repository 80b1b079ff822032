package backend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"pumiceline/internal/httpframing"
)

const (
	// maxHeadBytes bounds a response's head, including the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the number of interim (1xx) responses.
	maxInterimResponses = 5
	// maxPreallocatedBytes is the most memory that is reserved for a body because of its Content-Length alone.
	maxPreallocatedBytes = 64 << 10
	// streamDelay is how long the proxy buffers a response whose length is known to be over MaxBufferedBody before it
	// forwards the part that has arrived. A response that fills the buffer sooner is forwarded at once.
	streamDelay = 150 * time.Millisecond
	// streamBeforeDeadline is how long before the attempt's deadline the proxy forwards the part of a response of unknown
	// length that has arrived. Until then the response may turn out to be small enough to be buffered.
	streamBeforeDeadline = 10 * time.Millisecond
)

var (
	errErrorTooLong = errors.New("an error response is too long to be buffered")
	errAmbiguousEnd = errors.New("the response has ambiguous framing: its end can be determined in two ways")
)

// receivedResponse is a response that has been read completely, or far enough to know that it has to be streamed.
type receivedResponse struct {
	status   int
	response *Response
	reusable bool // the connection can be used again
}

// readResponse reads one response. A response over the limits and a truncated one are errors. deadline is when the
// attempt ends.
func (c *conn) readResponse(p *Pool, req *http.Request, deadline time.Time) (receivedResponse, error) {
	c.limit.N = maxHeadBytes + MaxBufferedBody
	c.source.scanner = httpframing.Scanner{}
	resp, err := c.readHead(req)
	if err != nil {
		return receivedResponse{}, err
	}
	// The body is never closed: Close would read on to the end of the body, which may never arrive.
	switch {
	case resp.ContentLength > MaxStreamedBody: // rejected now: reading up to the limit first could take minutes
		return receivedResponse{}, ErrBodyTooLarge
	case resp.ContentLength >= 0 && resp.ContentLength <= MaxBufferedBody:
		return c.readBuffered(resp)
	}
	return c.readStream(p, resp, deadline)
}

// readHead reads a final response's head, and discards interim responses before it.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for interim := int32(0); ; interim++ {
		resp, err := http.ReadResponse(c.reader, req)
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols || resp.StatusCode < 200 && interim == maxInterimResponses:
			return nil, fmt.Errorf("response with status %d", resp.StatusCode)
		case resp.StatusCode < 200:
			continue
		case c.source.scanner.AmbiguousHead == interim+1:
			return nil, errAmbiguousEnd
		}
		return resp, nil
	}
}

// readBuffered reads and buffers a response whose length is known.
func (c *conn) readBuffered(resp *http.Response) (receivedResponse, error) {
	var body bytes.Buffer
	if n := min(resp.ContentLength, maxPreallocatedBytes); n > 0 {
		body.Grow(int(n) + bytes.MinRead)
	}
	if _, err := body.ReadFrom(resp.Body); err != nil {
		return receivedResponse{}, err
	}
	return receivedResponse{
		status:   resp.StatusCode,
		response: &Response{Header: resp.Header, Length: resp.ContentLength, Body: body.Bytes()},
		reusable: !resp.Close && c.reader.Buffered() == 0,
	}, nil
}

// readStream reads a response that is large, or of unknown length, until it is clear whether it has to be streamed. A
// response of unknown length that turns out to be small is buffered.
func (c *conn) readStream(p *Pool, resp *http.Response, deadline time.Time) (receivedResponse, error) {
	// A body that is delimited by the connection's end is complete if the connection is closed and not reset: if a backend
	// process ends unexpectedly, its kernel resets the connections.
	endsWithConn := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	canReuse := func() bool { return !resp.Close && !endsWithConn && c.reader.Buffered() == 0 }
	c.limit.N = math.MaxInt64 // the stream enforces its own limit, MaxStreamedBody
	s := newStream(p, c, resp.Body, canReuse)
	streamFrom := time.Now().Add(streamDelay)
	if resp.ContentLength < 0 { // a response that turns out to be small is served only if it is complete
		streamFrom = deadline.Add(-streamBeforeDeadline)
	}
	wake := time.AfterFunc(time.Until(streamFrom), s.wake)
	defer wake.Stop()
	_, err := s.waitBuffered(func(have int) bool { return have > 0 && !time.Now().Before(streamFrom) })
	response := &Response{Header: resp.Header, Length: resp.ContentLength}
	switch {
	case err == io.EOF:
		response.Body = s.bytes()
		return receivedResponse{status: resp.StatusCode, response: response, reusable: canReuse()}, nil
	case err != nil: // nothing has been forwarded yet, so that another attempt can be made
		return receivedResponse{}, err
	case resp.StatusCode != http.StatusOK:
		s.abandon()
		return receivedResponse{}, errErrorTooLong
	}
	response.Stream = s
	return receivedResponse{status: resp.StatusCode, response: response}, nil
}
