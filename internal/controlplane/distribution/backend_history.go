package distribution

import (
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/message"
)

// maxBackendHistory is how many earlier lists of backends the hub keeps to make updates from. A subscriber that is
// further behind gets the full list.
const maxBackendHistory = 24

// backendHistory holds the newest list of backends and those before it.
type backendHistory struct {
	newest  *discovery.BackendList
	earlier []*discovery.BackendList          // the latest last
	updates map[uint64]*message.BackendUpdate // to the newest, by the digest that they build on
}

// set sets the newest list and reports whether it is newer than the one before. It ignores a list that is not.
func (h *backendHistory) set(list *discovery.BackendList) (isNewer bool) {
	if !list.IsNewerThan(h.newest) {
		return false
	}
	isChanged := !h.newest.IsKnown() || h.newest.Digest != list.Digest
	if isChanged && h.newest.IsKnown() {
		h.earlier = append(h.earlier, h.newest)
		h.earlier = h.earlier[max(0, len(h.earlier)-maxBackendHistory):]
	}
	if isChanged {
		h.updates = map[uint64]*message.BackendUpdate{}
	}
	h.newest = list
	return true
}

// updateFrom returns the update for a subscriber that has the list with the given digest, or the full list if that
// one is not kept any more. Each update is built once and shared by all subscribers.
func (h *backendHistory) updateFrom(digest uint64) *message.BackendUpdate {
	if cached := h.updates[digest]; cached != nil {
		return cached
	}
	update := h.newest.FullUpdate()
	for _, earlier := range h.earlier {
		if earlier.Digest == digest {
			update = h.newest.UpdateSince(earlier)
		}
	}
	h.updates[digest] = update
	return update
}
