package loads

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// fakeCoordinator puts the reports that it receives into a channel, and gets its responses to queries from a function.
type fakeCoordinator struct {
	member  message.Member
	reports chan *message.LoadReport
}

func newFakeCoordinator(t *testing.T, answer func(*message.LoadReport) *message.LoadResponse) *fakeCoordinator {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	member := message.Member{Address: listener.Addr().String()}
	c := &fakeCoordinator{member: member, reports: make(chan *message.LoadReport, 64)}
	go transport.Serve(listener, func(m *message.Message, reply func(*message.Message)) {
		c.reports <- m.LoadReport
		if m.LoadReport.ID != 0 && answer != nil {
			reply(&message.Message{LoadResponse: answer(m.LoadReport)})
		}
	})
	return c
}

// newConnectedExchange makes an exchange that is connected to the coordinator that it prefers.
func newConnectedExchange(t *testing.T, members ...message.Member) *Exchange {
	t.Helper()
	e := New("p1")
	e.queryTimeout = time.Minute // on a loaded machine responses can take longer than the default time-out
	e.SetMembers(members)
	e.takeQueued()
	require.NoError(t, e.client.Connect(e.coordinators.members[0].Address))
	return e
}

func load(backend message.BackendID, inFlight, queuedPrefillMs int) message.BackendLoad {
	return message.BackendLoad{Backend: backend, InFlight: inFlight, QueuedPrefillMs: queuedPrefillMs}
}

func TestExchange_FirstReportIsCompleteThenChanges(t *testing.T) {
	c := newFakeCoordinator(t, func(r *message.LoadReport) *message.LoadResponse {
		return &message.LoadResponse{ID: r.ID, Loads: []message.BackendLoad{load("b9", 3, 4)}}
	})
	e := newConnectedExchange(t, c.member)
	e.Publish([]message.BackendLoad{load("b1", 1, 50)})
	loads, ok := e.Query(context.Background(), "s", "m")
	require.True(t, ok)
	assert.Equal(t, []message.BackendLoad{load("b9", 3, 4)}, loads)
	first := <-c.reports
	assert.True(t, first.Complete)
	assert.Equal(t, []message.BackendLoad{load("b1", 1, 50)}, first.Loads)
	assert.Equal(t, message.ModelName("m"), first.Model)
	e.Publish([]message.BackendLoad{load("b1", 0, 0)})
	e.reportChanges()
	second := <-c.reports
	assert.False(t, second.Complete)
	assert.Zero(t, second.ID, "the report must not contain a query")
	assert.Equal(t, []message.BackendLoad{load("b1", 0, 0)}, second.Loads)
	e.reportAll()
	third := <-c.reports
	assert.True(t, third.Complete)
	assert.Empty(t, third.Loads)
}

func TestExchange_QueryFailsAtOnceWithoutConnection(t *testing.T) {
	e := New("p1")
	_, ok := e.Query(context.Background(), "s", "m")
	assert.False(t, ok, "the members are not set")
	e.SetMembers([]message.Member{{Address: "127.0.0.1:1"}})
	_, ok = e.Query(context.Background(), "s", "m")
	assert.False(t, ok, "there is no connection to the coordinator")
}

// Both coordinators receive queries and respond to none.
func TestExchange_FailsOverFromUnresponsiveCoordinator(t *testing.T) {
	unresponsive, other := newFakeCoordinator(t, nil), newFakeCoordinator(t, nil)
	e := newConnectedExchange(t, unresponsive.member, other.member)
	e.queryTimeout = time.Millisecond
	first := e.coordinators.members[0].Address
	for range maxFailures {
		_, ok := e.Query(context.Background(), "s", "m")
		assert.False(t, ok)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	until := e.coordinators.unavailableUntil[first]
	assert.Equal(t, e.coordinators.members[1].Address, e.coordinators.preferred(until))
	assert.Equal(t, first, e.coordinators.preferred(until.Add(1)), "the first must be preferred again after this time")
}

func TestExchange_SameCoordinatorOrderAtAllProxies(t *testing.T) {
	a, b, c := message.Member{Address: "x:1"}, message.Member{Address: "y:1"}, message.Member{Address: "z:1"}
	first, second := New("p1"), New("p2")
	first.SetMembers([]message.Member{a, b, c})
	second.SetMembers([]message.Member{c, a, b})
	assert.Equal(t, first.coordinators.members, second.coordinators.members)
}

// While a coordinator does not read, a report to it is written for up to a second and more. Publish and SetMembers are
// called by goroutines that also apply lists of backends: they must not wait for it.
func TestExchange_BlockedWriteDoesNotBlockCallers(t *testing.T) {
	e := New("p1")
	e.mutex.Lock() // as a report does while it is written
	defer e.mutex.Unlock()
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		e.SetMembers([]message.Member{{Address: "c1"}})
		e.Publish([]message.BackendLoad{load("b1", 1, 50)})
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Fatal("a caller waits for the write")
	}
}
