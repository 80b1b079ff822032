package fakestandalone

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"pumiceline/internal/singleton"
)

// A recorder still rejects stale effects after a restart, as it reads the accepted effects from its file. It drops an
// incomplete last line, whose effect was never acknowledged.
func TestRecorder_Restart(t *testing.T) {
	file := t.TempDir() + "/effects"
	send := func(r *Recorder, e singleton.Effect) int {
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest("POST", "/effects", bytes.NewReader(text)))
		return w.Code
	}
	first, err := NewRecorder(file)
	if err != nil {
		t.Fatal(err)
	}
	if status := send(first, singleton.Effect{Role: "w", Token: 2, Serial: 1}); status != http.StatusOK {
		t.Errorf("newer effect: %d", status)
	}
	if status := send(first, singleton.Effect{Role: "w", Token: 1, Serial: 9}); status != http.StatusConflict {
		t.Errorf("stale effect: %d", status)
	}
	first.Close()
	complete, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append(complete, `{"work":"w","token":3,"ser`...), 0o600); err != nil {
		t.Fatal(err)
	}
	second, err := NewRecorder(file)
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if status := send(second, singleton.Effect{Role: "w", Token: 1, Serial: 10}); status != http.StatusConflict {
		t.Errorf("stale effect after a restart: %d", status)
	}
	if status := send(second, singleton.Effect{Role: "w", Token: 2, Serial: 2}); status != http.StatusOK {
		t.Errorf("next effect after a restart: %d", status)
	}
	if n := len(second.Accepted()); n != 2 {
		t.Errorf("%d effects are accepted, want 2", n)
	}
}
