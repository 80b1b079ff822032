// Package maintenance holds which backends get no new requests because operators have disabled them. A State is applied
// to the entries of the endpoint list before they are published to the policy and the backend pool. It uses no I/O,
// clock or lock: its owner, discovery.Watcher, serializes the calls and passes the time.
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"pumiceline/internal/standalone/policy"
)

const (
	// MaxBackends is the maximum number of backends in a State. A disabled backend is kept also when it is no longer
	// listed. Adding a backend to a full State evicts the enabled one that was listed longest ago, so that an enabled
	// backend is evicted at the latest once MaxBackends others have been listed since.
	MaxBackends = 4096
	// maxDisabled is how many of the backends in a State may be disabled.
	maxDisabled = MaxBackends / 2
	// formatVersion is the version of the stored form.
	formatVersion = 1
)

// Errors of Disable and Enable.
var (
	ErrUnknownBackend  = errors.New("no host of this name was ever listed")
	ErrTooManyDisabled = errors.New("too many hosts are taken out")
)

// errUnknownFormat is the error of Restore for a stored form that Encode cannot have written.
var errUnknownFormat = errors.New("unknown format or too many backends")

// State holds the backends that are disabled, and the times at which others were enabled again. The zero value is ready
// for use.
type State struct {
	backends     map[string]*backendState
	observations uint64 // number of calls of Observe
}

// backendState is the state of one backend.
type backendState struct {
	lastObserved uint64 // State.observations at the last Observe
	disabled     bool
	enabledAt    policy.Time // of the last Enable after a Disable; 0: none, or the backend has been restarted since
}

// Observe records that a backend is on the endpoint list, with its start time as listed.
func (s *State) Observe(name string, startedAt policy.Time) {
	b := s.backends[name]
	if b == nil {
		b = s.add(name)
	}
	s.observations++
	b.lastObserved = s.observations
	if startedAt >= b.enabledAt {
		b.enabledAt = 0
	}
}

// add adds a backend, and first evicts another one if there are MaxBackends already.
func (s *State) add(name string) *backendState {
	if s.backends == nil {
		s.backends = map[string]*backendState{}
	}
	if len(s.backends) >= MaxBackends {
		s.evictOldest()
	}
	b := &backendState{}
	s.backends[name] = b
	return b
}

// Len returns the number of backends in the State, at most MaxBackends.
func (s *State) Len() int { return len(s.backends) }

// evictOldest removes the backend that was observed longest ago among those that are not disabled.
func (s *State) evictOldest() {
	oldest := ""
	for name, b := range s.backends {
		if !b.disabled && (oldest == "" || b.lastObserved < s.backends[oldest].lastObserved) {
			oldest = name
		}
	}
	delete(s.backends, oldest)
}

// Disable stops new requests to a backend until the next Enable, which reverts any number of Disable calls.
func (s *State) Disable(name string) error {
	b := s.backends[name]
	switch {
	case b == nil:
		return ErrUnknownBackend
	case !b.disabled && s.disabledCount() >= maxDisabled:
		return ErrTooManyDisabled
	}
	b.disabled = true
	return nil
}

// Enable reverts Disable: the backend counts as started at now. A backend that is not disabled stays unchanged.
func (s *State) Enable(name string, now policy.Time) error {
	b := s.backends[name]
	if b == nil {
		return ErrUnknownBackend
	}
	if b.disabled {
		b.disabled, b.enabledAt = false, now
	}
	return nil
}

func (s *State) disabledCount() (n int) {
	for _, b := range s.backends {
		if b.disabled {
			n++
		}
	}
	return n
}

// Apply returns the member to publish for a backend that is listed as m: a disabled backend is draining, and the start
// time is the later one of the listed start and the last Enable.
func (s *State) Apply(name string, m policy.Member) policy.Member {
	b := s.backends[name]
	if b == nil || m.Mode == policy.ModeGone {
		return m
	}
	if b.disabled && m.Mode == policy.ModeReady {
		m.Mode = policy.ModeDraining
	}
	m.StartedAt = max(m.StartedAt, b.enabledAt)
	return m
}

// storedState is the stored form of a State: the disabled backends and the times of Enable, without the observations.
type storedState struct {
	Version   int                    `json:"version"`
	Disabled  []string               `json:"banned"`
	EnabledAt map[string]policy.Time `json:"back"` // Unix time in microseconds
}

// Encode returns the stored form.
func (s *State) Encode() []byte {
	stored := storedState{Version: formatVersion, Disabled: []string{}, EnabledAt: map[string]policy.Time{}}
	for _, name := range slices.Sorted(maps.Keys(s.backends)) {
		if b := s.backends[name]; b.disabled {
			stored.Disabled = append(stored.Disabled, name)
		} else if b.enabledAt > 0 {
			stored.EnabledAt[name] = b.enabledAt
		}
	}
	encoded, err := json.Marshal(stored)
	if err != nil { // strings and integers can always be encoded
		panic(err)
	}
	return encoded
}

// Restore replaces the disabled backends and the times of Enable by those of a stored form, which this process or
// another has encoded. On an error the State is unchanged.
func (s *State) Restore(encoded []byte) error {
	var stored storedState
	if err := json.Unmarshal(encoded, &stored); err != nil {
		return fmt.Errorf("decode maintenance state: %w", err)
	}
	if stored.Version != formatVersion || len(stored.Disabled) > maxDisabled || len(stored.EnabledAt) > MaxBackends {
		return fmt.Errorf("%w: version %d with %d and %d backends", errUnknownFormat, stored.Version, len(stored.Disabled),
			len(stored.EnabledAt))
	}
	for _, b := range s.backends {
		b.disabled, b.enabledAt = false, 0
	}
	for _, name := range stored.Disabled {
		s.restoreBackend(name).disabled = true
	}
	for name, enabledAt := range stored.EnabledAt {
		s.restoreBackend(name).enabledAt = enabledAt
	}
	return nil
}

// restoreBackend returns the state of a backend. A backend that is not in the State is added, as observed now.
func (s *State) restoreBackend(name string) *backendState {
	if s.backends[name] == nil {
		s.Observe(name, 0)
	}
	return s.backends[name]
}
