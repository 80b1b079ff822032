package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"pumiceline/internal/standalone/policy"
)

const (
	// TimeLeftHeader is the header with the time until a deadline, in milliseconds: in a client's request to the proxy the
	// client's deadline, in a request to a backend the attempt's deadline.
	TimeLeftHeader = "X-Time-Left-Ms"
	// typicalHeadBytes is enough for nearly every request head.
	typicalHeadBytes = 1 << 10
)

var (
	errBodyConsumed = errors.New("the request's body was streamed to another attempt and cannot be sent again")
	errReadingBody  = errors.New("read the request's body")
)

// expiredDeadline is a deadline in the past: as a write deadline it stops a write at once.
var expiredDeadline = time.Unix(1, 0)

// headersNotCopied are the headers that encodeRequest writes itself, and those that delimited the body on the client's
// connection.
var headersNotCopied = map[string]bool{
	"Host":              true,
	"User-Agent":        true,
	TimeLeftHeader:      true,
	"Content-Length":    true,
	"Transfer-Encoding": true,
	"Trailer":           true,
}

// encodeRequest returns a request's head and the buffered part of its body as they are written to the backend. It does
// not use http.Request.Write, which first copies the request and its headers: that took a seventh of a busy proxy's
// CPU.
func encodeRequest(ctx context.Context, req *http.Request, body Body) ([]byte, error) {
	target := requestTarget(req)
	// net/http rejects line breaks in both. Other callers of this package must not be able to inject a header with one.
	if strings.ContainsAny(target, " \r\n") || !httpguts.ValidHostHeader(req.Host) {
		return nil, fmt.Errorf("encode the request: target %q or host %q", target, req.Host)
	}
	var text bytes.Buffer
	text.Grow(typicalHeadBytes + len(body.Buffered))
	text.WriteString(req.Method)
	text.WriteByte(' ')
	text.WriteString(target)
	text.WriteString(" HTTP/1.1\r\nHost: ")
	text.WriteString(req.Host)
	text.WriteString("\r\n")
	if err := req.Header.WriteSubset(&text, headersNotCopied); err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	if agent := req.Header.Get("User-Agent"); agent != "" { // ReverseProxy sets an empty value if the client sent none
		text.WriteString("User-Agent: " + strings.NewReplacer("\r", " ", "\n", " ").Replace(agent) + "\r\n")
	}
	writeTimeLeft(ctx, &text, body)
	writeBody(&text, req.Method, body)
	return text.Bytes(), nil
}

// requestTarget returns the target for the request line.
func requestTarget(req *http.Request) string {
	if req.URL.Opaque == "" {
		return req.URL.RequestURI()
	}
	if req.URL.RawQuery == "" {
		return req.URL.Opaque
	}
	return req.URL.Opaque + "?" + req.URL.RawQuery
}

// writeTimeLeft writes the header with the time until the attempt's deadline, if there is one. For a streamed body
// the time counts from the last byte.
func writeTimeLeft(ctx context.Context, text *bytes.Buffer, body Body) {
	deadline, ok := ctx.Deadline()
	if !ok && body.Stream == nil {
		return
	}
	if !ok {
		deadline = time.Now().Add(body.Stream.ClientTimeout)
	}
	text.WriteString(TimeLeftHeader + ": ")
	writeInt(text, max(0, time.Until(deadline).Milliseconds()))
	text.WriteString("\r\n")
}

// writeBody writes the headers that delimit the body, the end of the head, and the buffered part of the body.
func writeBody(text *bytes.Buffer, method string, body Body) {
	length := int64(len(body.Buffered))
	if body.Stream != nil {
		length = body.Stream.Length
	}
	if length < 0 {
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		writeChunk(text, body.Buffered)
		return
	}
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		text.WriteString("Content-Length: ")
		writeInt(text, length)
		text.WriteString("\r\n")
	}
	text.WriteString("\r\n")
	text.Write(body.Buffered)
}

func writeInt(text *bytes.Buffer, n int64) {
	text.Write(strconv.AppendInt(text.AvailableBuffer(), n, 10))
}

// writeChunk writes a chunk of a body of unknown length.
func writeChunk(text *bytes.Buffer, data []byte) {
	if len(data) == 0 { // an empty chunk would end the body
		return
	}
	fmt.Fprintf(text, "%x\r\n", len(data))
	text.Write(data)
	text.WriteString("\r\n")
}

// send writes the head with the buffered body, and then the streamed body as it arrives from the client. It stops when
// the client disconnects. WriteBy bounds the write of the head with the buffered body; each part of a streamed body has
// streamStallTimeout instead. Errors are *exchangeError.
func (c *conn) send(ctx context.Context, a *Attempt, head []byte) error {
	if !a.WriteBy.IsZero() {
		if err := c.nc.SetWriteDeadline(a.WriteBy); err != nil {
			return &exchangeError{outcome: outcomeUnsent(ctx), cause: fmt.Errorf("write the request: %w", err)}
		}
	}
	err := c.writeUntilDisconnect(a, head)
	if err == nil {
		_ = c.nc.SetWriteDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
		return nil
	}
	outcome := outcomeUnsent(ctx)
	isDisconnected := a.Request.Context().Err() != nil
	if isDisconnected || !a.canWrite() || errors.Is(err, errReadingBody) || errors.Is(err, errBodyConsumed) {
		outcome = outcomeAfter(ctx, policy.NotSent) // the backend is not at fault
	}
	return &exchangeError{outcome: outcome, cause: fmt.Errorf("write the request: %w", err)}
}

// writeUntilDisconnect writes a request and stops when the client disconnects.
func (c *conn) writeUntilDisconnect(a *Attempt, head []byte) error {
	clientCtx := a.Request.Context()
	stopped := make(chan struct{})
	stop := context.AfterFunc(clientCtx, func() {
		defer close(stopped)
		_ = c.nc.SetWriteDeadline(expiredDeadline) // fails only if the write fails too
	})
	_, err := c.nc.Write(head)
	if err == nil && a.Body.Stream != nil {
		err = c.sendStream(clientCtx, a.Body)
	}
	if !stop() {
		<-stopped // else the callback could set the deadline later, during the connection's next request
	}
	return err
}

// sendStream writes a streamed body as it arrives from the client.
func (c *conn) sendStream(clientCtx context.Context, body Body) error {
	if !body.Stream.Claim() {
		return errBodyConsumed
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	var chunk bytes.Buffer
	for {
		n, readErr := body.Stream.Read(buffer[:])
		if readErr != nil && readErr != io.EOF {
			return fmt.Errorf("%w: %w", errReadingBody, readErr)
		}
		data := buffer[:n]
		if body.Stream.Length < 0 {
			chunk.Reset()
			writeChunk(&chunk, data)
			if readErr == io.EOF {
				chunk.WriteString("0\r\n\r\n")
			}
			data = chunk.Bytes()
		}
		if err := c.writePart(clientCtx, data); err != nil {
			return err
		}
		if readErr == io.EOF {
			return nil
		}
	}
}

// writePart writes a part of a streamed body.
func (c *conn) writePart(clientCtx context.Context, data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(streamStallTimeout)); err != nil {
		return err
	}
	if clientCtx.Err() != nil { // the disconnect may have set expiredDeadline just before, which was overwritten above
		return errClientDisconnected
	}
	_, err := c.nc.Write(data)
	return err
}
