package experiment

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/tomlfile"
)

// smallExperiment has eight runs, which take less than a second together.
const smallExperiment = `
title = "Small"
policies = ["decide", "two-choices"]
seeds = [1, 2]
[world]
length = "4s"
servers = 8
draw = 1
[[sweep]]
key = "world.proxies"
values = [1, 2]
with."world.load" = [0.3, 0.6]
`

func TestParse_ErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"unknown key", "servers = 8", "serves = 8", "x.toml:7: world.serves: there is no such key"},
		{"range", "servers = 8", "servers = 0", "x.toml:7: world.servers: 0 is not within"},
		{"no unit", `length = "4s"`, "length = 4", `x.toml:6: world.length: is a time and has no unit`},
		{"wrong unit", `"4s"`, `"4 parsecs"`, `x.toml:6: world.length`},
		{"wrong type", "servers = 8", `servers = "many"`, "x.toml:7: world.servers"},
		{"syntax", "servers = 8", "servers = = 8", "x.toml:7"},
		{"policy", `"two-choices"`, `"best"`, `x.toml:3: policies: "best" is none of`},
		{"swept key", `"world.proxies"`, `"world.proxy"`, "x.toml:10: sweep.0.key: world.proxy: there is no key proxy"},
		{"swept value", "[1, 2]\nwith", "[1, 0]\nwith", "x.toml:11: sweep.0.values: at world.proxies=0: 0 is not within"},
		{"swept type", "[1, 2]\nwith", `[1, "b"]` + "\nwith", "does not fit"},
		{"values of different lengths", "[0.3, 0.6]", "[0.3]", "x.toml:12: sweep.0.with.world.load: 1 values, where"},
		{"inline", "draw = 1", `trouble = [{kind = "hang", part = 2.0}]`,
			"x.toml:8: world.trouble.0.part: 2 is not within"},
		{"kind", "draw = 1", `trouble = [{kind = "flu"}]`, "x.toml:8: world.trouble.0.kind"},
		{"incomplete list entry", "[[sweep]]", "[[world.kinds]]\nname = \"a\"\nshare = 1.0\n[[sweep]]",
			"x.toml:9: world.kinds.0.cores"},
	} {
		text := strings.Replace(smallExperiment, c.old, c.new, 1)
		_, err := Parse("x.toml", []byte(text))
		var atKey *tomlfile.Error
		if err == nil || !errors.As(err, &atKey) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
	if _, err := Parse("x.toml", []byte(smallExperiment)); err != nil {
		t.Error(err)
	}
}

// runSmallExperiment runs smallExperiment and returns its results file.
func runSmallExperiment(t *testing.T, workers int) []byte {
	t.Helper()
	e, err := Parse("x.toml", []byte(smallExperiment))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := e.Run(context.Background(), workers, func(r *Result) error { return r.Write(&out) }); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestExperiment_RunIsIndependentOfWorkers(t *testing.T) {
	one, four := runSmallExperiment(t, 1), runSmallExperiment(t, 4)
	if !bytes.Equal(one, four) {
		t.Error("results differ with the number of workers")
	}
}

// Each run can be repeated from its line of the results file alone, and from its replay command.
func TestResult_RunIsRepeatable(t *testing.T) {
	text := runSmallExperiment(t, 2)
	all, err := ReadResults(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != 8 {
		t.Fatalf("%d results, want 8", len(all))
	}
	var again bytes.Buffer
	for _, r := range all {
		r.Simulate(nil)
		if err := r.Write(&again); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(text, again.Bytes()) {
		t.Error("a run that was repeated from its line has a different result")
	}
	want := "pumiceline lab replay x.toml --policy=two-choices --seed=2 --set=world.proxies=2 --set=world.load=0.6"
	if got := all[7].Replay; got != want {
		t.Errorf("replay %q, want %q", got, want)
	}
	// The settings of the replay command give the same scenario.
	e, _ := Parse("x.toml", []byte(smallExperiment))
	for _, s := range []string{"world.proxies=2", "world.load=0.6"} {
		set, err := ParseSetting(s)
		if err == nil {
			err = set.Apply(&e.Scenario)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if rep := Simulate(&e.Scenario, "two-choices", 2, nil).Report; rep.G != all[7].Report.G {
		t.Errorf("the replay command gives G %v, the results file has %v", rep.G, all[7].Report.G)
	}
}

func TestReadResults_RejectsUnknownFormat(t *testing.T) {
	for text, want := range map[string]string{`{"format":2}`: "line 1: format 2", "{\"format\":1}\n{": "line 2"} {
		if _, err := ReadResults(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Run returns the context's error if it is cancelled after the first result, and the callback's error if the callback
// fails.
func TestExperiment_RunReturnsContextAndCallbackErrors(t *testing.T) {
	e, err := Parse("x.toml", []byte(strings.Replace(smallExperiment, "[1, 2]\n[world]",
		"[1, 2, 3, 4, 5, 6, 7, 8, 9]\n[world]", 1)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := 0
	err = e.Run(ctx, 2, func(*Result) error {
		n++
		cancel()
		return nil
	})
	if !errors.Is(err, context.Canceled) || n >= e.Count() {
		t.Errorf("after %d results: %v", n, err)
	}
	full := errors.New("disk full")
	if err := e.Run(context.Background(), 2, func(*Result) error { return full }); !errors.Is(err, full) {
		t.Errorf("want the callback's error, have %v", err)
	}
}

func TestSimulate_UnknownPolicy(t *testing.T) {
	scenario := model.DefaultScenario()
	outcome := Simulate(&scenario, "nobody", 1, nil)
	if outcome.Report != nil || !errors.Is(outcome.Err, ErrUnknownPolicy) ||
		!strings.Contains(outcome.Err.Error(), "no policy") {
		t.Errorf("error %v", outcome.Err)
	}
}

// A panic in a run becomes the run's error. The error names the function but no addresses, which would differ from run
// to run.
func TestSimulate_PanicFailsOneRun(t *testing.T) {
	scenario := model.DefaultScenario()
	outcome := Simulate(&scenario, "decide", 1, panickingObserver{})
	if outcome.Report != nil || outcome.Err == nil || !strings.HasPrefix(outcome.Err.Error(),
		"panic: at the first record at pumiceline/") {
		t.Errorf("error %v", outcome.Err)
	}
}

type panickingObserver struct{}

func (panickingObserver) Observe(*model.Record) { panic("at the first record") }

// The expected values are calculated by hand: the differences 1, 2 and 3 have the mean 2 and the standard deviation 1,
// and Student's t at two degrees of freedom is 4.303.
func TestCompare_PairedDifferences(t *testing.T) {
	results := []*Result{}
	add := func(policy string, seed uint64, g float64) {
		results = append(results, &Result{Policy: policy, Seed: seed, Report: &checker.Report{G: g}})
	}
	for i, g := range []float64{10, 20, 30} {
		add("a", uint64(i), g)
	}
	for i, g := range []float64{11, 22, 33} {
		add("b", uint64(i), g)
	}
	g, _ := MeasureByName("g")
	comparisons := Compare(results, g)
	if len(comparisons) != 2 || comparisons[0].Difference.N != 0 {
		t.Fatalf("comparisons %+v", comparisons)
	}
	if d := comparisons[1].Difference; d.N != 3 || d.Mean != 2 || math.Abs(d.HalfWidth-4.3027/math.Sqrt(3)) > 1e-3 {
		t.Errorf("difference %+v", d)
	}
	if one := NewEstimate([]float64{5}); !math.IsNaN(one.HalfWidth) || one.Mean != 5 {
		t.Errorf("one value: %+v", one)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallExperiment))
	f.Add([]byte("[world]\ntrouble = [{kind = \"hang\", at = \"1s\"}]"))
	f.Add([]byte("[[sweep]]\nkey=\"world.kinds.0.cores\"\nvalues=[1.5]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Parse("x.toml", text)
		if err == nil && e.Count() > 0 { // an accepted experiment must be valid at every point
			points, err := e.Points()
			if err != nil {
				t.Fatal(err)
			}
			for i := range points {
				if err := points[i].Scenario.Validate(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
