package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
)

// A script runs with real processes. Its result counts the requests by proxy, and no request fails after the last
// fault.
func TestFaulttestRun_RecoversAfterFaults(t *testing.T) {
	t.Setenv("PUMICELINE_TEST_MAIN", "1")
	script, out := filepath.Join(t.TempDir(), "s.toml"), filepath.Join(t.TempDir(), "v.json")
	const text = `length = "5s"
[[fault]]
at = "500ms"
for = "1s"
do = "cut down"
who = "roster"
[[fault]]
at = "1s"
for = "1s"
do = "kill"
who = "proxy"
n = 1
`
	if err := os.WriteFile(script, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&faulttestRunCmd{File: script, Seed: 1, Out: out}).Run(output{io.Discard}); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(out)
	if err != nil {
		t.Fatal(err)
	}
	var result scriptResult
	if err := json.Unmarshal(written, &result); err != nil {
		t.Fatal(err)
	}
	if after := result.AfterLastFault; after.Sent < 30 || after.Failed > 0 {
		t.Errorf("after the last fault: %+v", after)
	}
	if result.Proxies[0].Failed > 0 || result.Proxies[1].Failed == 0 { // only the second proxy was killed
		t.Errorf("by proxy: %+v", result.Proxies)
	}
	if len(result.ProxyFailures) > 0 {
		t.Errorf("proxies did not end in order: %v", result.ProxyFailures)
	}
	if t.Failed() {
		t.Logf("history: %v", result.History)
	}
}
