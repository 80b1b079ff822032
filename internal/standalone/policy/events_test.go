package policy

import "testing"

func TestOutcome_String(t *testing.T) {
	seen := map[string]bool{}
	for o := OK; o <= NotSent; o++ {
		if name := o.String(); name == "" || seen[name] {
			t.Errorf("outcome %d is called %q", uint8(o), name)
		}
		seen[o.String()] = true
	}
	if got := (NotSent + 1).String(); got != "outcome 8" {
		t.Errorf("an unknown outcome is called %q", got)
	}
}
