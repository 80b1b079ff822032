package coordinator

import (
	"sync/atomic"

	"pumiceline/internal/message"
)

// Bounds of an inbox.
const (
	inboxLength   = 1024
	maxInboxBytes = 16 << 20 // of the messages as they arrived; one larger message is taken when the inbox is empty
)

// inbox holds the messages that wait for a state machine's loop. Any goroutine may add messages; the loop takes them from
// messages and reports each by taken.
type inbox struct {
	messages chan *message.Message
	bytes    atomic.Int64
}

func newInbox() *inbox { return &inbox{messages: make(chan *message.Message, inboxLength)} }

// offer adds a message. If the inbox is full, the message is dropped, as on a congested network.
func (i *inbox) offer(m *message.Message) {
	size := int64(m.EncodedBytes)
	if queued := i.bytes.Add(size); queued > maxInboxBytes && queued > size {
		i.bytes.Add(-size)
		return
	}
	select {
	case i.messages <- m:
	default:
		i.bytes.Add(-size)
	}
}

// put adds a message of this process, and waits while the inbox is full.
func (i *inbox) put(m *message.Message) {
	i.bytes.Add(int64(m.EncodedBytes))
	i.messages <- m
}

// taken reports that a message was taken.
func (i *inbox) taken(m *message.Message) { i.bytes.Add(-int64(m.EncodedBytes)) }
