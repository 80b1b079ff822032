package faulttest

import (
	"reflect"
	"testing"
)

// A script that was stored with an earlier version can be read, with every key and every kind of fault.
func TestReadsScriptStoredByEarlierVersion(t *testing.T) {
	got, err := ReadScript("testdata/script.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := &Script{Title: "All kinds of faults", Length: 30e6, Proxies: 3, Backends: 5, Rate: 82.5, RandomFaults: 4}
	want.Faults = []ScheduledFault{
		{At: 1e6, For: 2e6, Action: "freeze", Target: "proxy", Index: 1},
		{At: 2e6, For: 1.5e6, Action: "kill", Target: "proxy", Index: 2},
		{At: 3e6, For: 3e6, Action: "cut", Target: "roster", Index: 1},
		{At: 4e6, For: 4e6, Action: "cut up", Target: "destination", Index: 4},
		{At: 5e6, For: 5e6, Action: "cut down", Target: "roster", Index: 2},
		{At: 6e6, For: 6e6, Action: "delay", Target: "destination", Index: 3, Delay: 120_000},
		{At: 7e6, For: 7e6, Action: "break", Target: "roster", Index: 1},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	kinds := map[Action]bool{}
	for _, f := range got.Faults {
		kinds[f.Action] = true
	}
	for action := range Targets() {
		if !kinds[action] {
			t.Errorf("the sample has no %q", action)
		}
	}
}
