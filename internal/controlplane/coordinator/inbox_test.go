package coordinator

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/message"
)

// Large messages that wait do not take memory without a bound; small ones are taken up to the length of the inbox.
func TestInbox_BoundsBytes(t *testing.T) {
	i := newInbox()
	for range 2 * inboxLength {
		i.offer(&message.Message{EncodedBytes: maxInboxBytes / 4})
	}
	assert.Len(t, i.messages, 4)
	for range 4 {
		i.taken(<-i.messages)
	}
	i.offer(&message.Message{EncodedBytes: 2 * maxInboxBytes})
	assert.Len(t, i.messages, 1, "one larger message is taken")
	i.taken(<-i.messages)
	for range 2 * inboxLength {
		i.offer(&message.Message{EncodedBytes: 1})
	}
	assert.Len(t, i.messages, inboxLength)
}
