package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"pumiceline/internal/fake/fakesystem"
)

const statusOK = http.StatusOK

// Times of a client's connection.
const (
	dialTimeout        = time.Second
	clientTimeoutSlack = time.Second // a client gives up this long after clientTimeout
)

// maxHeadBytes is the maximum size of the head of a response.
const maxHeadBytes = 16 << 10

// Numbers of output tokens of streams, in turn. A stream has one event for each token.
var streamTokens = []int{10, 40, 10, 150}

// streamModels are the models that streams use, in turn; small/a1 is an adapter.
var streamModels = []string{"small", "large", "small/a1"}

// call is a request to send.
type call struct {
	id     string
	kind   RequestKind
	model  string // streams only
	tokens int    // output tokens, streams only
}

// newCall returns the request with a number of a client. Two of four requests are streams.
func newCall(connection string, number int) call {
	c := call{id: fmt.Sprintf("%s-%d", connection, number), kind: KindStream}
	switch number % 4 {
	case 1:
		c.kind = KindDocument
	case 3:
		c.kind = KindReadOnly
	default:
		c.model = streamModels[number/2%len(streamModels)]
		c.tokens = streamTokens[number/2%len(streamTokens)]
	}
	return c
}

// text returns the request as it is sent.
func (c call) text() string {
	const body = "text"
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTime-Left-Ms: %d\r\nContent-Length: %d\r\n", c.kind,
		requestHost, c.id, clientTimeout.Milliseconds(), len(body))
	if c.kind == KindStream {
		fmt.Fprintf(&b, "Model: %s\r\nToken-Count: 300,%d\r\n", c.model, c.tokens)
	}
	b.WriteString("\r\n" + body)
	return b.String()
}

// exchange is the outcome of a call.
type exchange struct {
	outcome Outcome
	sentAt  Moment
	status  int
	problem string
	closes  bool // the response has "Connection: close"
}

// connection is a client's connection to a proxy.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	now    func() Moment
}

func dial(address string, now func() Moment) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return newConnection(conn, now), nil
}

func newConnection(conn net.Conn, now func() Moment) *connection {
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, maxHeadBytes), now: now}
}

// waitIdle waits on an idle connection. It reports whether the connection is still open and without bytes to read, and
// whether bytes arrived without a request.
func (c *connection) waitIdle(duration time.Duration) (isOpen, hasBytes bool) {
	_ = c.conn.SetReadDeadline(time.Now().Add(duration)) // if the connection is closed, Peek reports it
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded), err == nil
}

// do sends a request and reads its response.
func (c *connection) do(request call) exchange {
	_ = c.conn.SetDeadline(time.Now().Add(clientTimeout + clientTimeoutSlack))
	if _, err := io.WriteString(c.conn, request.text()); err != nil {
		return exchange{outcome: OutcomeUnsent, sentAt: c.now()}
	}
	result := exchange{sentAt: c.now()}
	if err := c.awaitHead(); err != nil {
		return result.broken(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return result.broken(err)
	}
	defer response.Body.Close()
	result.status, result.closes = response.StatusCode, response.Close
	body, err := io.ReadAll(response.Body)
	result.problem = inspectResponse(request, response, string(body), err == nil)
	if err != nil {
		return result.broken(err)
	}
	result.outcome = OutcomeComplete
	return result
}

// awaitHead waits for the complete head of a response, so that a truncated head is not mistaken for a malformed one.
func (c *connection) awaitHead() error {
	for size := 1; ; size = c.reader.Buffered() + 1 {
		if _, err := c.reader.Peek(size); err != nil {
			return err
		}
		head, err := c.reader.Peek(c.reader.Buffered())
		if err != nil || bytes.Contains(head, []byte("\r\n\r\n")) {
			return err
		}
	}
}

// broken completes an exchange whose response could not be read.
func (e exchange) broken(err error) exchange {
	var network net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.outcome = OutcomeGivenUp
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
		e.outcome = OutcomeCut
	default:
		e.outcome, e.problem = OutcomeCut, "bytes that are no response: "+err.Error()
	}
	return e
}

// inspectResponse describes the fault in a response; empty: none. A truncated body is checked as far as it was
// received.
func inspectResponse(request call, response *http.Response, body string, isComplete bool) string {
	id, seal := response.Header.Get("Request-Id"), response.Header.Get("Server-Seal")
	switch {
	case seal != "" && seal != fakesystem.Seal(request.id) || id != "" && id != request.id:
		return fmt.Sprintf("the response is that of %q, %q", id, seal)
	case response.StatusCode != statusOK && seal != "":
		return fmt.Sprintf("status %d with the seal of a success", response.StatusCode)
	case response.StatusCode != statusOK:
		return ""
	case seal == "" || id == "":
		return "a success without seal or id"
	case request.kind == KindStream:
		return inspectStream(body, request.tokens, isComplete)
	case isComplete && !strings.HasPrefix(body, fakesystem.ResponsePrefix):
		return fmt.Sprintf("a success with the body %q", body)
	}
	return ""
}

// inspectStream checks that the body is a prefix of the events that the backend sends, and all of them if it is
// complete.
func inspectStream(body string, events int, isComplete bool) string {
	var expected strings.Builder
	for event := 1; event <= events; event++ {
		fmt.Fprintf(&expected, "id: %d\ndata: word %d\n\n", event, event)
	}
	switch {
	case !strings.HasPrefix(expected.String(), body):
		return fmt.Sprintf("a stream of %d events whose %d bytes are not the backend's", events, len(body))
	case isComplete && len(body) != expected.Len():
		return fmt.Sprintf("a stream of %d events that ends as complete after %d bytes of %d", events, len(body),
			expected.Len())
	}
	return ""
}
