package fakestandalone

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"pumiceline/internal/singleton"
)

// The file in testdata was stored by an earlier version, cef8855, and must not be regenerated. The recorder reads the
// file, appends to it, and compares the tokens of new effects with the stored ones.
func TestRecorder_ReadsEffectsStoredByEarlierVersion(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "recorder-effects.jsonl"))
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
	at := func(nanoseconds int) time.Time {
		return time.Date(2026, time.December, 2, 15, 34, 23, nanoseconds, time.UTC)
	}
	want := []AcceptedEffect{
		{Effect: singleton.Effect{Role: "prices", Token: 1, Serial: 1}, From: "instance-a", At: at(286756902)},
		{Effect: singleton.Effect{Role: "roster", Token: 4, Serial: 9}, From: "instance-b", At: at(287447640)},
		{Effect: singleton.Effect{Role: "prices", Token: 2, Serial: 1}, From: "instance-c", At: at(287719634)},
		{Effect: singleton.Effect{Role: "prices", Token: 2, Serial: 3}, From: "instance-d", At: at(287871083)},
	}
	if got := r.Accepted(); !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	var again []byte
	for _, accepted := range want {
		line, err := json.Marshal(accepted)
		if err != nil {
			t.Fatal(err)
		}
		again = append(append(again, line...), '\n')
	}
	if !bytes.Equal(again, stored) {
		t.Errorf("written as\n%s", again)
	}
	for _, c := range []struct {
		effect string
		status int
	}{
		{`{"work":"prices","token":1,"serial":2}`, 409},
		{`{"work":"prices","token":2,"serial":3}`, 409},
		{`{"work":"roster","token":4,"serial":10}`, 200},
	} {
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest("POST", "/effects", bytes.NewReader([]byte(c.effect))))
		if w.Code != c.status {
			t.Errorf("%s: %d", c.effect, w.Code)
		}
	}
	now, err := os.ReadFile(file)
	if err != nil || !bytes.HasPrefix(now, stored) || bytes.Count(now, []byte("\n")) != len(want)+1 {
		t.Errorf("the file is now %s, %v", now, err)
	}
}
