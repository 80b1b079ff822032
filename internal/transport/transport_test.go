package transport

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func TestAFrameIsReadBackAndNothingElseIs(t *testing.T) {
	frame, err := Encode(&message.Message{From: "a", Confirm: &message.Confirm{Round: 7}})
	require.NoError(t, err)
	m, err := Decode(bytes.NewReader(frame))
	require.NoError(t, err)
	assert.Equal(t, uint64(7), m.Confirm.Round)
	assert.Nil(t, m.Confirmed)
	for cut := range frame {
		_, err := Decode(bytes.NewReader(frame[:cut]))
		assert.Error(t, err, "cut at %d", cut)
	}
	_, err = Decode(bytes.NewReader([]byte{255, 255, 255, 255}))
	assert.ErrorContains(t, err, "a frame of")
}

func FuzzDecode(f *testing.F) {
	frame, err := Encode(&message.Message{From: "a", Pull: &message.Pull{ID: 1}})
	require.NoError(f, err)
	f.Add(frame)
	f.Fuzz(func(t *testing.T, text []byte) {
		if m, err := Decode(bytes.NewReader(text)); (m == nil) == (err == nil) {
			t.Fatal("a message or an error, not both")
		}
	})
}

func TestSenderAndServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	got := make(chan *message.Message, 1)
	go Serve(listener, func(m *message.Message, _ func(*message.Message)) { got <- m })
	NewSender(nil).Send(listener.Addr().String(), &message.Message{From: "a", Join: &message.Join{}})
	assert.NotNil(t, (<-got).Join)
}

func TestABrokenConnectionEndsItsCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := Decode(conn); err == nil {
			conn.Close()
		}
	}()
	_, err = NewClient().Pull(context.Background(), listener.Addr().String(), "p", message.Pull{})
	assert.ErrorIs(t, err, ErrDisconnected)
}
