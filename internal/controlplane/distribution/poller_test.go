package distribution

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

// recordingSubscriber records the responses that it gets.
type recordingSubscriber struct {
	addresses []string
	mutex     sync.Mutex
	members   []message.Member
	applied   chan *message.PollResponse
	outcome   Outcome
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
func (s *recordingSubscriber) Apply(response *message.PollResponse, _ time.Time) Outcome {
	if response.Unavailable {
		return OutcomeSame
	}
	select {
	case s.applied <- response:
	default:
	}
	return s.outcome
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
	go NewPoller("p", s, discovery.NewBudget(time.Second)).Run(ctx)
	assert.Equal(t, uint64(8), (<-s.applied).Config.Sequence)
}

// answerAtOnce serves polls on loopback with a response each, at once, and returns the address and the times of polls.
func answerAtOnce(t *testing.T, response message.PollResponse) (address string, polls chan time.Time) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	polls = make(chan time.Time, 100)
	go transport.Serve(listener, func(m *message.Message, reply func(*message.Message)) {
		select {
		case polls <- time.Now():
		default:
		}
		answer := response
		answer.ID = m.PollRequest.ID
		reply(&message.Message{PollResponse: &answer})
	})
	return listener.Addr().String(), polls
}

// A server, perhaps of an earlier build, that answers each poll at once with nothing newer is not polled without a pause.
func TestPoller_PausesAfterAnswerWithNothingNewer(t *testing.T) {
	address, polls := answerAtOnce(t, message.PollResponse{})
	s := &recordingSubscriber{addresses: []string{address}, applied: make(chan *message.PollResponse, 1), outcome: OutcomeSame}
	go NewPoller("p", s, discovery.NewBudget(time.Second)).Run(t.Context())
	first := <-polls
	for range 4 {
		<-polls
	}
	assert.GreaterOrEqual(t, time.Since(first), 4*minRepeatInterval*9/10)
}

// A subscriber whose list is too old polls the other servers.
func TestPoller_FailsOverWhileStale(t *testing.T) {
	first, polls := answerAtOnce(t, message.PollResponse{})
	second, otherPolls := answerAtOnce(t, message.PollResponse{})
	s := &recordingSubscriber{addresses: []string{first, second}, applied: make(chan *message.PollResponse, 1), outcome: OutcomeStale}
	poller := NewPoller("p", s, discovery.NewBudget(4*time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		poller.Run(ctx)
		close(ended)
	}()
	<-polls
	<-otherPolls
	<-polls
	cancel()
	<-ended
}
