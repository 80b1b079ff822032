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

// Copy is the roster as it was heard last, and what changed. It is pure. Versions are its own: they begin where no earlier copy can have been, so
// that a version of an earlier life brings the whole list.
type Copy struct {
	base    uint64 // the version before the first change
	origin  uint64 // discovery's version that this is of
	held    bool
	hosts   []host // in the order of coming
	changes []json.RawMessage
}

type host struct {
	name string
	gone bool            // it is deleted; never of one that is held
	text json.RawMessage // byte for byte as discovery said it
}

// mostChanges are kept; who is further behind gets the whole list.
const mostChanges = 4096

// ErrBehind is the error of a list that is older than the copy: it would undo drains that are known.
var ErrBehind = errors.New("the list is older than the copy")

// NewCopy returns an empty copy whose versions begin after base.
func NewCopy(base uint64) *Copy { return &Copy{base: base} }

// Origin is discovery's version that the copy is of; false: it holds none.
func (c *Copy) Origin() (uint64, bool) { return c.origin, c.held }

// Take takes in what a source says, and tells whether anything changed. first says that it is the first object of a watch of a source other than
// discovery itself: that one may be behind.
func (c *Copy) Take(u discovery.Update, first bool) (changed bool, err error) {
	if first && c.held && u.Seq < c.origin {
		return false, fmt.Errorf("mirror: version %d, where %d is known: %w", u.Seq, c.origin, ErrBehind)
	}
	if !u.Whole && !c.held {
		return false, errors.New("mirror: changes to a list that is not known")
	}
	var heads []host
	for _, text := range u.Hosts {
		var head struct {
			Host   string `json:"host"`
			Health string `json:"health"`
		}
		if err := json.Unmarshal(text, &head); err != nil || head.Host == "" {
			return false, fmt.Errorf("mirror: an entry of version %d is not understood: %.100s", u.Seq, text)
		}
		heads = append(heads, host{head.Host, head.Health == "DELETED", text})
		if u.Whole && head.Health == "DELETED" {
			return false, fmt.Errorf("mirror: %s is deleted and listed, in version %d", head.Host, u.Seq)
		}
	}
	before := len(c.changes)
	if u.Whole { // whoever is not in it any more is gone
		for _, h := range slices.Clone(c.hosts) {
			if !slices.ContainsFunc(heads, func(n host) bool { return n.name == h.name }) {
				gone, err := deleted(h.text)
				if err != nil {
					return false, err
				}
				c.put(host{h.name, true, gone})
			}
		}
	}
	for _, h := range heads {
		c.put(h)
	}
	c.origin, c.held = u.Seq, true
	changed = len(c.changes) > before
	if over := len(c.changes) - mostChanges; over > 0 {
		c.base += uint64(over)
		c.changes = slices.Clone(c.changes[over:])
	}
	return changed, nil
}

// deleted is an entry that says of a host that it is gone, with all else as it was.
func deleted(text json.RawMessage) (json.RawMessage, error) {
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

func (c *Copy) put(h host) {
	at := slices.IndexFunc(c.hosts, func(o host) bool { return o.name == h.name })
	switch {
	case h.gone && at < 0, at >= 0 && string(c.hosts[at].text) == string(h.text):
		return
	case h.gone:
		c.hosts = slices.Delete(c.hosts, at, at+1)
	case at >= 0:
		c.hosts[at] = h
	default:
		c.hosts = append(c.hosts, h)
	}
	c.changes = append(c.changes, h.text)
}

// Since is what changed after a version, or the whole list where that version is none of which the changes are known.
func (c *Copy) Since(version uint64) discovery.Update {
	now := c.base + uint64(len(c.changes))
	u := discovery.Update{Seq: now, Hosts: []json.RawMessage{}}
	if version < c.base || version > now || version == 0 {
		u.Whole = true
		for _, h := range c.hosts {
			u.Hosts = append(u.Hosts, h.text)
		}
		return u
	}
	u.Hosts = append(u.Hosts, c.changes[version-c.base:]...)
	return u
}
