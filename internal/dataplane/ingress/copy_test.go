package ingress

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCompleteEvents(t *testing.T) {
	tests := []struct {
		name, text, complete string
	}{
		{"empty", "", ""},
		{"incomplete event", "data: a\n", ""},
		{"one event", "data: a\n\n", "data: a\n\n"},
		{"one event and an incomplete one", "data: a\n\ndata: b\n", "data: a\n\n"},
		{"two events", "data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n"},
		{"lines that end with CRLF", "data: a\r\n\r\ndata", "data: a\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, test.complete, test.text[:completeEvents([]byte(test.text))])
		})
	}
}

func TestLastEventID(t *testing.T) {
	assert.Empty(t, lastEventID([]byte("data: a\n\n")))
	assert.Equal(t, "2", lastEventID([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\n\ndata: c\n\n")))
}

// A response for which there is no room is sent while it is read, whole and with its length; one that breaks is aborted.
func TestHandler_PassesResponseThroughWithoutRoom(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	for name, limit := range map[string]int64{"no room": 0, "room for a part": 50 << 10, "room": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			p := newProxy(t, newFakeBackend(t, okResponse(body)))
			p.handler.LimitResponses(limit)
			response, got, err := p.call(t, "/once/a", "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, int64(len(body)), response.ContentLength)
			assert.Equal(t, body, got)
		})
	}
	broken := respond("HTTP/1.1 200 OK\nRequest-Id: ID\nServer-Seal: x\nContent-Length: 200\n\npart")
	p := newProxy(t, newFakeBackend(t, func(conn net.Conn, request *http.Request) {
		broken(conn, request)
		conn.Close()
	}))
	p.handler.LimitResponses(0)
	_, _, err := p.call(t, "/once/a", "")
	assert.Error(t, err)
}
