// Package discoverycache keeps a copy of the roster beside each instance of a fleet, so that discovery is asked by one of them for all. Proxies
// ask their mirror as they would ask discovery. The owner of the work follows discovery, the others follow the owner, and whoever hears
// nothing from an owner asks discovery itself until there is one again.
package discoverycache

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"pumiceline/internal/standalone/discovery"
)

// List is the roster as it was heard last, and what changed. It is pure. Versions are its own: they begin where no earlier copy can have been, so
// that a version of an earlier life brings the whole list.
type List struct {
	baseVersion      uint64 // the version before the first change
	discoveryVersion uint64 // discovery's version that this is of
	loaded           bool
	entries          []entry // in the order of coming
	changes          []json.RawMessage
}

type entry struct {
	name    string
	deleted bool            // it is deleted; never of one that is held
	text    json.RawMessage // byte for byte as discovery said it
}

// maxChanges are kept; who is further behind gets the whole list.
const maxChanges = 4096

// ErrStale is the error of a list that is older than the copy: it would undo drains that are known.
var ErrStale = errors.New("the list is older than the copy")

// NewList returns an empty copy whose versions begin after base.
func NewList(base uint64) *List { return &List{baseVersion: base} }

// DiscoveryVersion is discovery's version that the copy is of; false: it holds none.
func (c *List) DiscoveryVersion() (uint64, bool) { return c.discoveryVersion, c.loaded }

// Apply takes in what a source says, and tells whether anything changed. first says that it is the first object of a watch of a source other than
// discovery itself: that one may be behind.
func (c *List) Apply(u discovery.Update, first bool) (changed bool, err error) {
	if first && c.loaded && u.Version < c.discoveryVersion {
		return false, fmt.Errorf("mirror: version %d, where %d is known: %w", u.Version, c.discoveryVersion, ErrStale)
	}
	if !u.Complete && !c.loaded {
		return false, errors.New("mirror: changes to a list that is not known")
	}
	var heads []entry
	for _, text := range u.Entries {
		var head struct {
			Host   string `json:"host"`
			Health string `json:"health"`
		}
		if err := json.Unmarshal(text, &head); err != nil || head.Host == "" {
			return false, fmt.Errorf("mirror: an entry of version %d is not understood: %.100s", u.Version, text)
		}
		heads = append(heads, entry{head.Host, head.Health == "DELETED", text})
		if u.Complete && head.Health == "DELETED" {
			return false, fmt.Errorf("mirror: %s is deleted and listed, in version %d", head.Host, u.Version)
		}
	}
	before := len(c.changes)
	if u.Complete { // whoever is not in it any more is gone
		for _, h := range slices.Clone(c.entries) {
			if !slices.ContainsFunc(heads, func(n entry) bool { return n.name == h.name }) {
				gone, err := markDeleted(h.text)
				if err != nil {
					return false, err
				}
				c.put(entry{h.name, true, gone})
			}
		}
	}
	for _, h := range heads {
		c.put(h)
	}
	c.discoveryVersion, c.loaded = u.Version, true
	changed = len(c.changes) > before
	if over := len(c.changes) - maxChanges; over > 0 {
		c.baseVersion += uint64(over)
		c.changes = slices.Clone(c.changes[over:])
	}
	return changed, nil
}

// markDeleted is an entry that says of a host that it is gone, with all else as it was.
func markDeleted(text json.RawMessage) (json.RawMessage, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return nil, fmt.Errorf("mirror: %w", err)
	}
	all["health"] = json.RawMessage(`"DELETED"`)
	gone, err := json.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("mirror: %w", err)
	}
	return gone, nil
}

func (c *List) put(h entry) {
	at := slices.IndexFunc(c.entries, func(o entry) bool { return o.name == h.name })
	switch {
	case h.deleted && at < 0, at >= 0 && string(c.entries[at].text) == string(h.text):
		return
	case h.deleted:
		c.entries = slices.Delete(c.entries, at, at+1)
	case at >= 0:
		c.entries[at] = h
	default:
		c.entries = append(c.entries, h)
	}
	c.changes = append(c.changes, h.text)
}

// Since is what changed after a version, or the whole list where that version is none of which the changes are known.
func (c *List) Since(version uint64) discovery.Update {
	now := c.baseVersion + uint64(len(c.changes))
	u := discovery.Update{Version: now, Entries: []json.RawMessage{}}
	if version < c.baseVersion || version > now || version == 0 {
		u.Complete = true
		for _, h := range c.entries {
			u.Entries = append(u.Entries, h.text)
		}
		return u
	}
	u.Entries = append(u.Entries, c.changes[version-c.baseVersion:]...)
	return u
}
