// Package discovery reads the platform's list of backends over HTTP, and computes and applies the difference between
// two versions of the list.
package discovery

import (
	"time"

	"pumiceline/internal/message"
)

// BackendList is the list of backends as read at one time. Its backends do not change after SetDigest.
type BackendList struct {
	Backends   []message.Backend // in the order of their IDs
	Digest     uint64            // of the backends; see SetDigest
	ObservedAt time.Time         // when the read from the platform began
	Revision   message.BackendsRevision
	Pages      int // pages of the platform's list, one call each; 0 if another process read the list
}

// IsNewerThan reports whether the list replaces other, which may be nil. Lists published under the same lease are
// ordered by their revisions, all others by when they were read.
func (l *BackendList) IsNewerThan(other *BackendList) bool {
	if !other.IsKnown() {
		return true
	}
	if l.Revision.Token != 0 && l.Revision.Token == other.Revision.Token {
		return l.Revision.Number > other.Revision.Number
	}
	return l.ObservedAt.After(other.ObservedAt)
}

// IsKnown reports whether the list was ever read. A nil list was not.
func (l *BackendList) IsKnown() bool { return l != nil && !l.ObservedAt.IsZero() }
