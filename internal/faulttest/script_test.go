package faulttest

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestReadScript_Example(t *testing.T) {
	if _, err := ReadScript("../../example/faulttest/cuts.toml"); err != nil {
		t.Error(err)
	}
}

// The same seed draws the same faults, and all drawn faults are valid.
func TestScript_ScheduleIsDrawnFromSeed(t *testing.T) {
	s := &Script{Length: 10e6, Proxies: 2, Backends: 3, Rate: 1, RandomFaults: 200}
	first, again, other := s.Schedule(1), s.Schedule(1), s.Schedule(2)
	if !slices.Equal(first, again) || slices.Equal(first, other) {
		t.Error("seed 1 drew different faults twice, or seeds 1 and 2 drew the same faults")
	}
	s.Faults, s.RandomFaults = first, 0
	if invalid := s.validate(); invalid != nil {
		t.Errorf("an invalid fault was drawn: %+v", invalid)
	}
}

func TestReadScript_NamesInvalidKey(t *testing.T) {
	for _, tt := range []struct{ name, fault, want string }{
		{"action does not fit the target", "do = \"cut\"\nwho = \"proxy\"", `:4: fault.0.who: "cut" is done to none of`},
		{"unknown action", `do = "melt"`, `:3: fault.0.do: "melt" is no fault`},
		{"index out of range", "do = \"kill\"\nwho = \"proxy\"\nn = 2", ":5: fault.0.n: there are 2"},
		{"duration without a unit", `at = 3`, ":3: fault.0.at: is a time and has no unit"},
		{"unknown key", `what = 1`, ":3: fault.what: there is no such key"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "x.toml")
			if err := os.WriteFile(file, []byte("proxies = 2\n[[fault]]\n"+tt.fault+"\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadScript(file); err == nil || !strings.Contains(err.Error(), "x.toml"+tt.want) {
				t.Errorf("%v", err)
			}
		})
	}
}
