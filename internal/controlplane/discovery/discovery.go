// Package discovery reads the platform's list of backends over HTTP, and makes and applies differences between two
// readings of it.
package discovery

import (
	"time"

	"pumiceline/internal/message"
)

// BackendList is the list of backends as it was read at one time. It is not changed after its digest was set.
type BackendList struct {
	Backends   []message.Backend // in the order of their IDs
	Digest     uint64            // of the backends; see SetDigest
	ObservedAt time.Time         // when the reading began
}

// IsKnown reports whether the list was ever read; a nil one was not.
func (l *BackendList) IsKnown() bool { return l != nil && !l.ObservedAt.IsZero() }
