package leaseclient

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"pumiceline/internal/singleton"
)

// The history in testdata was stored by an earlier version, cef8855, and is never written anew.
func TestReadsHistoryStoredByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "history.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	first := singleton.Effect{Role: "prices", Token: 2, Serial: 1}
	second := singleton.Effect{Role: "prices", Token: 2, Serial: 2}
	third := singleton.Effect{Role: "prices", Token: 3, Serial: 3}
	want := []Told{
		{first, 1796225663287318982, "sent"}, {first, 1796225663288391508, "taken"},
		{second, 1796225663288420095, "sent"}, {second, 1796225663288637564, "refused"},
		{third, 1796225663288647425, "sent"}, {third, 1796225663288717355, "unknown"},
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("%d lines", len(lines))
	}
	for i, line := range lines {
		var told Told
		if err := json.Unmarshal(line, &told); err != nil {
			t.Fatal(err)
		}
		if told != want[i] {
			t.Errorf("line %d: %+v, not %+v", i+1, told, want[i])
		}
		if again, err := json.Marshal(want[i]); err != nil || !bytes.Equal(again, line) {
			t.Errorf("line %d: written as %s, %v", i+1, again, err)
		}
	}
}
