package fakestandalone

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"pumiceline/internal/singleton"
)

// A recorder reads the effects that an earlier version stored, compares new effects with them, and appends new effects
// in the same format.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile("testdata/effects.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "effects")
	if err := os.WriteFile(file, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := NewRecorder(file)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	want := []AcceptedEffect{
		{Effect: singleton.Effect{Role: "export", Token: 3, Serial: 1}, From: "instance 1", At: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)},
		{Effect: singleton.Effect{Role: "export", Token: 5, Serial: 2}, From: "instance 2", At: time.Date(2026, 1, 2, 3, 4, 6, 7, time.UTC)},
		{Effect: singleton.Effect{Role: "billing", Token: 4, Serial: 9}, From: "instance 3", At: time.Date(2026, 1, 2, 3, 4, 7, 8, time.UTC)},
	}
	if got := r.Accepted(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
	for i, line := range bytes.Split(bytes.TrimSpace(stored), []byte("\n")) {
		if written, err := json.Marshal(want[i]); err != nil || !bytes.Equal(written, line) {
			t.Errorf("written %s, %v, want %s", written, err, line)
		}
	}
	for _, c := range []struct {
		name, effect string
		status       int
	}{
		{"with a lower token than the stored one", `{"work":"export","token":4,"serial":1}`, 409},
		{"that is stored already", `{"work":"export","token":5,"serial":2}`, 409},
		{"of another role that is stored already", `{"work":"billing","token":4,"serial":9}`, 409},
		{"with the stored token and the next serial", `{"work":"export","token":5,"serial":3}`, 200},
	} {
		w, req := httptest.NewRecorder(), httptest.NewRequest("POST", "/effects", strings.NewReader(c.effect))
		req.Header.Set("X-From", "instance 4")
		if r.ServeHTTP(w, req); w.Code != c.status {
			t.Errorf("effect %s: %d, want %d", c.name, w.Code, c.status)
		}
	}
	written, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	added, isAppended := bytes.CutPrefix(written, stored)
	form := regexp.MustCompile(`^\{"work":"export","token":5,"serial":3,"from":"instance 4","at":"[-0-9T:.Z+]+"\}\n$`)
	if !isAppended || !form.Match(added) {
		t.Errorf("appended %s", added)
	}
}

// The fake of discovery writes lists under the keys that earlier versions read.
func TestWritesListReadByEarlierVersion(t *testing.T) {
	u := update{Seq: 41, Full: true}
	if text, err := json.Marshal(u); err != nil || string(text) != `{"seq":41,"whole":true,"hosts":null}` {
		t.Errorf("%s, %v", text, err)
	}
}
