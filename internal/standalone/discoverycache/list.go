package discoverycache

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"pumiceline/internal/standalone/discovery"
)

// maxChanges is how many changes are kept. A watcher that is further behind gets the complete list.
const maxChanges = 4096

// Errors of List.Apply.
var (
	// ErrStale means that an update is older than the list. Applying it would undo drains that are already in the list.
	ErrStale        = errors.New("update is older than the cached list")
	errNoBase       = errors.New("update is incremental and no list is cached")
	errDeletedEntry = errors.New("complete list has a deleted entry")
)

// List is the endpoint list as it was received last, with the latest changes. It does no I/O and is not safe for
// concurrent use.
//
// The list has its own versions: each change of an entry is one version. They start above those of any earlier process
// at the same address, so that a client that sends a version of an earlier process gets the complete list.
type List struct {
	baseVersion      uint64 // the version before the first of changes
	discoveryVersion uint64 // the version of discovery that this is a copy of
	loaded           bool
	entries          []entry // in the order of their first appearance
	changes          []json.RawMessage
}

// entry is a backend on the list.
type entry struct {
	name    string
	deleted bool            // never set in List.entries
	raw     json.RawMessage // byte for byte as discovery sent it
}

// NewList returns an empty list whose versions start after baseVersion.
func NewList(baseVersion uint64) *List { return &List{baseVersion: baseVersion} }

// DiscoveryVersion returns the version of discovery that the list is a copy of; false if there is none.
func (l *List) DiscoveryVersion() (version uint64, ok bool) { return l.discoveryVersion, l.loaded }

// Apply applies an update and reports whether anything changed. On an error the list is unchanged. mayBeStale is set
// for the first update of a source other than discovery: if it is older than the list, Apply returns ErrStale.
func (l *List) Apply(u discovery.Update, mayBeStale bool) (changed bool, err error) {
	if mayBeStale && l.loaded && u.Version < l.discoveryVersion {
		return false, fmt.Errorf("apply version %d after %d: %w", u.Version, l.discoveryVersion, ErrStale)
	}
	if !u.Complete && !l.loaded {
		return false, fmt.Errorf("apply version %d: %w", u.Version, errNoBase)
	}
	entries, err := parseEntries(u)
	if err != nil {
		return false, fmt.Errorf("apply version %d: %w", u.Version, err)
	}
	before := len(l.changes)
	if u.Complete {
		if err := l.deleteMissing(entries); err != nil {
			return false, err
		}
	}
	for _, e := range entries {
		l.put(e)
	}
	l.discoveryVersion, l.loaded = u.Version, true
	changed = len(l.changes) > before
	l.trimChanges()
	return changed, nil
}

// parseEntries parses the fields of an update's entries that the list needs.
func parseEntries(u discovery.Update) ([]entry, error) {
	var entries []entry
	for _, raw := range u.Entries {
		var fields struct {
			Host   string `json:"host"`
			Health string `json:"health"`
		}
		if err := json.Unmarshal(raw, &fields); err != nil || fields.Host == "" {
			return nil, fmt.Errorf("invalid entry: %.100s", raw)
		}
		e := entry{name: fields.Host, deleted: fields.Health == discovery.HealthDeleted, raw: raw}
		if u.Complete && e.deleted {
			return nil, fmt.Errorf("%w: %s", errDeletedEntry, e.name)
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// deleteMissing deletes the entries that are not in a complete list.
func (l *List) deleteMissing(complete []entry) error {
	for _, e := range slices.Clone(l.entries) {
		if slices.ContainsFunc(complete, func(other entry) bool { return other.name == e.name }) {
			continue
		}
		raw, err := markDeleted(e.raw)
		if err != nil {
			return err
		}
		l.put(entry{name: e.name, deleted: true, raw: raw})
	}
	return nil
}

// markDeleted returns an entry with its health changed to DELETED and its other fields unchanged.
func markDeleted(raw json.RawMessage) (json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return nil, fmt.Errorf("mark entry as deleted: %w", err)
	}
	fields["health"] = json.RawMessage(`"` + discovery.HealthDeleted + `"`)
	deleted, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("mark entry as deleted: %w", err)
	}
	return deleted, nil
}

// put applies one entry and records a change, unless the list already has the same entry.
func (l *List) put(e entry) {
	i := slices.IndexFunc(l.entries, func(other entry) bool { return other.name == e.name })
	switch {
	case e.deleted && i < 0, i >= 0 && string(l.entries[i].raw) == string(e.raw):
		return
	case e.deleted:
		l.entries = slices.Delete(l.entries, i, i+1)
	case i >= 0:
		l.entries[i] = e
	default:
		l.entries = append(l.entries, e)
	}
	l.changes = append(l.changes, e.raw)
}

// trimChanges drops the oldest changes beyond maxChanges.
func (l *List) trimChanges() {
	if excess := len(l.changes) - maxChanges; excess > 0 {
		l.baseVersion += uint64(excess)
		l.changes = slices.Clone(l.changes[excess:])
	}
}

// Since returns the changes after a version, or the complete list if these changes are not kept or version is 0.
func (l *List) Since(version uint64) discovery.Update {
	latest := l.baseVersion + uint64(len(l.changes))
	u := discovery.Update{Version: latest, Entries: []json.RawMessage{}}
	if version < l.baseVersion || version > latest || version == 0 {
		u.Complete = true
		for _, e := range l.entries {
			u.Entries = append(u.Entries, e.raw)
		}
		return u
	}
	u.Entries = append(u.Entries, l.changes[version-l.baseVersion:]...)
	return u
}
