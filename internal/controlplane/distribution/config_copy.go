package distribution

import (
	"bytes"

	"pumiceline/internal/delta"
	"pumiceline/internal/message"
)

// maxExpandedBytes bounds the size of the document that a delta expands to, in case the delta is malformed.
// Configurations are smaller: coordinators accept up to replica.MaxDocumentBytes.
const maxExpandedBytes = 16 << 20

// ConfigCopy is a subscriber's copy of the committed configuration. Its sequence never decreases. The zero value is
// empty. It is not safe for concurrent use.
type ConfigCopy struct {
	sequence  uint64
	document  []byte
	needsFull bool // a delta did not apply: the full document is requested next
}

// KnownSequence is the sequence to send with the next poll. 0 requests the full document.
func (c *ConfigCopy) KnownSequence() uint64 {
	if c.needsFull {
		return 0
	}
	return c.sequence
}

// Sequence is the sequence of the configuration in the copy; 0: there is none.
func (c *ConfigCopy) Sequence() uint64 { return c.sequence }

// Apply applies an update, which may be nil, and returns the full document if it is newer than the copy. A delta that
// does not apply leaves the copy as it is, and the full document is requested next.
func (c *ConfigCopy) Apply(update *message.ConfigUpdate) (document []byte, isNewer bool) {
	if update == nil || update.Sequence <= c.sequence {
		return nil, false
	}
	document = update.Document
	if len(update.Delta) > 0 {
		expanded, err := delta.Apply(c.document, update.Delta, maxExpandedBytes)
		if update.Base != c.sequence || err != nil || !bytes.Equal(message.DocumentDigest(expanded), update.Digest) {
			c.needsFull = true
			return nil, false
		}
		document = expanded
	}
	c.sequence, c.document, c.needsFull = update.Sequence, document, false
	return document, true
}
