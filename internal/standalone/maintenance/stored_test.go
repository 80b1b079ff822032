package maintenance

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// testdata/suspended.json is the maintenance state as an earlier version stored it. The current version must read it,
// and write it with the same bytes.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/suspended.json")
	if err != nil {
		t.Fatal(err)
	}
	var got storedState
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	want := storedState{Version: 1, Disabled: []string{"quote-01", "quote-02"},
		EnabledAt: map[string]policy.Time{"quote-03": 1_700_000_000_000_001, "quote-04": 1_700_000_000_000_002}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	var s State
	if err := s.Restore(text); err != nil {
		t.Fatal(err)
	}
	ready := policy.Member{Server: 9, Mode: policy.ModeReady, StartedAt: 5}
	for name, want := range map[string]policy.Member{
		"quote-01": {Server: 9, Mode: policy.ModeDraining, StartedAt: 5},
		"quote-02": {Server: 9, Mode: policy.ModeDraining, StartedAt: 5},
		"quote-03": {Server: 9, Mode: policy.ModeReady, StartedAt: 1_700_000_000_000_001},
		"quote-04": {Server: 9, Mode: policy.ModeReady, StartedAt: 1_700_000_000_000_002},
		"quote-05": ready,
	} {
		if got := s.Apply(name, ready); got != want {
			t.Errorf("%s is published as %+v, want %+v", name, got, want)
		}
	}
	if written := s.Encode(); !bytes.Equal(written, bytes.TrimSpace(text)) {
		t.Errorf("written %s, want %s", written, text)
	}
}
