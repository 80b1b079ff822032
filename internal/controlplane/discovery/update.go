package discovery

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pumiceline/internal/message"
)

// SetDigest sorts the backends by ID and sets the digest of their encoding. The digest identifies a list: equal lists
// have the same digest in all processes. It is 0, which stands for no list, only if the encoding fails. SetDigest
// must be called after a list is filled and before it is shared.
func (l *BackendList) SetDigest() {
	slices.SortFunc(l.Backends, func(a, b message.Backend) int { return cmp.Compare(a.ID, b.ID) })
	update := message.BackendUpdate{Backends: l.Backends}
	encoded, err := update.MarshalMsg(nil)
	if err != nil {
		l.Digest = 0
		return
	}
	l.Digest = xxhash.Sum64(encoded) | 1
}

// FullUpdate returns the update to this list for a receiver without a list.
func (l *BackendList) FullUpdate() *message.BackendUpdate {
	return &message.BackendUpdate{Digest: l.Digest, Backends: l.Backends}
}

// UpdateSince returns the update to this list for a receiver that has the older list base.
func (l *BackendList) UpdateSince(base *BackendList) *message.BackendUpdate {
	update := &message.BackendUpdate{Digest: l.Digest, Base: base.Digest}
	before := map[message.BackendID]*message.Backend{}
	for i := range base.Backends {
		before[base.Backends[i].ID] = &base.Backends[i]
	}
	for i := range l.Backends {
		backend := &l.Backends[i]
		if old, ok := before[backend.ID]; !ok || !isEqual(old, backend) {
			update.Backends = append(update.Backends, *backend)
		}
		delete(before, backend.ID)
	}
	for id := range before {
		update.Removed = append(update.Removed, id)
	}
	return update
}

// isEqual compares the encodings, as receivers get only these. The encoding does not contain the warm-up time, so a
// change of it alone is no change.
func isEqual(a, b *message.Backend) bool {
	encodedA, errA := a.MarshalMsg(nil)
	encodedB, errB := b.MarshalMsg(nil)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// ApplyUpdate applies an update to base, which may be nil. ok is false if the update builds on another list, or if
// the digest of the result differs from the one in the update: the receiver must then request a full update. The
// result has no ObservedAt yet.
func ApplyUpdate(base *BackendList, update *message.BackendUpdate) (list *BackendList, ok bool) {
	if update.Base == 0 {
		return &BackendList{Backends: update.Backends, Digest: update.Digest}, true
	}
	if base == nil || base.Digest != update.Base {
		return nil, false
	}
	next := &BackendList{}
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
