package discovery

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/message"
)

// SetDigest puts the backends in the order of their ids and brings the digest up to date.
func (t *Table) SetDigest() {
	slices.SortFunc(t.Backends, func(a, b message.Backend) int { return cmp.Compare(a.ID, b.ID) })
	update := message.BackendUpdate{Backends: t.Backends}
	text, err := update.MarshalMsg(nil)
	if err != nil {
		t.Digest = 0
		return
	}
	t.Digest = xxhash.Sum64(text) | 1 // never 0, which stands for no list
}

// Whole makes an update of the whole table.
func (t *Table) Whole() *message.BackendUpdate {
	return &message.BackendUpdate{Digest: t.Digest, Backends: t.Backends}
}

// Since makes an update for who has the older table base.
func (t *Table) Since(base *Table) *message.BackendUpdate {
	update := &message.BackendUpdate{Digest: t.Digest, Base: base.Digest}
	before := map[message.BackendID]*message.Backend{}
	for i := range base.Backends {
		before[base.Backends[i].ID] = &base.Backends[i]
	}
	for i := range t.Backends {
		backend := &t.Backends[i]
		if old, ok := before[backend.ID]; !ok || !same(old, backend) {
			update.Backends = append(update.Backends, *backend)
		}
		delete(before, backend.ID)
	}
	for id := range before {
		update.Removed = append(update.Removed, id)
	}
	return update
}

func same(a, b *message.Backend) bool {
	x, errX := a.MarshalMsg(nil)
	y, errY := b.MarshalMsg(nil)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

// Apply makes the table that an update tells of; base is the table at hand, and may be nil. ok is false where the
// update builds on another table, or does not lead to the one that it names: the whole list must be asked for.
func Apply(base *Table, update *message.BackendUpdate) (table *Table, ok bool) {
	if update.Base == 0 {
		return &Table{Backends: update.Backends, Digest: update.Digest}, true
	}
	if base == nil || base.Digest != update.Base {
		return nil, false
	}
	next := &Table{}
	changed := map[message.BackendID]bool{}
	for _, backend := range update.Backends {
		changed[backend.ID] = true
	}
	for _, backend := range base.Backends {
		if !changed[backend.ID] && !slices.Contains(update.Removed, backend.ID) {
			next.Backends = append(next.Backends, backend)
		}
	}
	next.Backends = append(next.Backends, update.Backends...)
	next.SetDigest()
	return next, next.Digest == update.Digest
}
