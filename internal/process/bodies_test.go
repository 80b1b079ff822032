package process_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// configuration has a route whose bodies may have 4 MiB.
const configuration = `{"version":1,"routes":[{"name":"r","host":"h.example","pathStart":"/","kind":"changing","timeoutMs":5000,` +
	`"targetMs":800,"priority":1,"service":"s","tries":1}],"services":[{"name":"s","maxConns":600}],` +
	`"limits":{"headerBytes":16384,"bodyBytes":4194304,"headerWaitMs":3000,"idleTimeoutMs":15000}}`

// startMachine starts both programs of a machine, and waits until the proxy has a configuration.
func startMachine(t *testing.T) (m *machine, coordinator, proxy *process) {
	t.Helper()
	m = newMachine(t)
	coordinator, proxy = m.startBoth()
	coordinator.await("acknowledged configuration", func() bool {
		request, err := http.NewRequest(http.MethodPut, "http://"+m.address(controlPort)+"/config", strings.NewReader(configuration))
		require.NoError(t, err)
		request.Header.Set("If-Match", "0")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode < http.StatusMultipleChoices
	})
	proxy.await("configuration", func() bool {
		response, err := http.Get("http://" + m.address(frontPort) + "/")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusNotFound // no route for this host
	})
	return m, coordinator, proxy
}

// startBoth starts both programs of a machine that does not tolerate the loss of one.
func (m *machine) startBoth() (coordinator, proxy *process) {
	m.t.Helper()
	m.writeSettings(strings.ReplaceAll(m.settings(), "machines: 1", "machines: 0"))
	coordinator, proxy = m.start(coordinatorProgram), m.start(proxyProgram)
	coordinator.awaitListening()
	proxy.awaitListening()
	return coordinator, proxy
}

// unfinishedBodies is how many requests have an unfinished body at the same time.
const unfinishedBodies = 120

// sendUnfinishedBodies opens requests whose bodies lack their last bytes, and keeps them open.
func sendUnfinishedBodies(t *testing.T, address, method, path string, sentBytes int) {
	t.Helper()
	part := make([]byte, sentBytes)
	for range unfinishedBodies {
		conn := dial(t, address)
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nIf-Match: 0\r\nContent-Length: %d\r\n\r\n", method, path, sentBytes+1)
		require.NoError(t, err)
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
		_, _ = conn.Write(part) // the process may reject the request before
	}
}

// Requests whose bodies do not end take no more memory than the machine has, and the process goes on serving.
func TestRequest_UnfinishedBodiesHaveBoundedMemory(t *testing.T) {
	m, coordinator, proxy := startMachine(t)
	sendUnfinishedBodies(t, m.address(frontPort), http.MethodPost, "/", 4<<20-1)
	proxy.awaitListening()
	assert.Less(t, proxy.peakMemoryMB(), machineMemoryMB, proxyProgram)
	sendUnfinishedBodies(t, m.address(controlPort), http.MethodPut, "/config", 8<<20-1)
	coordinator.awaitListening()
	assert.Less(t, coordinator.peakMemoryMB(), machineMemoryMB, coordinatorProgram)
}

// unfinishedHeads is how many connections have an unfinished request head: more than a machine has descriptors for would
// wait in the queue of the listener.
const unfinishedHeads = 1500

// Connections whose request heads do not end take no more memory than the machine has.
func TestRequest_UnfinishedHeadsHaveBoundedMemory(t *testing.T) {
	m, coordinator, proxy := startMachine(t)
	for port, p := range map[int]*process{frontPort: proxy, readyPort: proxy, controlPort: coordinator} {
		var conns []net.Conn
		for range unfinishedHeads {
			conn := dial(t, m.address(port))
			require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
			_, _ = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h.example\r\nX: %s", strings.Repeat("x", 900<<10))
			conns = append(conns, conn)
		}
		p.awaitListening()
		assert.Less(t, p.peakMemoryMB(), machineMemoryMB, "%s, port %d", p.program, port)
		for _, conn := range conns {
			conn.Close()
		}
	}
}
