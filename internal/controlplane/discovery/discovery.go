// Package discovery reads the platform's list of backends over HTTP, and makes and applies differences between two
// readings of it.
package discovery

import (
	"time"

	"pumiceline/internal/message"
)

// Table is the list of backends as it was read at one time. It is not changed after its digest was set.
type Table struct {
	Backends   []message.Backend // in the order of their IDs
	Digest     uint64            // of the backends; see SetDigest
	ObservedAt time.Time         // when the reading began
}

// IsKnown reports whether the table was ever read; a nil one was not.
func (t *Table) IsKnown() bool { return t != nil && !t.ObservedAt.IsZero() }
