package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"pumiceline/internal/httpframing"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/requestbody"
)

// MaxBufferedBody is the largest body that is kept whole: of an answer, which is served only whole, and of a request, which can be sent
// again. Longer ones are passed on while they come.
const MaxBufferedBody = 64 << 10

const (
	maxHeadBytes        = 64 << 10 // bytes of an answer's head, interim answers included
	maxInterimResponses = 5
	unprocessedHeader   = "X-Unprocessed"
	timeLeftHeader      = "X-Time-Left-Ms"
)

// Response is a destination's whole answer, or one that is passed on while it comes.
type Response struct {
	Header http.Header
	Body   []byte
	Stream io.ReadCloser // of a long answer: all of its body, and Body is empty. It must be closed.
	Length int64         // of a long answer; -1: not told
}

// Body is a request's: what is at hand, which can be sent again, and what comes after it, which can't.
type Body struct {
	Buffered []byte
	Stream   *requestbody.Stream // nil: Text is all
}

// Result is how one exchange ended. Answer is set if the outcome is OK.
type Result struct {
	BodySentAt time.Time // when the last byte of a body that was still coming went out; zero for others
	Outcome    policy.Outcome
	Response   *Response
	Report     []float32
	Err        error // what went wrong, for the log
}

// Attempt is a request that is to be sent, and what has to hold in the moment in which it is.
type Attempt struct {
	Request            *http.Request // its body is given apart; its context is the client's
	Body               Body
	WriteBy            time.Time   // nothing is written from then on, as what an earlier attempt's group forgets could run twice; zero: no such limit
	ClientDisconnected func() bool // whether the client has gone, where its context may not have heard of it yet; nil: its context knows
}

// Exchange sends a request to a destination and waits for its answer until ctx ends: all of a short one, and of a long one as far
// as shows that it is. The request is written once and never again: http.Transport would resend it by itself on a reused
// connection that breaks, which is an attempt that the module knows nothing of.
//
// Once the client has gone nobody waits for the answer. While the request's last byte has not gone out the exchange is then given
// up, also where the deployment lets nothing be cancelled that a destination may have begun.
func (f *Pool) Exchange(ctx context.Context, id uint32, a Attempt) Result {
	if a.Body.Stream != nil && a.Body.Stream.IsClaimed() {
		return Result{Outcome: policy.NotSent, Err: errBodyConsumed}
	}
	c, outcome, err := f.acquireWhileWanted(ctx, id, &a)
	if err != nil {
		return Result{Outcome: outcome, Err: err}
	}
	// Ending ctx closes the connection: that is how an attempt is given up.
	stop := context.AfterFunc(ctx, func() { c.nc.Close() })
	res, reusable := f.exchange(ctx, c, &a)
	if res.Response != nil && res.Response.Stream != nil {
		s := res.Response.Stream.(*stream)
		if !stop() { // given up in the same moment
			s.abandon()
			f.release(c, false)
			return Result{Outcome: outcomeAfter(ctx, policy.ConnectionReset), Err: errors.New("a long answer came too late")}
		}
		s.startForwarding() // the connection is given back at its end
		return res
	}
	f.release(c, stop() && reusable) // before the outcome is told, so that no attempt is out on an open connection
	return res
}

var (
	errAttemptEnded       = errors.New("not sent: over or draining")
	errClientDisconnected = errors.New("not sent: its client has left")
	errRetryWindowClosed  = errors.New("not sent: the window for a repeat is over")
)

// acquireWhileWanted is acquire for as long as somebody waits for what is to be sent. That nobody does any more says nothing of the
// destination.
func (f *Pool) acquireWhileWanted(ctx context.Context, id uint32, a *Attempt) (*conn, policy.Outcome, error) {
	wanted, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.Request.Context(), cancel)()
	if !a.WriteBy.IsZero() {
		defer time.AfterFunc(time.Until(a.WriteBy), cancel).Stop()
	}
	c, outcome, err := f.acquire(wanted, id)
	if err != nil && wanted.Err() != nil && ctx.Err() == nil {
		return nil, policy.NotSent, fmt.Errorf("no longer wanted: %w", err)
	}
	return c, outcome, err
}

// sendError says why nothing of a may go out now, whatever held when it was decided on: since then the connection was made.
func (f *Pool) sendError(ctx context.Context, c *conn, a *Attempt) error {
	switch {
	case ctx.Err() != nil || !f.isReady(c.backend):
		return errAttemptEnded
	case !a.WriteBy.IsZero() && !time.Now().Before(a.WriteBy):
		return errRetryWindowClosed
	case a.Request.Context().Err() != nil || a.ClientDisconnected != nil && a.ClientDisconnected():
		return errClientDisconnected
	}
	return nil
}

func (f *Pool) exchange(ctx context.Context, c *conn, a *Attempt) (res Result, reusable bool) {
	req, body := a.Request, a.Body
	text, err := encodeRequest(ctx, req, body)
	if err != nil {
		return Result{Outcome: policy.NotSent, Err: err}, false
	}
	if err := f.sendError(ctx, c, a); err != nil {
		return Result{Outcome: outcomeAfter(ctx, policy.NotSent), Err: err}, true
	}
	if outcome, err := c.send(ctx, a, text); err != nil {
		return Result{Outcome: outcome, Err: err}, false
	}
	if body.Stream != nil {
		res.BodySentAt = time.Now()
	}
	if f.opts.OnRequestWritten != nil {
		f.opts.OnRequestWritten()
	}
	by, ok := ctx.Deadline()
	if !ok && body.Stream != nil {
		by = res.BodySentAt.Add(body.Stream.ClientTimeout)
	}
	status, answer, reusable, err := c.readResponse(by, f, req)
	if err != nil {
		if ctx.Err() == nil && !c.source.ended {
			f.warnMalformed("answer not understood", c.backend, err)
			// No break: the destination answered, so that it may have run, and the answer is of no use.
			return Result{Outcome: policy.ErrorResponse, Err: fmt.Errorf("reading the answer: %w", err), BodySentAt: res.BodySentAt}, false
		}
		return Result{Outcome: outcomeAfter(ctx, policy.ConnectionReset), Err: fmt.Errorf("reading the answer: %w", err), BodySentAt: res.BodySentAt}, false
	}
	_, columns := f.currentSettings()
	res.Outcome = policy.ErrorResponse
	switch status {
	case http.StatusOK:
		res.Outcome, res.Response = policy.OK, answer
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if answer.Header.Get(unprocessedHeader) == "1" { // without that mark it may have run
			res.Outcome = policy.Rejected
		}
	}
	if text := answer.Header.Get(ReportHeader); text != "" && len(columns) > 0 {
		if res.Report, err = ParseReport(text, columns); err != nil {
			f.warnMalformed("load report not understood", c.backend, err)
		}
		answer.Header.Del(ReportHeader)
	}
	return res, reusable
}

// encodeRequest writes req as it goes on the wire, with the time that is left. The head is written here and not by
// http.Request.Write, which copies the request and its headers first: that was a seventh of a busy proxy's CPU.
func encodeRequest(ctx context.Context, req *http.Request, body Body) ([]byte, error) {
	target := req.URL.RequestURI()
	if req.URL.Opaque != "" {
		target = req.URL.Opaque
		if req.URL.RawQuery != "" {
			target += "?" + req.URL.RawQuery
		}
	}
	// net/http has read them as one line each; what reaches us otherwise must not become two.
	if strings.ContainsAny(target, " \r\n") || !httpguts.ValidHostHeader(req.Host) {
		return nil, fmt.Errorf("encoding the request: target %q or host %q", target, req.Host)
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
		return nil, fmt.Errorf("encoding the request: %w", err)
	}
	if agent := req.Header.Get("User-Agent"); agent != "" { // ReverseProxy says by an empty one that there is none
		text.WriteString("User-Agent: " + strings.NewReplacer("\r", " ", "\n", " ").Replace(agent) + "\r\n")
	}
	var number [20]byte
	if deadline, ok := ctx.Deadline(); ok || body.Stream != nil {
		if !ok { // its time begins with its last byte
			deadline = time.Now().Add(body.Stream.ClientTimeout)
		}
		text.WriteString(timeLeftHeader + ": ")
		text.Write(strconv.AppendInt(number[:0], max(0, time.Until(deadline).Milliseconds()), 10))
		text.WriteString("\r\n")
	}
	length := int64(len(body.Buffered))
	if body.Stream != nil {
		length = body.Stream.Length
	}
	if length < 0 {
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		appendChunk(&text, body.Buffered)
		return text.Bytes(), nil
	}
	if length > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		text.WriteString("Content-Length: ")
		text.Write(strconv.AppendInt(number[:0], length, 10))
		text.WriteString("\r\n")
	}
	text.WriteString("\r\n")
	text.Write(body.Buffered)
	return text.Bytes(), nil
}

// appendChunk writes a piece of a body whose length is not told.
func appendChunk(text *bytes.Buffer, piece []byte) {
	if len(piece) > 0 { // an empty one would be the end
		fmt.Fprintf(text, "%x\r\n", len(piece))
		text.Write(piece)
		text.WriteString("\r\n")
	}
}

// send writes text, and what of a body is still coming. It stops where it is once the client has gone, or the time to write in is
// over. An error means that the last byte did not go out, so that the request has never run, and comes with the attempt's outcome.
func (c *conn) send(ctx context.Context, a *Attempt, text []byte) (policy.Outcome, error) {
	client := a.Request.Context()
	if !a.WriteBy.IsZero() {
		if err := c.nc.SetWriteDeadline(a.WriteBy); err != nil {
			return outcomeUnsent(ctx), fmt.Errorf("writing the request: %w", err)
		}
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(client, func() {
		defer close(stopped)
		_ = c.nc.SetWriteDeadline(expiredDeadline) // it fails only where writing does
	})
	_, err := c.nc.Write(text)
	if err == nil && a.Body.Stream != nil {
		err = c.sendStream(client, a.Body)
	}
	if !stop() {
		<-stopped // or it would end the writing of the connection's next request
	}
	if err == nil {
		_ = c.nc.SetWriteDeadline(time.Time{}) // the last byte is out: reading shows it where the connection is over
		return policy.OK, nil
	}
	err = fmt.Errorf("writing the request: %w", err)
	if client.Err() != nil || !a.WriteBy.IsZero() && !time.Now().Before(a.WriteBy) || errors.Is(err, errReadingBody) || errors.Is(err, errBodyConsumed) {
		return outcomeAfter(ctx, policy.NotSent), err // which says nothing of the destination
	}
	return outcomeUnsent(ctx), err
}

// expiredDeadline is a write deadline that stops a write at once.
var expiredDeadline = time.Unix(1, 0)

var (
	errBodyConsumed = errors.New("the request's body was read for another attempt and is gone")
	errReadingBody  = errors.New("the request's body")
)

// sendStream sends what of a body is still coming, while it comes.
func (c *conn) sendStream(client context.Context, body Body) error {
	if !body.Stream.Claim() {
		return errBodyConsumed
	}
	piece := chunkBuffers.Get().(*[chunkBytes]byte)
	defer chunkBuffers.Put(piece)
	var framed bytes.Buffer
	for {
		n, err := body.Stream.Read(piece[:])
		out := piece[:n]
		if body.Stream.Length < 0 {
			framed.Reset()
			appendChunk(&framed, out)
			if err == io.EOF {
				framed.WriteString("0\r\n\r\n")
			}
			out = framed.Bytes()
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("%w: %w", errReadingBody, err)
		}
		if len(out) > 0 {
			if err := c.nc.SetWriteDeadline(time.Now().Add(streamStallTimeout)); err != nil {
				return err
			}
			if client.Err() != nil { // its leave may have set the write deadline just before
				return errClientDisconnected
			}
			if _, err := c.nc.Write(out); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// typicalHeadBytes is room for nearly every head.
const typicalHeadBytes = 1 << 10

// headersNotCopied are the headers that encode writes itself, or that say how a body was delimited on its way here.
var headersNotCopied = map[string]bool{"Host": true, "User-Agent": true, timeLeftHeader: true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// outcomeAfter is the outcome of an attempt that did not come to an answer: that of ctx if it is over, else otherwise.
func outcomeAfter(ctx context.Context, otherwise policy.Outcome) policy.Outcome {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return otherwise
	case errors.Is(cause, context.DeadlineExceeded):
		if otherwise == policy.NotSent {
			return policy.NotSent // its time was up before anything was sent
		}
		return policy.TimedOut
	default:
		return policy.Cancelled
	}
}

// outcomeUnsent is the outcome of an attempt whose request did not go out whole: it certainly never ran.
func outcomeUnsent(ctx context.Context) policy.Outcome {
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return policy.Cancelled
	}
	return policy.ConnectFailed
}

// streamAfterPause is how long a long answer that has begun may pause before what there is of it is passed on.
const streamAfterPause = 150 * time.Millisecond

// streamBeforeDeadline is how long before an attempt's end an answer of unknown length is passed on as far as it has come.
const streamBeforeDeadline = 10 * time.Millisecond

// maxPreallocatedBytes is how much memory an answer gets for what it says of its length alone.
const maxPreallocatedBytes = 64 << 10

var (
	errErrorTooLong = errors.New("a long answer that serves nobody")
	errAmbiguousEnd = errors.New("the answer's end can be read in two ways")
)

// readResponse takes one answer: whole, or as far as shows that it is long. What lies beyond the limits is an error, and a part of an
// answer must never pass for one. by is when the attempt ends.
func (c *conn) readResponse(by time.Time, f *Pool, req *http.Request) (status int, answer *Response, reusable bool, err error) {
	c.limit.N = maxHeadBytes + MaxBufferedBody
	c.source.scanner = httpframing.Scanner{}
	var resp *http.Response
	interim := int32(0)
	for ; ; interim++ {
		if resp, err = http.ReadResponse(c.reader, req); err != nil {
			return 0, nil, false, err
		}
		if resp.StatusCode >= 200 || interim == maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	// The body is never closed: Close would read on to its end, which may never come.
	if resp.StatusCode < 200 {
		return 0, nil, false, fmt.Errorf("answer with status %d", resp.StatusCode)
	}
	if c.source.scanner.AmbiguousHead == interim+1 {
		return 0, nil, false, errAmbiguousEnd
	}
	if resp.ContentLength > MaxStreamedBody { // not worth waiting for: it may keep coming for minutes
		return 0, nil, false, ErrBodyTooLarge
	}
	answer = &Response{Header: resp.Header, Length: resp.ContentLength}
	if resp.ContentLength >= 0 && resp.ContentLength <= MaxBufferedBody {
		// What is said of the length saves growing the buffer, up to a size that a lie may cost.
		var text bytes.Buffer
		if n := min(resp.ContentLength, maxPreallocatedBytes); n > 0 {
			text.Grow(int(n) + bytes.MinRead)
		}
		if _, err := text.ReadFrom(resp.Body); err != nil {
			return 0, nil, false, err
		}
		answer.Body = text.Bytes()
		return resp.StatusCode, answer, !resp.Close && c.reader.Buffered() == 0, nil
	}
	// A body that the connection's end delimits is whole if that end is in order: a destination that dies resets its connections.
	ends := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	reuse := func() bool { return !resp.Close && !ends && c.reader.Buffered() == 0 }
	c.limit.N = math.MaxInt64 // from here the stream counts
	s := newStream(f, c, resp.Body, reuse)
	passAt := time.Now().Add(streamAfterPause)
	if resp.ContentLength < 0 { // it may still turn out to be short, and is then served only whole
		passAt = by.Add(-streamBeforeDeadline)
	}
	again := time.AfterFunc(time.Until(passAt), s.wake)
	defer again.Stop()
	_, err = s.waitBuffered(func(have int) bool { return have > 0 && !time.Now().Before(passAt) })
	switch {
	case err == io.EOF:
		answer.Body = s.bytes()
		return resp.StatusCode, answer, reuse(), nil
	case err != nil: // known to be broken before anything was passed on, so that it can still be had elsewhere
		return 0, nil, false, err
	case resp.StatusCode != http.StatusOK:
		s.abandon()
		return 0, nil, false, errErrorTooLong
	}
	answer.Stream = s
	return resp.StatusCode, answer, false, nil
}
