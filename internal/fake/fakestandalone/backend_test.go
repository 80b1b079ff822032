package fakestandalone

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestBackend_ImplementsProtocol(t *testing.T) {
	b := &Backend{Name: "d", Cores: 1, Serve: func() {}}
	send := func(id string) *http.Response {
		req := httptest.NewRequest(http.MethodPost, "/c?q", strings.NewReader("body"))
		req.Header.Set("X-Correlation-Id", id)
		w := httptest.NewRecorder()
		b.ServeHTTP(w, req)
		return w.Result()
	}
	if got := send("").StatusCode; got != http.StatusNotFound {
		t.Errorf("no id: %d", got)
	}
	resp := send("1")
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "d answers POST /c?q with 4 bytes") ||
		!strings.HasPrefix(resp.Header.Get("X-Backend-Load"), "TEXT util=") {
		t.Errorf("%d %s %v", resp.StatusCode, body, resp.Header)
	}
	b.SetErrorRatio(1)
	if got := send("2").StatusCode; got != http.StatusInternalServerError {
		t.Errorf("failing: %d", got)
	}
	b.SetDraining(true)
	if resp := send("3"); resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Unprocessed") != "1" {
		t.Errorf("draining: %d %v", resp.StatusCode, resp.Header)
	}
	if b.Served() != 1 || b.InFlight() != 0 {
		t.Errorf("served %d, in flight %d", b.Served(), b.InFlight())
	}
}
