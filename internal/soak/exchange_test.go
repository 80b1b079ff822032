package soak

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/fake/fakesystem"
)

func streamBody(first, last int) string {
	var b strings.Builder
	for event := first; event <= last; event++ {
		fmt.Fprintf(&b, "id: %d\ndata: word %d\n\n", event, event)
	}
	return b.String()
}

// respond returns a response of a fake backend to the call c-0.
func respond(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: c-0\r\nServer-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		fakesystem.Seal("c-0"), head, len(body), body)
}

// Outcome and problem that a client records for the bytes of a response, after which the proxy closes the connection.
func TestConnection_ClassifiesResponse(t *testing.T) {
	stream := newCall("c", 0) // 10 events
	stream.tokens = 3
	document := newCall("c", 0)
	document.kind = KindDocument
	whole := respond("", streamBody(1, 3))
	for name, c := range map[string]struct {
		request  call
		response string
		outcome  Outcome
		problem  string
	}{
		"whole":                   {stream, whole, OutcomeComplete, ""},
		"nothing":                 {stream, "", OutcomeCut, ""},
		"cut in its head":         {stream, whole[:20], OutcomeCut, ""},
		"cut in its body":         {stream, whole[:len(whole)-1], OutcomeCut, ""},
		"too short":               {stream, respond("", streamBody(1, 2)), OutcomeComplete, "ends as complete"},
		"an event is missing":     {stream, respond("", streamBody(1, 1)+streamBody(3, 3)), OutcomeComplete, "not the backend's"},
		"two runs joined":         {stream, respond("", streamBody(1, 2)+streamBody(1, 3)), OutcomeComplete, "not the backend's"},
		"another request's":       {stream, strings.ReplaceAll(whole, "c-0", "c-7"), OutcomeComplete, "is that of"},
		"no seal":                 {stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", OutcomeComplete, "without seal"},
		"a failure with a seal":   {stream, strings.Replace(whole, "200", "502", 1), OutcomeComplete, "seal of a success"},
		"a rejection":             {stream, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", OutcomeComplete, ""},
		"no HTTP":                 {stream, "no\r\nresponse\r\n\r\n", OutcomeCut, "no response"},
		"a document":              {document, respond("", fakesystem.ResponsePrefix+"b"), OutcomeComplete, ""},
		"a document without text": {document, respond("", ""), OutcomeComplete, "with the body"},
	} {
		client, server := net.Pipe()
		go func() {
			buffer := make([]byte, 4096)
			_, _ = server.Read(buffer) // the request is written at once
			_, _ = server.Write([]byte(c.response))
			_ = server.Close()
		}()
		result := newConnection(client, func() Moment { return 0 }).do(c.request)
		assert.Equal(t, c.outcome, result.outcome, name)
		if c.problem == "" {
			assert.Empty(t, result.problem, name)
		} else {
			assert.Contains(t, result.problem, c.problem, name)
		}
	}
}

// An idle connection reports that the peer closed it, and bytes that arrive without a request.
func TestConnection_WaitIdle(t *testing.T) {
	client, server := net.Pipe()
	c := newConnection(client, func() Moment { return 0 })
	isOpen, hasBytes := c.waitIdle(time.Millisecond)
	assert.True(t, isOpen)
	assert.False(t, hasBytes)
	go func() { _, _ = server.Write([]byte("x")) }()
	isOpen, hasBytes = c.waitIdle(time.Minute)
	assert.False(t, isOpen)
	assert.True(t, hasBytes)
	client, server = net.Pipe()
	require.NoError(t, server.Close())
	isOpen, hasBytes = newConnection(client, nil).waitIdle(time.Minute)
	assert.False(t, isOpen)
	assert.False(t, hasBytes)
}
