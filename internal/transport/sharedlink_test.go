package transport

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// sharedLink relays connections to a server. What the server sends shares a bandwidth.
type sharedLink struct {
	server         string
	bytesPerSecond int

	mutex sync.Mutex // held while a chunk is on the link
}

const linkChunkBytes = 4 << 10

func (l *sharedLink) run(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.relay(client)
	}
}

func (l *sharedLink) relay(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		_, _ = io.Copy(server, client)
		server.Close()
	}()
	chunk := make([]byte, linkChunkBytes)
	for {
		n, err := server.Read(chunk)
		if err != nil {
			return
		}
		l.mutex.Lock()
		time.Sleep(time.Duration(n) * time.Second / time.Duration(l.bytesPerSecond))
		l.mutex.Unlock()
		if _, err := client.Write(chunk[:n]); err != nil {
			return
		}
	}
}

// The first responses to the proxies of a large deployment, with the whole configuration, take longer than the time-out
// of a poll over the link of a coordinator. They must arrive all the same, or each poll begins them anew for ever.
func TestClient_LargeResponsesOverSharedLinkArrive(t *testing.T) {
	const clients, documentBytes, bytesPerSecond = 20, 100_000, 1_000_000 // the link needs 2 s for all
	const timeout = 400 * time.Millisecond
	backend := listen(t)
	document := make([]byte, documentBytes)
	go Serve(backend, func(m *message.Message, reply func(*message.Message)) {
		update := &message.ConfigUpdate{Sequence: 1, Document: document}
		reply(&message.Message{PollResponse: &message.PollResponse{ID: m.PollRequest.ID, Config: update}})
	})
	listener := listen(t)
	link := &sharedLink{server: backend.Addr().String(), bytesPerSecond: bytesPerSecond}
	go link.run(listener)

	ctx, cancel := context.WithTimeout(context.Background(), 3*clients*documentBytes/bytesPerSecond*time.Second)
	defer cancel()
	var polls sync.WaitGroup
	for range clients {
		polls.Go(func() {
			response, err := pollUntilAnswered(ctx, listener.Addr().String(), timeout)
			if assert.NoError(t, err) {
				assert.Len(t, response.Config.Document, documentBytes)
			}
		})
	}
	polls.Wait()
}

// pollUntilAnswered polls an address again and again, as a proxy does.
func pollUntilAnswered(ctx context.Context, address string, timeout time.Duration) (*message.PollResponse, error) {
	client := NewClient()
	for {
		response, err := client.Poll(ctx, address, "p", message.PollRequest{}, timeout)
		if err == nil || ctx.Err() != nil {
			return response, err
		}
	}
}

// A response that stops in the middle must not hold up its subscriber.
func TestClient_StalledResponseTimesOut(t *testing.T) {
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte{0, 0, 1}) // a part of the length
	}()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err := NewClient().Poll(ctx, listener.Addr().String(), "p", message.PollRequest{}, pollTimeout)
	require.Error(t, err)
	require.NoError(t, ctx.Err())
}

func TestStallWatch_TimeLeft(t *testing.T) {
	const ms, began = time.Millisecond, time.Minute
	watch := &stallWatch{began: began, timeout: 400 * ms}
	for _, c := range []struct {
		name                string
		received, now, want time.Duration
	}{
		{"nothing has arrived", 0, began + 300*ms, 100 * ms},
		{"nothing has arrived since the beginning", began - ms, began + 400*ms, 0},
		{"the response has begun", began + 300*ms, began + 400*ms, maxResponsePause - 100*ms},
		{"the response has paused for too long", began + 300*ms, began + 300*ms + maxResponsePause, 0},
		{"the response takes too long", began + maxResponseTime, began + maxResponseTime, 0},
	} {
		assert.Equal(t, c.want, watch.timeLeft(c.received, c.now), c.name)
	}
}
