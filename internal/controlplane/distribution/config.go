package distribution

import (
	"bytes"
	"crypto/sha256"

	"pumiceline/internal/delta"
	"pumiceline/internal/message"
)

const (
	keptConfigs = 16       // earlier configurations from which differences are made
	maxDocument = 16 << 20 // no configuration is larger
)

func digestOf(document []byte) []byte {
	sum := sha256.Sum256(document)
	return sum[:16]
}

// configHistory is the hub's: the newest configuration and those before it.
type configHistory struct {
	recent  []message.ConfigUpdate // the newest last
	updates map[uint64]*message.ConfigUpdate
}

func (h *configHistory) newest() uint64 {
	if len(h.recent) == 0 {
		return 0
	}
	return h.recent[len(h.recent)-1].Sequence
}

// put takes a configuration; an older one than the newest is passed over.
func (h *configHistory) put(update message.ConfigUpdate) bool {
	if len(h.recent) > 0 && update.Sequence <= h.newest() {
		return false
	}
	h.recent = append(h.recent, update)
	h.recent = h.recent[max(0, len(h.recent)-1-keptConfigs):]
	h.updates = map[uint64]*message.ConfigUpdate{}
	return true
}

// updateFrom returns the update for who has the configuration of a sequence: a difference where that is known and worth
// it, else the whole. One is made for all that ask.
func (h *configHistory) updateFrom(sequence uint64) *message.ConfigUpdate {
	if made := h.updates[sequence]; made != nil {
		return made
	}
	whole := h.recent[len(h.recent)-1]
	update := &whole
	for i := range h.recent[:len(h.recent)-1] {
		if h.recent[i].Sequence != sequence {
			continue
		}
		difference := delta.Make(h.recent[i].Document, whole.Document)
		if len(difference) < len(whole.Document) {
			update = &message.ConfigUpdate{Sequence: whole.Sequence, Base: sequence, Delta: difference, Digest: digestOf(whole.Document)}
		}
	}
	h.updates[sequence] = update
	return update
}

// ConfigCopy is a subscriber's copy of the configuration. It never goes backward.
type ConfigCopy struct {
	sequence uint64
	document []byte
	spoilt   bool // a difference did not fit: the whole is asked for
}

// Known is the sequence to tell when asking for news.
func (c *ConfigCopy) Known() uint64 {
	if c.spoilt {
		return 0
	}
	return c.sequence
}

// Sequence is that of the configuration that is held; 0: none is.
func (c *ConfigCopy) Sequence() uint64 { return c.sequence }

// Take takes an update and returns the whole document where it is newer than what is held.
func (c *ConfigCopy) Take(update *message.ConfigUpdate) (document []byte, newer bool) {
	if update == nil || update.Sequence <= c.sequence {
		return nil, false
	}
	document = update.Document
	if len(update.Delta) > 0 {
		made, err := delta.Apply(c.document, update.Delta, maxDocument)
		if update.Base != c.sequence || err != nil || !bytes.Equal(digestOf(made), update.Digest) {
			c.spoilt = true
			return nil, false
		}
		document = made
	}
	c.sequence, c.document, c.spoilt = update.Sequence, document, false
	return document, true
}
