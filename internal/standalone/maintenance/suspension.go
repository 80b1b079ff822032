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

// MaxBackends bounds the names that are remembered: of hosts that were listed once, and of those that are taken out. A ban outlives its
// host's removal from the list; a name without one is forgotten when Most others have been listed since.
const MaxBackends = 4096

// formatVersion is that of the form in which a set is kept.
const formatVersion = 1

// Errors of Suspend and Resume.
var (
	ErrUnknownBackend  = errors.New("no host of this name was ever listed")
	ErrTooManyDisabled = errors.New("too many hosts are taken out")
)

// State is what operators have said. The zero value is ready for use.
type State struct {
	backends     map[string]*backendState
	observations uint64 // hosts listed so far: the age of a name
}

type backendState struct {
	lastObserved uint64 // when it was listed last
	disabled     bool
	enabledAt    policy.Time // when it was resumed, in Unix microseconds; 0: never, or it has been started since
}

// Observe tells that a host is in the list, with its start as listed.
func (s *State) Observe(name string, upSince policy.Time) {
	h := s.backends[name]
	if h == nil {
		if s.backends == nil {
			s.backends = map[string]*backendState{}
		}
		s.evictOldest()
		h = &backendState{}
		s.backends[name] = h
	}
	s.observations++
	h.lastObserved = s.observations
	if upSince >= h.enabledAt {
		h.enabledAt = 0
	}
}

// Len is how many names are remembered, Most at the most.
func (s *State) Len() int { return len(s.backends) }

// evictOldest forgets the name that was listed longest ago, of those that are not taken out, where there are too many.
func (s *State) evictOldest() {
	if len(s.backends) < MaxBackends {
		return
	}
	oldest := ""
	for name, h := range s.backends {
		if !h.disabled && (oldest == "" || h.lastObserved < s.backends[oldest].lastObserved) {
			oldest = name
		}
	}
	delete(s.backends, oldest)
}

// Disable takes a host out, until one Resume. Again is harmless.
func (s *State) Disable(name string) error {
	h := s.backends[name]
	switch {
	case h == nil:
		return ErrUnknownBackend
	case !h.disabled && s.disabledCount() >= MaxBackends/2:
		return ErrTooManyDisabled
	}
	h.disabled = true
	return nil
}

// Enable brings a host back, as one that has just started. Of a host that is not taken out nothing changes.
func (s *State) Enable(name string, now policy.Time) error {
	h := s.backends[name]
	if h == nil {
		return ErrUnknownBackend
	}
	if h.disabled {
		h.disabled, h.enabledAt = false, now
	}
	return nil
}

func (s *State) disabledCount() (n int) {
	for _, h := range s.backends {
		if h.disabled {
			n++
		}
	}
	return n
}

// Apply is what a host that is listed as m is to be taken for.
func (s *State) Apply(name string, m policy.Member) policy.Member {
	h := s.backends[name]
	if h == nil || m.Mode == policy.ModeGone {
		return m
	}
	if h.disabled && m.Mode == policy.ModeReady {
		m.Mode = policy.ModeDraining
	}
	m.StartedAt = max(m.StartedAt, h.enabledAt)
	return m
}

// storedState is the form in which a set is kept. It holds what operators said and no more than that.
type storedState struct {
	Version   int                    `json:"version"`
	Disabled  []string               `json:"banned"`
	EnabledAt map[string]policy.Time `json:"back"`
}

// Encode is what is to be kept of the set.
func (s *State) Encode() []byte {
	k := storedState{Version: formatVersion, Disabled: []string{}, EnabledAt: map[string]policy.Time{}}
	for _, name := range slices.Sorted(maps.Keys(s.backends)) {
		if h := s.backends[name]; h.disabled {
			k.Disabled = append(k.Disabled, name)
		} else if h.enabledAt > 0 {
			k.EnabledAt[name] = h.enabledAt
		}
	}
	text, err := json.Marshal(k)
	if err != nil { // strings and numbers always have a form
		panic(err)
	}
	return text
}

// Restore takes over what Text wrote, here or in another process, in place of what operators said so far. A text that is not
// whole, or of another version, is an error and changes nothing.
func (s *State) Restore(text []byte) error {
	var k storedState
	if err := json.Unmarshal(text, &k); err != nil {
		return fmt.Errorf("suspension: %w", err)
	}
	if k.Version != formatVersion || len(k.Disabled) > MaxBackends/2 || len(k.EnabledAt) > MaxBackends {
		return fmt.Errorf("suspension: version %d with %d and %d hosts is not one of ours", k.Version, len(k.Disabled), len(k.EnabledAt))
	}
	for _, h := range s.backends {
		h.disabled, h.enabledAt = false, 0
	}
	at := func(name string) *backendState {
		if s.backends[name] == nil {
			s.Observe(name, 0)
		}
		return s.backends[name]
	}
	for _, name := range k.Disabled {
		at(name).disabled = true
	}
	for name, since := range k.EnabledAt {
		at(name).enabledAt = since
	}
	return nil
}
