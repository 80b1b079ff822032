package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const smallExperiment = `
policies = ["decide", "random"]
seeds = [1, 2]
[world]
length = "4s"
[[world.trouble]]
kind = "hang"
at = "1s"
for = "2s"
part = 0.5
[[sweep]]
key = "world.load"
values = [0.3, 0.6]
`

// The commands run one after the other: compare, plot and replay read the results file that sweep wrote.
func TestFleetsim_SweepComparePlotReplay(t *testing.T) {
	dir := t.TempDir()
	file, results := filepath.Join(dir, "x.toml"), filepath.Join(dir, "x.jsonl")
	if err := os.WriteFile(file, []byte(smallExperiment), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	sweep := fleetsimSweepCmd{experimentFlags: experimentFlags{File: file, Out: results, Workers: 2,
		PlotsDir: filepath.Join(dir, "p")}, Measures: []string{"g", "broken"}}
	if err := sweep.Run(output{&out}); err != nil {
		t.Fatal(err)
	}
	if got := out.String(); strings.Count(got, "world.load=0.6") != 2 || !strings.Contains(got, "figures and ") {
		t.Errorf("table:\n%s", got)
	}
	out.Reset()
	if err := (&fleetsimCompareCmd{experimentFlags: experimentFlags{File: results},
		Measures: []string{"g"}}).Run(output{&out}); err != nil {
		t.Fatal(err)
	}
	if !regexp.MustCompile(`world.load=0.6 +random +\S+ ±\S+ +-\S+ ±\S+ +`).MatchString(out.String()) {
		t.Errorf("differences:\n%s", out.String())
	}
	out.Reset()
	if err := (&fleetsimPlotCmd{File: results, Dir: filepath.Join(dir, "q"),
		Measures: []string{"worst"}}).Run(output{&out}); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"report.html", "sweep-worst.svg", "sweep-worst.png"} {
		if _, err := os.Stat(filepath.Join(dir, "q", name)); err != nil {
			t.Error(err)
		}
	}
	trace := filepath.Join(dir, "trace")
	out.Reset()
	if err := (&fleetsimReplayCmd{File: results, Line: 8, Trace: trace}).Run(output{&out}); err != nil ||
		!strings.Contains(out.String(), "the same, to the byte") {
		t.Errorf("%v\n%s", err, out.String())
	}
	if text, err := os.ReadFile(trace); err != nil || !strings.Contains(string(text), `"what":"answered"`) {
		t.Errorf("trace: %v", err)
	}
	altered := filepath.Join(dir, "altered.jsonl")
	text, _ := os.ReadFile(results)
	if err := os.WriteFile(altered, regexp.MustCompile(`"g":0\.\d`).ReplaceAll(text, []byte(`"g":0.7`)),
		0o600); err != nil {
		t.Fatal(err)
	}
	if err := (&fleetsimReplayCmd{File: altered, Line: 1}).Run(output{&out}); !errors.Is(err, errResultDiffers) {
		t.Error("a replay accepts results that were altered")
	}
	if err := (&fleetsimCheckCmd{File: filepath.Join(dir, "none.toml")}).Run(output{&out}); err == nil {
		t.Error("check accepts a missing experiment")
	}
}
