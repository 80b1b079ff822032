package experiment

import (
	"bytes"
	"os"
	"reflect"
	"slices"
	"testing"

	"pumiceline/internal/fleetsim/checker"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// requireNoZeroFields fails for each field of a sample that has its zero value, because the test could not tell whether
// the field's key is read.
func requireNoZeroFields(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() {
				requireNoZeroFields(t, path+"."+f.Name, v.Field(i))
			}
		}
	case reflect.Pointer:
		requireNoZeroFields(t, path, v.Elem())
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s: the sample has no value", path)
		}
		for i := range v.Len() {
			if v.Index(i).Kind() == reflect.Struct {
				requireNoZeroFields(t, path, v.Index(i))
			}
		}
	default:
		if v.IsZero() {
			t.Errorf("%s: the sample has no value", path)
		}
	}
}

// An experiment file of an earlier version can still be read, with every key, kind of fault and policy name.
func TestParse_ReadsStoredExperiment(t *testing.T) {
	got, err := Load("testdata/experiment.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := Experiment{
		Name: "whole", Title: "Every key", Text: "An experiment as a user wrote it for an earlier version.",
		Policies: []string{"decide", "random", "round-robin", "two-choices", "least", "truth", "keyless", "unprobed",
			"door", "door-silent", "half",
			"quarter", "eighth"},
		Seeds: []uint64{3, 5},
		Sweeps: []Sweep{
			{Key: "world.proxies", Values: []any{int64(2), int64(3)}, With: map[string][]any{"world.load": {0.3, 0.6}},
				Log: true, Label: "proxies"},
			{Key: "world.kinds.0.cores", Values: []any{int64(4)}, With: map[string][]any{"world.told.cold": {"20s"}},
				Log: true, Label: "cores"},
		},
		Scenario: scenarioSample(),
	}
	requireNoZeroFields(t, "scenario", reflect.ValueOf(want.Scenario))
	read := *got
	read.File, read.keys = "", nil
	if !reflect.DeepEqual(read, want) {
		t.Errorf("read %+v\nwant %+v", read, want)
	}
	kinds := map[model.FaultKind]bool{}
	for _, fault := range got.Scenario.Faults {
		kinds[fault.Kind] = true
	}
	for kind := range model.FaultKinds {
		if !kinds[kind] {
			t.Errorf("the sample has no %s", kind)
		}
	}
	for policy := range Policies() {
		if !slices.Contains(want.Policies, policy) {
			t.Errorf("the sample has no policy %s", policy)
		}
	}
	points, err := got.Points() // swept keys are the names in the file
	if err != nil || len(points) != 2 {
		t.Fatalf("%d points, %v", len(points), err)
	}
	last := points[1]
	if last.Scenario.Proxies != 3 || last.Scenario.Load != 0.6 || last.Scenario.InstanceTypes[0].Cores != 4 ||
		last.Scenario.Published.WarmupTime != 20e6 {
		t.Errorf("the last point is %v", last.Settings)
	}
}

// resultSample returns the first line of testdata/results.jsonl. It sets every key to a value other than its zero
// value.
func resultSample() *Result {
	violation := func(rule checker.Rule) checker.Violation {
		return checker.Violation{Rule: rule, At: 1_500_000, Proxy: 2, Server: 7, ID: 99, Cause: "sent after its end"}
	}
	r := &Result{
		Format: 1, Experiment: "whole", Title: "Every key", Text: "A play as an earlier version kept it.",
		Policy: "decide", Seed: 3,
		Point:    []Setting{{Key: "world.proxies", Value: 2.0}, {Key: "world.told.cold", Value: "20s"}},
		Axes:     []Axis{{Key: "world.proxies", Label: "proxies", Log: true}},
		Replay:   "pumiceline lab replay whole.toml --policy=decide --seed=3 --set=world.proxies=2",
		Scenario: scenarioSample(),
		Stats:    model.Stats{Events: 1001, Handled: 1002, Requests: 1003, End: 46_000_001},
		Error:    "panic: none at pumiceline/decide.New",
		Report: &checker.Report{
			G: 0.91, Overall: 0.92, Worst10s: 0.81, Worst10sStart: 11,
			ByClass:         map[string]float64{"quick-quote": 0.93, "full-quote": 0.94},
			ByTenant:        map[string]float64{"steppe-tours": 0.95},
			Prices:          map[string]float64{"cross": 0.01, "waste": 0.02},
			ViolationCounts: [4]int{1, 2, 3, 4}, Violations: []checker.Violation{violation(1), violation(4)},
			RepeatedEffects: 5, RepeatedEffectCauses: []checker.Violation{violation(2)},
			ColdStarts: 6, ColdOverloads: 7, ColdBoundExceeded: 8, PeakColdLoad: 2.75,
			DiscoveryCalls: 9, DiscoveryCallsFailed: 10, PeakDiscoveryCalls: 11, ListedWithinP95: 1.25,
			Requests: 12, InTime: 13, Late: 14, Unserved: 15,
			CrossZone: 0.11, ConnectionsOpened: 0.12, WastedWork: 0.13,
			ServiceBySecond: []float64{0.5, -1}, LoadBands: [][]float64{{0.1, 0.2}, {0.3, 0.4}},
			Latency: map[string]string{"quick-quote": "HISTFAAA"},
		},
	}
	r.Report.Responses.Served, r.Report.Responses.Rejected, r.Report.Responses.Failed = 16, 17, 18
	return r
}

// Results that an earlier version stored can still be read, with every key, and are written back with the same bytes:
// the replay command compares results byte by byte.
func TestReadResults_ReadsStoredResults(t *testing.T) {
	stored, err := os.ReadFile("testdata/results.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ReadResults(bytes.NewReader(stored))
	if err != nil {
		t.Fatal(err)
	}
	want := resultSample()
	requireNoZeroFields(t, "result", reflect.ValueOf(want))
	if len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Fatalf("read %+v\nwant %+v", got, want)
	}
	var written bytes.Buffer
	if err := got[0].Write(&written); err != nil || !bytes.Equal(written.Bytes(), stored) {
		t.Errorf("%v: written %s\nwant %s", err, &written, stored)
	}
}

// A trace has the keys and the record kinds' names of an earlier version. The sample has one line for each kind of
// record.
func TestTracer_WritesStoredFormat(t *testing.T) {
	stored, err := os.ReadFile("testdata/trace.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	sample := model.Record{At: 1_250_000, Outcome: policy.TimedOut, Flag: true, Attempt: 2, Class: 3, Tenant: 4,
		Proxy: 5, Server: 6, Zone: 7, Cell: 8,
		ID: 9, Request: 10, Work: 11, Value: 1.5, Duration: 12, Capacity: 2.5, Version: 13, Load: []float64{0.25, 0.75},
		Members: []policy.Member{{Server: 14, Zone: 15, Cell: 16, InstanceType: 17, Mode: policy.ModeDraining,
			Size: 3.5, StartedAt: 18}}}
	var written bytes.Buffer
	tracer := Tracer{Out: &written}
	for kind := model.SimulationStarted; kind <= model.LoadSampled; kind++ {
		sample.Kind = kind
		tracer.Observe(&sample)
	}
	requireNoZeroFields(t, "record", reflect.ValueOf(sample))
	if !bytes.Equal(written.Bytes(), stored) {
		t.Errorf("written %s\nwant %s", &written, stored)
	}
}

// A value on the command line is parsed as in an experiment file.
func TestParseSetting(t *testing.T) {
	for text, want := range map[string]Setting{
		"world.servers=50":       {Key: "world.servers", Value: int64(50)},
		"world.tick=5ms":         {Key: "world.tick", Value: "5ms"},
		"world.load=0.5":         {Key: "world.load", Value: 0.5},
		"world.trouble=[]":       {Key: "world.trouble", Value: []any{}},
		"world.told.copies=true": {Key: "world.told.copies", Value: true},
	} {
		if got, err := ParseSetting(text); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s read as %+v, %v", text, got, err)
		}
	}
}
