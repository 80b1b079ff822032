package transport

import (
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// Sizes of replies that are not read.
const (
	unreadReplies    = 200
	unreadReplyBytes = 1 << 20
)

// A peer that sends requests and does not read the replies does not make the process hold them.
func TestServe_UnreadRepliesHaveBoundedMemory(t *testing.T) {
	listener := listen(t)
	document := make([]byte, unreadReplyBytes)
	go Serve(listener, func(_ *message.Message, reply func(*message.Message)) {
		go reply(&message.Message{PollResponse: &message.PollResponse{Config: &message.ConfigUpdate{Document: document}}})
	})
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	request, err := Encode(&message.Message{PollRequest: &message.PollRequest{}})
	require.NoError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range unreadReplies {
		if _, err := conn.Write(request); err != nil {
			break
		}
	}
	time.Sleep(100 * time.Millisecond) // replies are under way, or wait
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(unreadReplies*unreadReplyBytes/4))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	for err == nil {
		_, err = conn.Read(make([]byte, 64<<10))
	}
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is closed")
}
