package coordinationapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"unicode/utf8"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// FuzzBodyIsRejectedOrWithinLimits sends arbitrary bodies with each call that has one. Calls that reach the Caller must
// be within the limits.
func FuzzBodyIsRejectedOrWithinLimits(f *testing.F) {
	for _, body := range []string{
		`{"owner":"a","holdMs":3000,"fenceNo":41}`, `{"value":"v","ifRevision":0}`, `{"holdMs":1e9}`, `null`, `{"owner":"\ud800"}`, "\xff",
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, c := range []struct{ method, path string }{
			{"POST", "/locks/a"}, {"PUT", "/locks/a"}, {"DELETE", "/locks/a"}, {"POST", "/numbers/a"}, {"PUT", "/cells/a.b"},
		} {
			caller := &fakeCaller{answer: message.Answer{Status: coordination.StatusOK}}
			response := serve(caller, c.method, c.path, string(body))
			checkServed(t, caller, response)
		}
	})
}

// FuzzPathIsRejectedOrWithinLimits sends GET requests with arbitrary paths and queries. Calls that reach the Caller
// must be within the limits.
func FuzzPathIsRejectedOrWithinLimits(f *testing.F) {
	for _, path := range []string{"/watch/g1.?after=1&waitMs=2", "/cells/%2F", "/cells/%", "/watch/.", "/watch/a.?after=%31&after=2;", "//locks/a"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		target, err := url.ParseRequestURI(path)
		if err != nil {
			t.Skip("not a valid request URI")
		}
		caller := &fakeCaller{answer: message.Answer{Status: coordination.StatusOK}}
		recorder := httptest.NewRecorder()
		r := &http.Request{Method: http.MethodGet, URL: target, Header: http.Header{}, Body: http.NoBody}
		NewHandler(caller).ServeHTTP(recorder, r)
		checkServed(t, caller, recorder)
	})
}

func checkServed(t *testing.T, caller *fakeCaller, response *httptest.ResponseRecorder) {
	t.Helper()
	if !json.Valid(response.Body.Bytes()) {
		t.Errorf("answered with %q", response.Body)
	}
	if rejected := response.Code >= 400 && response.Code < 500; rejected != (len(caller.calls) == 0) {
		t.Errorf("answered with %d after %d calls", response.Code, len(caller.calls))
	}
	for _, call := range caller.calls {
		for _, name := range []string{string(call.Lock), string(call.Owner), string(call.Key), string(call.Group)} {
			if len(name) > coordination.MaxNameBytes || !utf8.ValidString(name) || strings.ContainsAny(name, "\x00\n\x7f") {
				t.Errorf("name %q", name)
			}
		}
		if call.HoldMs < 0 || call.HoldMs > coordination.MaxHold.Milliseconds() || len(call.Value) > coordination.MaxValueBytes {
			t.Errorf("beyond the limits: %+v", call)
		}
		if call.WaitMs < 0 || call.WaitMs > maxWatchWait.Milliseconds() {
			t.Errorf("waits %d ms", call.WaitMs)
		}
	}
}
