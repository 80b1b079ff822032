package distribution

import (
	"pumiceline/internal/delta"
	"pumiceline/internal/message"
)

// maxConfigHistory is how many earlier configurations the hub keeps to make deltas from. A subscriber that is further
// behind gets the full document.
const maxConfigHistory = 16

// configHistory holds the newest committed configuration and those before it.
type configHistory struct {
	recent  []message.ConfigUpdate           // the newest last
	updates map[uint64]*message.ConfigUpdate // to the newest, by the sequence that they build on
}

// newestSequence is 0 while no configuration is known.
func (h *configHistory) newestSequence() uint64 {
	if len(h.recent) == 0 {
		return 0
	}
	return h.recent[len(h.recent)-1].Sequence
}

// add appends a configuration and reports whether it is newer than all before it. It ignores one that is not newer.
func (h *configHistory) add(update message.ConfigUpdate) bool {
	if len(h.recent) > 0 && update.Sequence <= h.newestSequence() {
		return false
	}
	h.recent = append(h.recent, update)
	h.recent = h.recent[max(0, len(h.recent)-1-maxConfigHistory):]
	h.updates = map[uint64]*message.ConfigUpdate{}
	return true
}

// updateFrom returns the update for a subscriber that has the configuration with the given sequence: a delta if that
// configuration is still kept and the delta is smaller, else the full document. Each update is built once and shared
// by all subscribers.
func (h *configHistory) updateFrom(sequence uint64) *message.ConfigUpdate {
	if cached := h.updates[sequence]; cached != nil {
		return cached
	}
	newest := h.recent[len(h.recent)-1]
	update := &newest
	for i := range h.recent[:len(h.recent)-1] {
		if h.recent[i].Sequence != sequence {
			continue
		}
		difference := delta.Make(h.recent[i].Document, newest.Document)
		if len(difference) < len(newest.Document) {
			update = &message.ConfigUpdate{
				Sequence: newest.Sequence, Base: sequence, Delta: difference, Digest: message.DocumentDigest(newest.Document),
			}
		}
	}
	h.updates[sequence] = update
	return update
}
