package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// A script runs with real processes, and its result counts the requests: after the last fault none fails.
func TestFaulttestRun_RecoversAfterFaults(t *testing.T) {
	t.Setenv("PUMICELINE_TEST_MAIN", "1")
	script, out := filepath.Join(t.TempDir(), "s.toml"), filepath.Join(t.TempDir(), "v.json")
	text := "length = \"5s\"\n[[fault]]\nat = \"500ms\"\nfor = \"1s\"\ndo = \"cut down\"\nwho = \"roster\"\n[[fault]]\nat = \"1s\"\nfor = \"1s\"\ndo = \"kill\"\nwho = \"proxy\"\nn = 1\n"
	if err := os.WriteFile(script, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&faulttestRunCmd{File: script, Seed: 1, Out: out}).Run(output{io.Discard}); err != nil {
		t.Fatal(err)
	}
	var v scriptResult
	if text, err := os.ReadFile(out); err != nil || json.Unmarshal(text, &v) != nil {
		t.Fatal(err)
	}
	if v.AfterLastFault.Sent < 30 || v.AfterLastFault.Failed > 0 || v.Proxies[0].Failed > 0 || v.Proxies[1].Failed == 0 || len(v.ProxyFailures) > 0 {
		t.Errorf("%+v", v)
	}
}
