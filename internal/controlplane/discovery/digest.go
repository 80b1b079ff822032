package discovery

import (
	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/message"
)

// digest tells lists of different content apart.
func digest(backends []message.Backend) uint64 {
	update := message.BackendUpdate{Backends: backends}
	text, err := update.MarshalMsg(nil)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(text) | 1 // never 0, which stands for no list
}

// SetDigest brings the digest up to date after the backends were changed.
func (t *Table) SetDigest() { t.Digest = digest(t.Backends) }

// FromUpdate makes a table of a list that another process has read.
func FromUpdate(update *message.BackendUpdate) *Table {
	return &Table{Backends: update.Backends, Digest: update.Digest}
}
