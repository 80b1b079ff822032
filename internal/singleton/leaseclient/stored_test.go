package leaseclient

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"pumiceline/internal/singleton"
)

// The history in testdata was written by an earlier version, cef8855. It must not be regenerated.
func TestReadsHistoryStoredByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "history.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	first := singleton.Effect{Role: "prices", Token: 2, Serial: 1}
	second := singleton.Effect{Role: "prices", Token: 2, Serial: 2}
	third := singleton.Effect{Role: "prices", Token: 3, Serial: 3}
	want := []HistoryRecord{
		{first, 1796225663287318982, OutcomeSent}, {first, 1796225663288391508, OutcomeAccepted},
		{second, 1796225663288420095, OutcomeSent}, {second, 1796225663288637564, OutcomeRejected},
		{third, 1796225663288647425, OutcomeSent}, {third, 1796225663288717355, OutcomeUnknown},
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("%d lines", len(lines))
	}
	for i, line := range lines {
		var record HistoryRecord
		if err := json.Unmarshal(line, &record); err != nil {
			t.Fatal(err)
		}
		if record != want[i] {
			t.Errorf("line %d: %+v, not %+v", i+1, record, want[i])
		}
		if again, err := json.Marshal(want[i]); err != nil || !bytes.Equal(again, line) {
			t.Errorf("line %d: written as %s, %v", i+1, again, err)
		}
	}
}
