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
	Revision   message.BackendsRevision
	Pages      int // calls to the platform that the reading took; 0 where another process read it
}

// IsNewerThan reports whether the list is to replace other, which may be nil. Lists of one lease holder are ordered by their
// revisions, others by when they were read.
func (l *BackendList) IsNewerThan(other *BackendList) bool {
	if !other.IsKnown() {
		return true
	}
	if l.Revision.Token != 0 && l.Revision.Token == other.Revision.Token {
		return l.Revision.Number > other.Revision.Number
	}
	return l.ObservedAt.After(other.ObservedAt)
}

// IsKnown reports whether the list was ever read; a nil one was not.
func (l *BackendList) IsKnown() bool { return l != nil && !l.ObservedAt.IsZero() }
