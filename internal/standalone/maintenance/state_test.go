package maintenance

import (
	"errors"
	"fmt"
	"testing"

	"pumiceline/internal/standalone/policy"
)

const ready, draining = policy.ModeReady, policy.ModeDraining

// appliedMode returns the published mode of a backend that is listed with the given mode.
func appliedMode(s *State, name string, listed policy.Mode) policy.Mode {
	return s.Apply(name, policy.Member{Mode: listed}).Mode
}

// A backend stays disabled, whatever the list says, until one Enable, which reverts any number of Disable calls. Then
// it counts as started at that Enable, until the list has a later start time.
func TestState_DisableAndEnable(t *testing.T) {
	var s State
	if !errors.Is(s.Disable("a"), ErrUnknownBackend) || !errors.Is(s.Enable("a", 1), ErrUnknownBackend) {
		t.Error("no ErrUnknownBackend for a backend that was never listed")
	}
	s.Observe("a", 100)
	for range 10 {
		if err := s.Disable("a"); err != nil {
			t.Fatal(err)
		}
	}
	s.Observe("a", 5000) // restarted meanwhile
	if appliedMode(&s, "a", ready) != draining || appliedMode(&s, "a", draining) != draining ||
		appliedMode(&s, "a", policy.ModeGone) != policy.ModeGone {
		t.Error("the backend is not disabled")
	}
	if err := s.Enable("a", 9000); err != nil || appliedMode(&s, "a", ready) != ready {
		t.Errorf("Enable: %v", err)
	}
	for listed, want := range map[policy.Time]policy.Time{100: 9000, 5000: 9000, 9500: 9500} {
		if got := s.Apply("a", policy.Member{Mode: ready, StartedAt: listed}).StartedAt; got != want {
			t.Errorf("listed as started at %d: %d", listed, got)
		}
	}
	s.Observe("a", 9500)
	if err := s.Enable("a", 12000); err != nil || s.Apply("a", policy.Member{Mode: ready, StartedAt: 9500}).StartedAt != 9500 {
		t.Error("Enable of an enabled backend made it cold")
	}
}

// A state that one process encodes can be restored by another. An invalid form changes nothing.
func TestState_EncodeAndRestore(t *testing.T) {
	var a, b State
	for _, name := range []string{"x", "y", "z"} {
		a.Observe(name, 1)
		b.Observe(name, 1)
	}
	a.Disable("x")
	a.Disable("y")
	a.Enable("y", 77)
	b.Disable("z")
	if err := b.Restore(a.Encode()); err != nil {
		t.Fatal(err)
	}
	if appliedMode(&b, "x", ready) != draining || appliedMode(&b, "z", ready) != ready ||
		b.Apply("y", policy.Member{Mode: ready}).StartedAt != 77 {
		t.Errorf("%s was restored as %s", a.Encode(), b.Encode())
	}
	before := string(b.Encode())
	for _, bad := range []string{"", "{", `{"version":9}`, string(a.Encode()[:20]), "[]"} {
		if b.Restore([]byte(bad)) == nil || string(b.Encode()) != before {
			t.Errorf("%q was restored", bad)
		}
	}
}

// The number of backends is bounded, and disabled ones are not evicted.
func TestState_EvictsEnabledBackendsOnly(t *testing.T) {
	var s State
	s.Observe("disabled", 1)
	s.Disable("disabled")
	for i := range 2 * MaxBackends {
		s.Observe(fmt.Sprint(i), 1)
		err := s.Disable(fmt.Sprint(i))
		if i < MaxBackends/2-1 && err != nil || i >= MaxBackends/2 && !errors.Is(err, ErrTooManyDisabled) {
			t.Fatalf("backend %d: %v", i, err)
		}
	}
	if len(s.backends) > MaxBackends || appliedMode(&s, "disabled", ready) != draining {
		t.Errorf("%d backends", len(s.backends))
	}
}
