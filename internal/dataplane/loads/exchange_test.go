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

// coordinator is a fake one: it hands out what it was told and answers by a function.
type coordinator struct {
	member  message.Member
	reports chan *message.LoadReport
}

func newCoordinator(t *testing.T, answer func(*message.LoadReport) *message.LoadResponse) *coordinator {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	c := &coordinator{member: message.Member{Address: listener.Addr().String()}, reports: make(chan *message.LoadReport, 64)}
	go transport.Serve(listener, func(m *message.Message, reply func(*message.Message)) {
		c.reports <- m.LoadReport
		if m.LoadReport.ID != 0 && answer != nil {
			reply(&message.Message{LoadResponse: answer(m.LoadReport)})
		}
	})
	return c
}

func connected(t *testing.T, members ...message.Member) *Exchange {
	t.Helper()
	e := New("p1")
	e.timeout = time.Minute // a machine under load answers late
	e.SetMembers(members)
	require.NoError(t, e.client.Connect(e.members[0].Address))
	return e
}

func load(backend message.BackendID, running, queued int) message.BackendLoad {
	return message.BackendLoad{Backend: backend, Running: running, Queued: queued}
}

func TestTheFirstReportTellsEverythingAndTheNextWhatChanged(t *testing.T) {
	c := newCoordinator(t, func(r *message.LoadReport) *message.LoadResponse {
		return &message.LoadResponse{ID: r.ID, Loads: []message.BackendLoad{load("b9", 3, 4)}}
	})
	e := connected(t, c.member)
	e.Publish([]message.BackendLoad{load("b1", 1, 50)})
	loads, ok := e.Query(context.Background(), "s", "m")
	require.True(t, ok)
	assert.Equal(t, []message.BackendLoad{load("b9", 3, 4)}, loads)
	first := <-c.reports
	assert.True(t, first.Complete)
	assert.Equal(t, []message.BackendLoad{load("b1", 1, 50)}, first.Loads)
	assert.Equal(t, message.ModelName("m"), first.Model)
	e.Publish([]message.BackendLoad{load("b1", 0, 0)})
	e.flush(false)
	second := <-c.reports
	assert.False(t, second.Complete)
	assert.Zero(t, second.ID, "it asks nothing")
	assert.Equal(t, []message.BackendLoad{load("b1", 0, 0)}, second.Loads)
	e.flush(true)
	third := <-c.reports
	assert.True(t, third.Complete)
	assert.Empty(t, third.Loads)
}

func TestWithoutAConnectionNothingIsWaitedFor(t *testing.T) {
	e := New("p1")
	_, ok := e.Query(context.Background(), "s", "m")
	assert.False(t, ok, "no coordinator is known")
	e.SetMembers([]message.Member{{Address: "127.0.0.1:1"}})
	_, ok = e.Query(context.Background(), "s", "m")
	assert.False(t, ok, "none is reached")
}

// TestASilentCoordinatorIsPassedOver has one that takes questions and answers none.
func TestASilentCoordinatorIsPassedOver(t *testing.T) {
	silent, other := newCoordinator(t, nil), newCoordinator(t, nil)
	e := connected(t, silent.member, other.member)
	e.timeout = time.Millisecond
	first := e.members[0].Address
	for range failuresMost {
		_, ok := e.Query(context.Background(), "s", "m")
		assert.False(t, ok)
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	assert.Equal(t, e.members[1].Address, e.target(e.passedOver[first]))
	assert.Equal(t, first, e.target(e.passedOver[first].Add(1)), "after a while it is asked again")
}

func TestAllProxiesAskTheSame(t *testing.T) {
	a, b, c := message.Member{Address: "x:1"}, message.Member{Address: "y:1"}, message.Member{Address: "z:1"}
	one, two := New("p1"), New("p2")
	one.SetMembers([]message.Member{a, b, c})
	two.SetMembers([]message.Member{c, a, b})
	assert.Equal(t, one.members, two.members)
}
