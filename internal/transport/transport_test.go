package transport

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// listen opens a loopback listener that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

func TestDecode_RejectsIncompleteFrames(t *testing.T) {
	frame, err := Encode(&message.Message{From: "a", ConfirmRequest: &message.ConfirmRequest{RequestID: 7}})
	require.NoError(t, err)
	m, err := Decode(bytes.NewReader(frame))
	require.NoError(t, err)
	assert.Equal(t, uint64(7), m.ConfirmRequest.RequestID)
	assert.Nil(t, m.ConfirmResponse)
	for cut := range frame {
		_, err := Decode(bytes.NewReader(frame[:cut]))
		assert.Error(t, err, "cut at %d", cut)
	}
	_, err = Decode(bytes.NewReader([]byte{255, 255, 255, 255}))
	assert.ErrorContains(t, err, "a frame of")
	assert.ErrorIs(t, err, ErrFrameTooLarge)
}

func FuzzDecode(f *testing.F) {
	frame, err := Encode(&message.Message{From: "a", PollRequest: &message.PollRequest{ID: 1}})
	require.NoError(f, err)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if m, err := Decode(bytes.NewReader(encoded)); (m == nil) == (err == nil) {
			t.Fatal("Decode must return either a message or an error")
		}
	})
}

func TestSender_DeliversToServer(t *testing.T) {
	listener := listen(t)
	received := make(chan *message.Message, 1)
	go Serve(listener, func(m *message.Message, _ func(*message.Message)) { received <- m })
	NewSender(nil).Send(listener.Addr().String(), &message.Message{From: "a", JoinRequest: &message.JoinRequest{}})
	assert.NotNil(t, (<-received).JoinRequest)
}

func TestClient_PollEndsWithConnection(t *testing.T) {
	listener := listen(t)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := Decode(conn); err == nil {
			conn.Close()
		}
	}()
	_, err := NewClient().Poll(context.Background(), listener.Addr().String(), "p", message.PollRequest{}, time.Minute)
	assert.ErrorIs(t, err, ErrDisconnected)
}

// The peer responds to the first query, which is canceled by then, only after it has read the second. This late
// response must not be delivered to the second query.
func TestLoadQuery_LateResponseIsDropped(t *testing.T) {
	listener := listen(t)
	var first *message.LoadReport
	go Serve(listener, func(m *message.Message, reply func(*message.Message)) {
		if first == nil {
			first = m.LoadReport
			return
		}
		for _, report := range []*message.LoadReport{first, m.LoadReport} {
			loads := []message.BackendLoad{{Backend: message.BackendID(report.Model)}}
			reply(&message.Message{LoadResponse: &message.LoadResponse{ID: report.ID, Loads: loads}})
		}
	})
	address := listener.Addr().String()
	client := NewClient()
	_, err := client.QueryLoads(address, "p", message.LoadReport{})
	require.ErrorIs(t, err, ErrDisconnected, "QueryLoads must not open a connection")
	require.NoError(t, client.Connect(address))
	early, err := client.QueryLoads(address, "p", message.LoadReport{Model: "m1"})
	require.NoError(t, err)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = early.Wait(canceled)
	require.ErrorIs(t, err, context.Canceled)
	later, err := client.QueryLoads(address, "p", message.LoadReport{Model: "m2"})
	require.NoError(t, err)
	response, err := later.Wait(context.Background())
	require.NoError(t, err)
	require.Len(t, response.Loads, 1)
	assert.Equal(t, message.BackendID("m2"), response.Loads[0].Backend)
	assert.True(t, client.IsConnected(address))
	client.Disconnect()
	assert.False(t, client.IsConnected(address))
}

// Other calls must not block while a frame is being written to a peer that does not read.
func TestClient_IsConnectedDuringSlowWrite(t *testing.T) {
	listener := listen(t)
	client := NewClient()
	require.NoError(t, client.Connect(listener.Addr().String()))
	client.writeMutex.Lock() // as write does for up to writeTimeout
	defer client.writeMutex.Unlock()
	done := make(chan bool, 1)
	go func() { done <- client.IsConnected(listener.Addr().String()) }()
	assert.True(t, <-done)
	client.Disconnect()
	assert.False(t, client.IsConnected(listener.Addr().String()))
}

// Concurrent requests that find no open connection must open only one.
func TestClient_ConcurrentConnectsShareAConnection(t *testing.T) {
	listener := listen(t)
	accepted := make(chan net.Conn, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := NewClient()
	var connecting sync.WaitGroup
	for range 8 {
		connecting.Go(func() { assert.NoError(t, client.Connect(listener.Addr().String())) })
	}
	connecting.Wait()
	first := <-accepted
	defer first.Close()
	assert.Empty(t, accepted)
	client.Disconnect()
}
