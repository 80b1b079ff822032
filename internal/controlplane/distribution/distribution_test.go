package distribution

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

func newTestHub(t *testing.T, available bool) *Hub {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	hub := NewHub()
	status := Status{Members: []message.Member{{Address: "m"}}}
	if available {
		status.Until = time.Now().Add(time.Hour)
	}
	hub.SetStatus(status)
	go hub.Run(ctx)
	return hub
}

func pull(t *testing.T, hub *Hub, from string, request message.PollRequest) *message.PollResponse {
	t.Helper()
	answer := make(chan *message.Message, 1)
	hub.HandlePull(from, request, func(m *message.Message) { answer <- m })
	return (<-answer).PollResponse
}

func table(id message.BackendID, observed time.Time) *discovery.Table {
	t := &discovery.Table{Observed: observed, Backends: []message.Backend{{ID: id, Service: "s", Address: "a"}}}
	t.SetDigest()
	return t
}

func TestAPullGetsOnlyWhatItLacks(t *testing.T) {
	hub := newTestHub(t, true)
	hub.SetConfig(message.ConfigUpdate{Sequence: 3, Document: []byte("c")})
	hub.SetTable(table("b", time.Now()))
	first := pull(t, hub, "p", message.PollRequest{})
	require.NotNil(t, first.Config)
	require.NotNil(t, first.Backends)
	second := pull(t, hub, "p", message.PollRequest{ConfigSequence: 3, BackendDigest: first.Backends.Digest})
	assert.Nil(t, second.Config)
	assert.Nil(t, second.Backends)
	assert.True(t, second.BackendsKnown)
}

func TestAHeldPullIsAnsweredByNews(t *testing.T) {
	hub := newTestHub(t, true)
	answer := make(chan *message.Message, 1)
	hub.HandlePull("p", message.PollRequest{MaxWaitMs: 60_000}, func(m *message.Message) { answer <- m })
	hub.SetConfig(message.ConfigUpdate{Sequence: 1})
	assert.Equal(t, uint64(1), (<-answer).PollResponse.Config.Sequence)
}

func TestAMemberWithoutMajoritySendsAway(t *testing.T) {
	reply := pull(t, newTestHub(t, false), "p", message.PollRequest{MaxWaitMs: 60_000})
	assert.True(t, reply.Unavailable)
	assert.Equal(t, "m", reply.Members[0].Address)
}

// A process that stood still, or that was cut off, finds its time to serve over by the clock, whatever it was told last.
func TestAMemberServesNoLongerThanItWasConfirmed(t *testing.T) {
	hub := newTestHub(t, true)
	hub.SetConfig(message.ConfigUpdate{Sequence: 1})
	assert.NotNil(t, pull(t, hub, "p", message.PollRequest{}).Config)
	hub.SetStatus(Status{Until: time.Now().Add(-time.Millisecond)})
	reply := pull(t, hub, "p", message.PollRequest{})
	assert.True(t, reply.Unavailable)
	assert.Nil(t, reply.Config)
}

// Who has an earlier configuration gets what changed, and asks for the whole where that does not fit.
func TestConfigurationsTravelAsDifferences(t *testing.T) {
	hub := newTestHub(t, true)
	routes := strings.Repeat(`{"name":"route","host":"h.example","pathStart":"/a/"},`, 100)
	first := message.ConfigUpdate{Sequence: 1, Document: []byte(`{"version":1,"routes":[` + routes + `]}`)}
	second := message.ConfigUpdate{Sequence: 2, Document: []byte(`{"version":2,"routes":[` + routes + `]}`)}
	hub.SetConfig(first)
	var copied ConfigCopy
	document, newer := copied.Take(pull(t, hub, "p", message.PollRequest{}).Config)
	require.True(t, newer)
	assert.Equal(t, first.Document, document)
	hub.SetConfig(second)
	update := pull(t, hub, "p", message.PollRequest{ConfigSequence: copied.Known()}).Config
	assert.Empty(t, update.Document)
	assert.Less(t, len(update.Delta), 100)

	spoilt := ConfigCopy{sequence: 1, document: []byte("other")}
	_, newer = spoilt.Take(update)
	assert.False(t, newer)
	assert.Equal(t, uint64(1), spoilt.Sequence(), "what it has stays in force")
	document, newer = spoilt.Take(pull(t, hub, "p", message.PollRequest{ConfigSequence: spoilt.Known()}).Config)
	assert.True(t, newer)
	assert.Equal(t, second.Document, document)

	document, newer = copied.Take(update)
	require.True(t, newer)
	assert.Equal(t, second.Document, document)
	_, newer = copied.Take(&first)
	assert.False(t, newer, "it never goes backward")
}

func TestNothingGoesBackward(t *testing.T) {
	hub := newTestHub(t, true)
	now := time.Now()
	hub.SetConfig(message.ConfigUpdate{Sequence: 5})
	hub.SetConfig(message.ConfigUpdate{Sequence: 4})
	hub.SetTable(table("new", now))
	hub.SetTable(table("old", now.Add(-time.Second)))
	reply := pull(t, hub, "p", message.PollRequest{})
	assert.Equal(t, uint64(5), reply.Config.Sequence)
	assert.Equal(t, message.BackendID("new"), reply.Backends.Backends[0].ID)
}

func TestDemandAndLoadsAreSummedOverSources(t *testing.T) {
	hub := newTestHub(t, true)
	for _, from := range []string{"p", "q"} {
		pull(t, hub, from, message.PollRequest{
			Proxies: 1, Demand: []message.ModelDemand{{Service: "s", Model: "m", Arrivals: 2, Waiting: 1}},
			Loads: []message.BackendLoad{{Backend: "b", Running: 3}},
		})
	}
	demand, loads, proxies := hub.TakeDemand()
	assert.Equal(t, []message.ModelDemand{{Service: "s", Model: "m", Arrivals: 4, Waiting: 2}}, demand)
	assert.Equal(t, []message.BackendLoad{{Backend: "b", Running: 6}}, loads)
	assert.Equal(t, 2, proxies)
	demand, _, _ = hub.TakeDemand()
	assert.Equal(t, []message.ModelDemand{{Service: "s", Model: "m", Waiting: 2}}, demand, "arrivals are taken once")
}

// subscriber notes what it gets.
type subscriber struct {
	addresses []string
	mutex     sync.Mutex
	members   []message.Member
	applied   chan *message.PollResponse
}

func (s *subscriber) Versions() message.PollRequest { return message.PollRequest{Proxies: 1} }
func (s *subscriber) Addresses() []string           { return s.addresses }
func (s *subscriber) SetMembers(members []message.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = members
}
func (s *subscriber) Apply(reply *message.PollResponse, _ time.Time) {
	select {
	case s.applied <- reply:
	default:
	}
}

func serve(t *testing.T, hub *Hub) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(m *message.Message, reply func(*message.Message)) {
		hub.HandlePull(string(m.From), *m.PollRequest, reply)
	})
	return listener.Addr().String()
}

func TestAPullerGoesOnToOneThatCanAnswer(t *testing.T) {
	cutOff, well := newTestHub(t, false), newTestHub(t, true)
	well.SetConfig(message.ConfigUpdate{Sequence: 8})
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	deadAddress := dead.Addr().String()
	dead.Close()
	s := &subscriber{addresses: []string{deadAddress, serve(t, cutOff), serve(t, well)}, applied: make(chan *message.PollResponse, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go NewPuller("p", s, time.Millisecond).Run(ctx)
	assert.Equal(t, uint64(8), (<-s.applied).Config.Sequence)
}

func TestLoadsAreToldAsDifferences(t *testing.T) {
	hub := newTestHub(t, true)
	tell := func(running ...int) {
		var loads []message.BackendLoad
		for i, count := range running {
			if count > 0 {
				loads = append(loads, message.BackendLoad{Backend: message.BackendID(rune('a' + i)), Running: count})
			}
		}
		pull(t, hub, "other", message.PollRequest{Loads: loads})
	}
	var follower Loads
	follow := func(has uint64) (told int, running map[message.BackendID]int) {
		reply := pull(t, hub, "me", message.PollRequest{LoadVersion: has})
		running = map[message.BackendID]int{}
		for _, load := range follower.Take(reply) {
			running[load.Backend] = load.Running
		}
		return len(reply.TotalLoads), running
	}
	tell(10, 20, 30)
	told, running := follow(0)
	assert.Equal(t, 3, told)
	assert.Equal(t, map[message.BackendID]int{"a": 10, "b": 20, "c": 30}, running)
	tell(10, 21, 0)
	told, running = follow(follower.Version())
	assert.Equal(t, 1, told, "a small change is not told, an end is")
	assert.Equal(t, map[message.BackendID]int{"a": 10, "b": 20}, running)
	tell(10, 30, 5)
	told, running = follow(7)
	assert.Equal(t, 3, told, "one that missed an answer gets all")
	assert.Equal(t, map[message.BackendID]int{"a": 10, "b": 30, "c": 5}, running)
}
