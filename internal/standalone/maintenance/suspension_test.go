package maintenance

import (
	"errors"
	"fmt"
	"testing"

	"pumiceline/internal/standalone/policy"
)

const ready, draining = policy.ModeReady, policy.ModeDraining

func mode(s *Set, name string, listed policy.Mode) policy.Mode {
	return s.Member(name, policy.Member{Mode: listed}).Mode
}

// A ban holds whatever the list says until one resume, however often it was said; then the host counts as started at the resume,
// until the list has a later start.
func TestBanAndReturn(t *testing.T) {
	var s Set
	if !errors.Is(s.Suspend("a"), ErrUnknown) || !errors.Is(s.Resume("a", 1), ErrUnknown) {
		t.Error("a host that was never listed")
	}
	s.Listed("a", 100)
	for range 10 {
		if err := s.Suspend("a"); err != nil {
			t.Fatal(err)
		}
	}
	s.Listed("a", 5000) // restarted meanwhile
	if mode(&s, "a", ready) != draining || mode(&s, "a", draining) != draining || mode(&s, "a", policy.ModeGone) != policy.ModeGone {
		t.Error("the ban does not hold")
	}
	if err := s.Resume("a", 9000); err != nil || mode(&s, "a", ready) != ready {
		t.Errorf("resumed: %v", err)
	}
	for listed, want := range map[policy.Time]policy.Time{100: 9000, 5000: 9000, 9500: 9500} {
		if got := s.Member("a", policy.Member{Mode: ready, StartedAt: listed}).StartedAt; got != want {
			t.Errorf("listed as started at %d: %d", listed, got)
		}
	}
	s.Listed("a", 9500)
	if err := s.Resume("a", 12000); err != nil || s.Member("a", policy.Member{Mode: ready, StartedAt: 9500}).StartedAt != 9500 {
		t.Error("a resume of a host that is in use made it cold")
	}
}

// What one process keeps another takes up; what is spoilt changes nothing.
func TestKeptAndTakenUp(t *testing.T) {
	var a, b Set
	for _, name := range []string{"x", "y", "z"} {
		a.Listed(name, 1)
		b.Listed(name, 1)
	}
	a.Suspend("x")
	a.Suspend("y")
	a.Resume("y", 77)
	b.Suspend("z")
	if err := b.Adopt(a.Text()); err != nil {
		t.Fatal(err)
	}
	if mode(&b, "x", ready) != draining || mode(&b, "z", ready) != ready || b.Member("y", policy.Member{Mode: ready}).StartedAt != 77 {
		t.Errorf("%s was taken up as %s", a.Text(), b.Text())
	}
	before := string(b.Text())
	for _, bad := range []string{"", "{", `{"version":9}`, string(a.Text()[:20]), "[]"} {
		if b.Adopt([]byte(bad)) == nil || string(b.Text()) != before {
			t.Errorf("%q was taken", bad)
		}
	}
}

// Names are bounded, and bans are not what is forgotten.
func TestBounded(t *testing.T) {
	var s Set
	s.Listed("kept", 1)
	s.Suspend("kept")
	for i := range 2 * Most {
		s.Listed(fmt.Sprint(i), 1)
		if err := s.Suspend(fmt.Sprint(i)); i < Most/2-1 && err != nil || i >= Most/2 && !errors.Is(err, ErrFull) {
			t.Fatalf("host %d: %v", i, err)
		}
	}
	if len(s.names) > Most || mode(&s, "kept", ready) != draining {
		t.Errorf("%d names", len(s.names))
	}
}
