package policy

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// learntSample is the content of testdata/learnt.json.
func learntSample() Learnt {
	return Learnt{
		At: 1_700_000_000_000_000, ArrivalRate: 120.5, MeanWork: 2500.25, Usual: 52_000.5, Window: 64.5, Remote: 0.125,
		Mean:   LearntKind{Kind: 3, QPS: 11.5, Util: 0.375, Size: 1.25, Mean: 30.5},
		Kinds:  []LearntKind{{Kind: 1, QPS: 10.5, Util: 0.5, Size: 2.5, Mean: 21.5}, {Kind: 2, QPS: 8.25, Util: 0.75, Size: 1.5, Mean: 11.25}},
		Shares: []float64{0.25, 0.5},
		Calm:   []float64{41_000.5, 82_000.25},
		Servers: []LearntServer{
			{Server: 7, UpSince: 1_699_999_000_000_001, LastReport: 1_699_999_999_000_002, NonEmptySince: 1_699_999_500_000_003,
				Ready: 1_699_999_010_000_004, Cold: true, QPS: 12.5, Util: 0.625, EPS: 0.25, Mass: 33.5, Tokens: 4.5, Pace: 1.75, Faults: 0.0625},
			{Server: 8, UpSince: 1_699_998_000_000_005, LastReport: 1_699_999_998_000_006, NonEmptySince: 1_699_999_400_000_007,
				Ready: 1_699_998_010_000_008, Cold: true, QPS: 14.5, Util: 0.875, EPS: 0.5, Mass: 35.5, Tokens: -2.5, Pace: 2.25, Faults: 0.125},
		},
	}
}

// A process hands what its balancer has learnt to its successor, which may be of another version. The file is what an earlier version
// stored: every field is read from the same key, and written under it.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/learnt.json")
	if err != nil {
		t.Fatal(err)
	}
	var got Learnt
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if want := learntSample(); !reflect.DeepEqual(got, want) {
		t.Errorf("read  %+v\nwant %+v", got, want)
	}
	written, err := json.Marshal(got)
	if err != nil {
		t.Fatal(err)
	}
	if want := bytes.TrimSpace(text); !bytes.Equal(written, want) {
		t.Errorf("written %s\nwant    %s", written, want)
	}
}

// A balancer that adopts what an earlier version stored has each of its values.
func TestAdoptsStateStoredByEarlierVersion(t *testing.T) {
	stored := learntSample()
	set := Settings{Classes: []Class{{Deadline: 4e6, Worth: 1}, {Deadline: 2e6, Worth: 1}}, Columns: []Column{ColQPS, ColUtil},
		ReportVia: ReportsInAnswers, Tenants: []Tenant{{QuotaPerS: 50}, {QuotaPerS: 20}}, Rules: Rules{Cold: 24e6, ColdShare: 0.1}}
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	members := []Member{{Server: 7, Kind: 1, Mode: ModeReady, Size: 1, UpSince: stored.Servers[0].UpSince}, {Server: 8, Kind: 2, Mode: ModeReady, Size: 1, UpSince: stored.Servers[1].UpSince}}
	b.Handle(stored.At, &Event{Kind: ListFull, Members: members}, nil)
	if len(b.shares) != len(stored.Shares) {
		t.Fatalf("%d shares, the sample has %d", len(b.shares), len(stored.Shares))
	}
	if !b.Adopt(stored.At, &stored) {
		t.Fatal("not adopted")
	}
	want := learntSample()
	want.Mean.Kind, want.Mean.QPS, want.Mean.Util = 0, 0, 0 // the mean over all kinds has no kind and no load
	if got := b.Learnt(); !reflect.DeepEqual(*got, want) {
		t.Errorf("adopted %+v\nwant    %+v", *got, want)
	}
}
