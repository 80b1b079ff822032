package backend

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"
)

// FuzzReadResponse reads truncated and garbled responses: an accepted response must be complete.
func FuzzReadResponse(f *testing.F) {
	for cut := 0; cut <= len(okResponse); cut += 5 {
		f.Add([]byte(okResponse[:cut]))
	}
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n42\r\n0\r\n\r\n"))
	f.Add([]byte("\xff\x00\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		source := &responseSource{Reader: strings.NewReader(string(text))}
		limit := &io.LimitedReader{R: source}
		proxyEnd, backendEnd := net.Pipe()
		defer proxyEnd.Close()
		defer backendEnd.Close()
		c := &conn{nc: proxyEnd, source: source, limit: limit, reader: bufio.NewReader(limit), backend: &backendState{}}
		got, err := c.readResponse(NewPool(Options{}, slog.New(slog.DiscardHandler)), newPost(), time.Now().Add(time.Minute))
		status, response := got.status, got.response
		if (err == nil) != (response != nil) || err == nil && (status < 200 || len(response.Body) > MaxBufferedBody) {
			t.Errorf("status %d, %v, %v", status, response, err)
		}
		if err != nil {
			return
		}
		if response.Stream != nil { // streamed, since more than MaxBufferedBody arrived
			n, _ := io.Copy(io.Discard, response.Stream)
			response.Stream.Close()
			response.Body = make([]byte, n)
		}
		if len(response.Body) > len(text) {
			t.Error("the body is longer than the input")
		}
	})
}
