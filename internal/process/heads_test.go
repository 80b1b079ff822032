package process_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// mostConnections is how many connections of clients a process has descriptors for.
const mostConnections = 3900

// headReadTime is a time in which a process has read what all connections have sent.
const headReadTime = 2 * time.Second

// unfinishedHead is a request head of 60 KiB that lacks its last line.
func unfinishedHead() []byte {
	const fields, fieldBytes = 60, 1000
	var head bytes.Buffer
	head.WriteString("GET / HTTP/1.1\r\nHost: h.example\r\n")
	for i := range fields {
		fmt.Fprintf(&head, "X-%d: %s\r\n", i, strings.Repeat("x", fieldBytes))
	}
	return head.Bytes()
}

// As many connections with unfinished heads as there are descriptors take no more memory than the machine has. Requests
// with heads of an ordinary size are served meanwhile.
func TestRequest_MostUnfinishedHeadsHaveBoundedMemory(t *testing.T) {
	m, _, proxy := startMachine(t)
	head := unfinishedHead()
	for range mostConnections {
		conn := dial(t, m.address(frontPort))
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
		_, _ = conn.Write(head) // the process may reject it
	}
	assert.Equal(t, "HTTP/1.1 404 Not Found", m.statusLine("GET / HTTP/1.1\r\nHost: other.example\r\n\r\n"))
	assert.Never(t, func() bool { return proxy.peakMemoryMB() >= machineMemoryMB }, headReadTime, 10*testPoll)
	proxy.awaitListening()
	t.Logf("peak memory %d MB", proxy.peakMemoryMB())
}

// statusLine sends a request to the client port and returns the first line of the response; empty: there is none.
func (m *machine) statusLine(request string) string {
	m.t.Helper()
	conn, err := net.DialTimeout("tcp", m.address(frontPort), testTimeout)
	require.NoError(m.t, err)
	defer conn.Close()
	require.NoError(m.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Write([]byte(request))
	require.NoError(m.t, err)
	response := make([]byte, 256)
	n, _ := conn.Read(response)
	line, _, _ := strings.Cut(string(response[:n]), "\r\n")
	return line
}
