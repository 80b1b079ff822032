// Package maintenance decides which hosts are kept from work because operators took them out by hand. Its set stands between
// the pool config and those that act on it. It has no I/O, clock or lock: its owner serialises the calls and tells the time.
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pumiceline/internal/standalone/policy"
)

// Most bounds the names that are remembered: of hosts that were listed once, and of those that are taken out. A ban outlives its
// host's removal from the list; a name without one is forgotten when Most others have been listed since.
const Most = 4096

// version is that of the form in which a set is kept.
const version = 1

// Errors of Suspend and Resume.
var (
	ErrUnknown = errors.New("no host of this name was ever listed")
	ErrFull    = errors.New("too many hosts are taken out")
)

// Set is what operators have said. The zero value is ready for use.
type Set struct {
	names  map[string]*host
	listed uint64 // hosts listed so far: the age of a name
}

type host struct {
	seen   uint64 // when it was listed last
	banned bool
	back   policy.Time // when it was resumed, in Unix microseconds; 0: never, or it has been started since
}

// Listed tells that a host is in the list, with its start as listed.
func (s *Set) Listed(name string, upSince policy.Time) {
	h := s.names[name]
	if h == nil {
		if s.names == nil {
			s.names = map[string]*host{}
		}
		s.room()
		h = &host{}
		s.names[name] = h
	}
	s.listed++
	h.seen = s.listed
	if upSince >= h.back {
		h.back = 0
	}
}

// Kept is how many names are remembered, Most at the most.
func (s *Set) Kept() int { return len(s.names) }

// room forgets the name that was listed longest ago, of those that are not taken out, where there are too many.
func (s *Set) room() {
	if len(s.names) < Most {
		return
	}
	oldest := ""
	for name, h := range s.names {
		if !h.banned && (oldest == "" || h.seen < s.names[oldest].seen) {
			oldest = name
		}
	}
	delete(s.names, oldest)
}

// Suspend takes a host out, until one Resume. Again is harmless.
func (s *Set) Suspend(name string) error {
	h := s.names[name]
	switch {
	case h == nil:
		return ErrUnknown
	case !h.banned && s.banned() >= Most/2:
		return ErrFull
	}
	h.banned = true
	return nil
}

// Resume brings a host back, as one that has just started. Of a host that is not taken out nothing changes.
func (s *Set) Resume(name string, now policy.Time) error {
	h := s.names[name]
	if h == nil {
		return ErrUnknown
	}
	if h.banned {
		h.banned, h.back = false, now
	}
	return nil
}

func (s *Set) banned() (n int) {
	for _, h := range s.names {
		if h.banned {
			n++
		}
	}
	return n
}

// Member is what a host that is listed as m is to be taken for.
func (s *Set) Member(name string, m policy.Member) policy.Member {
	h := s.names[name]
	if h == nil || m.Mode == policy.ModeGone {
		return m
	}
	if h.banned && m.Mode == policy.ModeReady {
		m.Mode = policy.ModeDraining
	}
	m.StartedAt = max(m.StartedAt, h.back)
	return m
}

// kept is the form in which a set is kept. It holds what operators said and no more than that.
type kept struct {
	Version int                    `json:"version"`
	Banned  []string               `json:"banned"`
	Back    map[string]policy.Time `json:"back"`
}

// Text is what is to be kept of the set.
func (s *Set) Text() []byte {
	k := kept{Version: version, Banned: []string{}, Back: map[string]policy.Time{}}
	for _, name := range slices.Sorted(maps.Keys(s.names)) {
		if h := s.names[name]; h.banned {
			k.Banned = append(k.Banned, name)
		} else if h.back > 0 {
			k.Back[name] = h.back
		}
	}
	text, err := json.Marshal(k)
	if err != nil { // strings and numbers always have a form
		panic(err)
	}
	return text
}

// Adopt takes over what Text wrote, here or in another process, in place of what operators said so far. A text that is not
// whole, or of another version, is an error and changes nothing.
func (s *Set) Adopt(text []byte) error {
	var k kept
	if err := json.Unmarshal(text, &k); err != nil {
		return fmt.Errorf("suspension: %w", err)
	}
	if k.Version != version || len(k.Banned) > Most/2 || len(k.Back) > Most {
		return fmt.Errorf("suspension: version %d with %d and %d hosts is not one of ours", k.Version, len(k.Banned), len(k.Back))
	}
	for _, h := range s.names {
		h.banned, h.back = false, 0
	}
	at := func(name string) *host {
		if s.names[name] == nil {
			s.Listed(name, 0)
		}
		return s.names[name]
	}
	for _, name := range k.Banned {
		at(name).banned = true
	}
	for name, since := range k.Back {
		at(name).back = since
	}
	return nil
}
