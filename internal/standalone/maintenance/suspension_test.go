package maintenance

import (
	"errors"
	"fmt"
	"testing"

	"pumiceline/internal/standalone/policy"
)

const ready, draining = policy.ModeReady, policy.ModeDraining

func mode(s *State, name string, listed policy.Mode) policy.Mode {
	return s.Apply(name, policy.Member{Mode: listed}).Mode
}

// A ban holds whatever the list says until one resume, however often it was said; then the host counts as started at the resume,
// until the list has a later start.
func TestBanAndReturn(t *testing.T) {
	var s State
	if !errors.Is(s.Disable("a"), ErrUnknownBackend) || !errors.Is(s.Enable("a", 1), ErrUnknownBackend) {
		t.Error("a host that was never listed")
	}
	s.Observe("a", 100)
	for range 10 {
		if err := s.Disable("a"); err != nil {
			t.Fatal(err)
		}
	}
	s.Observe("a", 5000) // restarted meanwhile
	if mode(&s, "a", ready) != draining || mode(&s, "a", draining) != draining || mode(&s, "a", policy.ModeGone) != policy.ModeGone {
		t.Error("the ban does not hold")
	}
	if err := s.Enable("a", 9000); err != nil || mode(&s, "a", ready) != ready {
		t.Errorf("resumed: %v", err)
	}
	for listed, want := range map[policy.Time]policy.Time{100: 9000, 5000: 9000, 9500: 9500} {
		if got := s.Apply("a", policy.Member{Mode: ready, StartedAt: listed}).StartedAt; got != want {
			t.Errorf("listed as started at %d: %d", listed, got)
		}
	}
	s.Observe("a", 9500)
	if err := s.Enable("a", 12000); err != nil || s.Apply("a", policy.Member{Mode: ready, StartedAt: 9500}).StartedAt != 9500 {
		t.Error("a resume of a host that is in use made it cold")
	}
}

// What one process keeps another takes up; what is spoilt changes nothing.
func TestKeptAndTakenUp(t *testing.T) {
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
	if mode(&b, "x", ready) != draining || mode(&b, "z", ready) != ready || b.Apply("y", policy.Member{Mode: ready}).StartedAt != 77 {
		t.Errorf("%s was taken up as %s", a.Encode(), b.Encode())
	}
	before := string(b.Encode())
	for _, bad := range []string{"", "{", `{"version":9}`, string(a.Encode()[:20]), "[]"} {
		if b.Restore([]byte(bad)) == nil || string(b.Encode()) != before {
			t.Errorf("%q was taken", bad)
		}
	}
}

// Names are bounded, and bans are not what is forgotten.
func TestBounded(t *testing.T) {
	var s State
	s.Observe("kept", 1)
	s.Disable("kept")
	for i := range 2 * MaxBackends {
		s.Observe(fmt.Sprint(i), 1)
		if err := s.Disable(fmt.Sprint(i)); i < MaxBackends/2-1 && err != nil || i >= MaxBackends/2 && !errors.Is(err, ErrTooManyDisabled) {
			t.Fatalf("host %d: %v", i, err)
		}
	}
	if len(s.backends) > MaxBackends || mode(&s, "kept", ready) != draining {
		t.Errorf("%d names", len(s.backends))
	}
}
