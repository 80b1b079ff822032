package distribution

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// recordingSubscriber records the responses that it gets.
type recordingSubscriber struct {
	addresses []string
	mutex     sync.Mutex
	members   []message.Member
	applied   chan *message.PollResponse
}

func (s *recordingSubscriber) PollRequest() message.PollRequest {
	return message.PollRequest{Proxies: 1}
}
func (s *recordingSubscriber) Addresses() []string { return s.addresses }
func (s *recordingSubscriber) SetMembers(members []message.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = members
}
func (s *recordingSubscriber) Apply(response *message.PollResponse, _ time.Time) {
	select {
	case s.applied <- response:
	default:
	}
}

// serve makes the hub reachable and returns its address.
func serve(t *testing.T, hub *Hub) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go transport.Serve(listener, func(m *message.Message, reply func(*message.Message)) {
		hub.HandlePoll(string(m.From), *m.PollRequest, reply)
	})
	return listener.Addr().String()
}

func TestPoller_FailsOverToServingHub(t *testing.T) {
	unavailable, serving := newUnavailableHub(t), newServingHub(t)
	serving.SetConfig(message.ConfigUpdate{Sequence: 8})
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddress := closed.Addr().String()
	closed.Close()
	s := &recordingSubscriber{
		addresses: []string{closedAddress, serve(t, unavailable), serve(t, serving)},
		applied:   make(chan *message.PollResponse, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go NewPoller("p", s, time.Millisecond).Run(ctx)
	assert.Equal(t, uint64(8), (<-s.applied).Config.Sequence)
}
