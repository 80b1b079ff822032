package backend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// Names of headers on the wire.
const (
	HeaderRequestID   = "Request-Id"
	HeaderTimeLeft    = "Time-Left-Ms"
	HeaderTarget      = "Target-Backend"
	HeaderSeal        = "Server-Seal"
	HeaderNotRun      = "Not-Run"
	HeaderLoad        = "Backend-Load"
	HeaderBackendID   = "Backend-Id"
	HeaderLastEventID = "Last-Event-Id"
	HeaderPriority    = "Priority"
)

// maxSurplus bounds how many answers to other requests are passed over before the awaited one.
const maxSurplus = 4

// maxSurplusBody bounds the body of such an answer.
const maxSurplusBody = 1 << 20

// Request is what is written to a backend.
type Request struct {
	Method    string
	Target    string // path and query as the client sent them
	Host      string
	Header    http.Header // without those that concern one connection only
	Body      []byte
	ID        string
	Backend   message.BackendID // the backend's id
	Address   string
	Deadline  time.Time
	Priority  int
	LastEvent string // id of the last event that the client has; empty: from the start
}

// Phase tells how far an exchange came.
type Phase int

// The phases of an exchange that failed.
const (
	NotSent Phase = iota // nothing of the request was written
	Sent                 // it may have run
)

// Error is an exchange that brought no answer.
type Error struct {
	Phase Phase
	cause error
}

func (e *Error) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Answer is an answer whose body is still to be read. Close must be called.
type Answer struct {
	Status   int
	Header   http.Header
	Body     io.Reader
	Length   int64 // -1: not told
	pool     *Pool
	conn     *conn
	response *http.Response
	stop     func() bool
	id       message.BackendID
	whole    bool
	unsent   bool // it came before the whole request was written
}

// Do writes a request and waits for the head of its answer. When ctx ends, the connection is closed. A request is
// written once, on one connection, whatever becomes of it.
func (p *Pool) Do(ctx context.Context, request *Request) (*Answer, error) {
	c, err := p.acquire(ctx, request.Backend, request.Address, request.ID)
	if err != nil {
		return nil, &Error{Phase: NotSent, cause: err}
	}
	c.carried = request.ID
	stop := context.AfterFunc(ctx, func() { c.Close() })
	_ = c.SetDeadline(request.Deadline.Add(deadlineSlack)) // reading reports what matters
	response, sent, err := exchangeOn(c, encode(request), request.ID)
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	answer := &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		pool: p, conn: c, response: response, stop: stop, id: request.Backend, unsent: !sent,
	}
	answer.Body = &bodyReader{answer}
	return answer, nil
}

// inlineWrite is the size up to which a request goes into the socket's buffer at once.
const inlineWrite = 8 << 10

// exchangeOn writes a request and reads the head of its answer. A backend may answer before it has read a long request:
// sent tells whether all of it was written by then.
func exchangeOn(c *conn, text []byte, id string) (response *http.Response, sent bool, err error) {
	if len(text) <= inlineWrite {
		if err := writeAll(c, text); err != nil {
			return nil, false, err
		}
		response, err = readHead(c, id)
		return response, true, asSent(err)
	}
	written := make(chan error, 1)
	go func() { written <- writeAll(c, text) }()
	response, err = readHead(c, id)
	if err == nil {
		select {
		case writeErr := <-written:
			return response, writeErr == nil, nil
		default:
			return response, false, nil // the writer ends with the connection, which is not used again
		}
	}
	c.Close() // it ends the writer
	if writeErr := <-written; writeErr != nil {
		return nil, false, writeErr
	}
	return nil, true, asSent(err)
}

// writeAll writes a request; its error tells whether anything of it may have arrived.
func writeAll(c *conn, text []byte) error {
	n, err := c.Write(text)
	if err == nil {
		return nil
	}
	phase := Sent
	if n == 0 {
		phase = NotSent
	}
	return &Error{Phase: phase, cause: errors.Wrap(err, "writing the request")}
}

func asSent(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Phase: Sent, cause: errors.Wrap(err, "reading the answer")}
}

// deadlineSlack lets a backend's own answer at the deadline still arrive.
const deadlineSlack = 50 * time.Millisecond

// readHead reads up to the head of the answer to request id; answers to earlier requests are passed over.
func readHead(c *conn, id string) (*http.Response, error) {
	for range maxSurplus {
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
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, errors.New("an answer to another request without an end")
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBody)); err != nil || n == maxSurplusBody {
			return nil, errors.New("an answer to another request that does not end")
		}
	}
	return nil, errors.New("only answers to other requests")
}

// bodyReader notes when the body came to its proper end.
type bodyReader struct{ answer *Answer }

func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.answer.response.Body.Read(p)
	if err == io.EOF {
		b.answer.whole = true
	}
	return n, err
}

// HasEnd reports whether the body's end can be told from a break.
func (a *Answer) HasEnd() bool { return a.Length >= 0 || len(a.response.TransferEncoding) > 0 }

// Close gives the connection back where the answer was read whole, else closes it.
func (a *Answer) Close() {
	live := a.stop()
	if !live || !a.whole || a.unsent || !a.HasEnd() || a.response.Close || a.conn.reader.Buffered() > 0 {
		a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{}) // the next exchange sets its own
	a.pool.release(a.id, a.conn, idleTime(a.Header))
}

// idleTime is how long the connection may rest by the answer's word.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(0, time.Duration(seconds)*time.Second-keepAliveMargin)
		}
	}
	return idleWithoutWord
}

// IsNotRun reports whether the answer promises that the request has not run.
func (a *Answer) IsNotRun() bool {
	return a.Header.Get(HeaderNotRun) != "" || a.Status == http.StatusMisdirectedRequest
}

// ParseLoad reads running requests, waiting requests and places from a load header.
func ParseLoad(text string) (running, waiting, slots int, ok bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return 0, 0, 0, false
	}
	var numbers [3]int
	for i, part := range parts {
		number, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || number < 0 {
			return 0, 0, 0, false
		}
		numbers[i] = number
	}
	return numbers[0], numbers[1], numbers[2], true
}

// writtenHere are headers that encode writes itself.
var writtenHere = map[string]bool{
	"Host": true, "Content-Length": true, HeaderTimeLeft: true, HeaderTarget: true, HeaderPriority: true,
	HeaderLastEventID: true,
}

func encode(r *Request) []byte {
	var text bytes.Buffer
	text.Grow(1024 + len(r.Body))
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.WriteSubset(&text, writtenHere) // a buffer takes everything
	left := max(0, time.Until(r.Deadline).Milliseconds())
	fmt.Fprintf(&text, "%s: %d\r\n%s: %s\r\n", HeaderTimeLeft, left, HeaderTarget, r.Backend)
	if r.Priority >= 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", HeaderPriority, r.Priority)
	}
	if r.LastEvent != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", HeaderLastEventID, r.LastEvent)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	text.WriteString("\r\n")
	text.Write(r.Body)
	return text.Bytes()
}
