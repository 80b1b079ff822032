package backend

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"pumiceline/internal/message"
)

// Request is one attempt of a client's request at a backend.
type Request struct {
	Method      string
	Target      string // path and query, unchanged from the client's request
	Host        string
	Header      http.Header // without hop-by-hop headers
	Body        []byte
	ID          string // the same for all attempts of a client's request
	BackendID   message.BackendID
	Address     string // host and port of the backend
	Deadline    time.Time
	Priority    int    // 0 is the highest; negative: the header is not sent
	LastEventID string // ID of the last event that the client has received; empty: none
	// IsWithdrawn reports whether the backend must no longer get the request. It is called when there is a connection,
	// before anything is sent. It may be nil.
	IsWithdrawn func() bool
}

// writtenByEncode are the headers that encode sets, so it does not copy them from Request.Header.
var writtenByEncode = map[string]bool{
	"Host": true, "Content-Length": true, HeaderTimeLeft: true, HeaderTarget: true, HeaderPriority: true,
	HeaderLastEventID: true,
}

// encode returns the request as HTTP/1.1 text.
func encode(r *Request) []byte {
	var text bytes.Buffer
	text.Grow(1024 + len(r.Body))
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.WriteSubset(&text, writtenByEncode) // writing to a buffer does not fail
	left := max(0, time.Until(r.Deadline).Milliseconds())
	fmt.Fprintf(&text, "%s: %d\r\n%s: %s\r\n", HeaderTimeLeft, left, HeaderTarget, r.BackendID)
	if r.Priority >= 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", HeaderPriority, r.Priority)
	}
	if r.LastEventID != "" {
		fmt.Fprintf(&text, "%s: %s\r\n", HeaderLastEventID, r.LastEventID)
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	text.WriteString("\r\n")
	text.Write(r.Body)
	return text.Bytes()
}
