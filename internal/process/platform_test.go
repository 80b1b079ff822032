package process_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const platformPort = 8142

// platformTime is how long the processes get oversized responses; they read the list several times a second.
const platformTime = 4 * time.Second

// oversizedPages are pages of the platform's list that do not end, or take much more memory than their text.
var oversizedPages = map[string]string{
	"entries without fields": `{"backends":[` + strings.TrimSuffix(strings.Repeat("{},", 2_700_000), ",") + `],"nextPage":null}`,
	"pages without end":      `{"backends":[` + listEntries(60_000) + `],"nextPage":"next"}`,
	"page without end":       `{"backends":[` + strings.Repeat(" ", 64<<20),
}

// listEntries returns entries of the list, separated by commas.
func listEntries(count int) string {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"id":"b%d","service":"s","address":"127.0.0.1:9"}`, i)
	}
	return strings.Join(entries, ",")
}

// An oversized list of the platform takes no more memory than the machine has, and the processes go on with the next
// list that they can read.
func TestPlatform_OversizedListHasBoundedMemory(t *testing.T) {
	for name, oversized := range oversizedPages {
		t.Run(name, func(t *testing.T) {
			m := newMachine(t)
			var served atomic.Int64
			var page atomic.Value
			page.Store(oversized)
			m.servePlatform(func(w http.ResponseWriter, _ *http.Request) {
				served.Add(1)
				_, _ = w.Write([]byte(page.Load().(string))) // the reader may give up
			})
			coordinator, proxy := m.startBoth()
			coordinator.await("read of the list", func() bool { return served.Load() > 0 })
			assert.Never(t, func() bool {
				return coordinator.hasEnded() || proxy.hasEnded() ||
					coordinator.peakMemoryMB() >= machineMemoryMB || proxy.peakMemoryMB() >= machineMemoryMB
			}, platformTime, 10*testPoll)
			t.Logf("peak memory: coordinator %d MB, proxy %d MB", coordinator.peakMemoryMB(), proxy.peakMemoryMB())
			page.Store(`{"backends":[` + listEntries(1000) + `],"nextPage":null}`)
			before := served.Load()
			coordinator.await("reads of the next list", func() bool { return served.Load() > before+1 })
			coordinator.awaitListening()
		})
	}
}

// servePlatform serves the platform of the machine until the end of the test.
func (m *machine) servePlatform(handler http.HandlerFunc) {
	m.t.Helper()
	listener, err := net.Listen("tcp", m.address(platformPort))
	require.NoError(m.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	m.t.Cleanup(func() { server.Close() })
}
