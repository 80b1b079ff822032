package singleton

import (
	"errors"
	"testing"
)

func TestFencingGuard_RejectsStaleEffects(t *testing.T) {
	var guard FencingGuard
	for _, c := range []struct {
		name   string
		effect Effect
		admits bool
	}{
		{"first", Effect{"w", 1, 1}, true},
		{"gap in the serials", Effect{"w", 1, 3}, true},
		{"lower serial", Effect{"w", 1, 2}, false},
		{"same serial", Effect{"w", 1, 3}, false},
		{"higher token", Effect{"w", 2, 1}, true},
		{"lower token", Effect{"w", 1, 9}, false},
		{"another role", Effect{"v", 1, 1}, true},
		{"zero token and serial", Effect{"u", 0, 0}, false},
	} {
		err := guard.Admit(c.effect)
		if (err == nil) != c.admits {
			t.Errorf("%s: %v", c.name, err)
		}
		var stale *StaleEffectError
		if !c.admits && (!errors.As(err, &stale) || stale.Effect != c.effect || stale.Latest != guard.Latest[c.effect.Role]) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
