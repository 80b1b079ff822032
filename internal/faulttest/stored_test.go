package faulttest

import (
	"reflect"
	"testing"
)

// A script that a user of an earlier version stored is read, with every key and each kind of fault.
func TestReadsScriptStoredByEarlierVersion(t *testing.T) {
	got, err := ReadScript("testdata/script.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := &Script{Title: "All kinds of faults", Length: 30e6, Proxies: 3, Destinations: 5, Rate: 82.5, Draw: 4, Faults: []Step{
		{At: 1e6, For: 2e6, Do: "freeze", Who: "proxy", N: 1},
		{At: 2e6, For: 1.5e6, Do: "kill", Who: "proxy", N: 2},
		{At: 3e6, For: 3e6, Do: "cut", Who: "roster", N: 1},
		{At: 4e6, For: 4e6, Do: "cut up", Who: "destination", N: 4},
		{At: 5e6, For: 5e6, Do: "cut down", Who: "roster", N: 2},
		{At: 6e6, For: 6e6, Do: "delay", Who: "destination", N: 3, Delay: 120_000},
		{At: 7e6, For: 7e6, Do: "break", Who: "roster", N: 1},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	kinds := map[string]bool{}
	for _, f := range got.Faults {
		kinds[f.Do] = true
	}
	for do := range Deeds {
		if !kinds[do] {
			t.Errorf("the sample has no %q", do)
		}
	}
}
