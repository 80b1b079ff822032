package coordinationapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/coordination"
	"pumiceline/internal/message"
)

// fakeCaller gives every call the same answer and records the calls.
type fakeCaller struct {
	answer message.Answer
	err    error
	calls  []message.Call
}

func (f *fakeCaller) Call(_ context.Context, call message.Call) (message.Answer, error) {
	f.calls = append(f.calls, call)
	return f.answer, f.err
}

func serve(caller Caller, method, target, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	NewHandler(caller).ServeHTTP(recorder, httptest.NewRequest(method, target, strings.NewReader(body)))
	return recorder
}

func TestCallsAreParsedAndAnswersWritten(t *testing.T) {
	ok := coordination.StatusOK
	event := message.KeyEvent{Key: "g1.2d", Value: "5c0e", Revision: 931}
	for _, c := range []struct {
		name, method, target, body string
		call                       message.Call
		answer                     message.Answer
		response                   string
	}{
		{"acquire", "POST", "/locks/l1f", `{"owner":"a3.7","holdMs":3000}`,
			message.Call{Kind: message.CallAcquire, Lock: "l1f", Owner: "a3.7", HoldMs: 3000},
			message.Answer{Status: ok, Token: 41}, `{"fenceNo":41}`},
		{"acquire a held lock", "POST", "/locks/l1f", `{"owner":"a3.7","holdMs":3000}`,
			message.Call{Kind: message.CallAcquire, Lock: "l1f", Owner: "a3.7", HoldMs: 3000},
			message.Answer{Status: coordination.StatusHeld}, `{}`},
		{"renew", "PUT", "/locks/l1f", `{"owner":"a3.7","fenceNo":41,"holdMs":3000}`,
			message.Call{Kind: message.CallRenew, Lock: "l1f", Owner: "a3.7", Token: 41, HoldMs: 3000},
			message.Answer{Status: ok, Token: 41}, `{}`},
		{"release", "DELETE", "/locks/l1f", `{"owner":"a3.7","fenceNo":41}`,
			message.Call{Kind: message.CallRelease, Lock: "l1f", Owner: "a3.7", Token: 41},
			message.Answer{Status: ok}, `{}`},
		{"number", "POST", "/numbers/n2", `{}`, message.Call{Kind: message.CallNumber, Key: "n2"},
			message.Answer{Status: ok, Number: 5120}, `{"value":5120}`},
		{"number without a body", "POST", "/numbers/n2", ``, message.Call{Kind: message.CallNumber, Key: "n2"},
			message.Answer{Status: ok, Number: 18446744073709551615}, `{"value":18446744073709551615}`},
		{"put", "PUT", "/cells/g1.2d", `{"value":"5c0e","ifRevision":907}`,
			message.Call{Kind: message.CallPut, Key: "g1.2d", Value: "5c0e", IfRevision: 907},
			message.Answer{Status: ok, Revision: 931}, `{"revision":931}`},
		{"put with unknown fields", "PUT", "/cells/g1.2d", `{"value":"","ifRevision":0,"more":[1]}`,
			message.Call{Kind: message.CallPut, Key: "g1.2d"},
			message.Answer{Status: coordination.StatusRevisionMismatch, Revision: 922}, `{"revision":922}`},
		{"put without a revision", "PUT", "/cells/g1.2d", `{"value":"5c0e"}`,
			message.Call{Kind: message.CallPut, Key: "g1.2d", Value: "5c0e", IfAny: true},
			message.Answer{Status: ok, Revision: 931}, `{"revision":931}`},
		{"put to a full state", "PUT", "/cells/g1.2d", `{"value":"v","ifRevision":0}`,
			message.Call{Kind: message.CallPut, Key: "g1.2d", Value: "v"},
			message.Answer{Status: coordination.StatusInsufficientMemory}, `{"error":"the state is as large as it may get"}`},
		{"get", "GET", "/cells/g1.2d", ``, message.Call{Kind: message.CallGet, Key: "g1.2d"},
			message.Answer{Status: ok, Value: "5c0e", Revision: 931}, `{"value":"5c0e","revision":931}`},
		{"get of a name in percent-encoding", "GET", "/cells/g1%2F.%C3%A9", ``, message.Call{Kind: message.CallGet, Key: "g1/.é"},
			message.Answer{Status: coordination.StatusNotFound}, `{"error":"the key was never put"}`},
		{"watch", "GET", "/watch/g1.?after=930&waitMs=2000", ``,
			message.Call{Kind: message.CallWatch, Group: "g1.", After: 930, WaitMs: 2000},
			message.Answer{Status: ok, Events: []message.KeyEvent{event}, Revision: 934},
			`{"events":[{"name":"g1.2d","value":"5c0e","revision":931}],"revision":934}`},
		{"watch without an event", "GET", "/watch/g1.?after=930&waitMs=90000", ``,
			message.Call{Kind: message.CallWatch, Group: "g1.", After: 930, WaitMs: 30000},
			message.Answer{Status: ok, Revision: 930}, `{"events":[],"revision":930}`},
		{"watch of dropped events", "GET", "/watch/g1.", ``, message.Call{Kind: message.CallWatch, Group: "g1."},
			message.Answer{Status: coordination.StatusHistoryGone}, `{"error":"after is older than the history that is kept"}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller := &fakeCaller{answer: c.answer}
			response := serve(caller, c.method, c.target, c.body)
			assert.Equal(t, []message.Call{c.call}, caller.calls)
			assert.EqualValues(t, c.answer.Status, response.Code)
			assert.Equal(t, c.response, response.Body.String())
			assert.Equal(t, "application/json", response.Header().Get("Content-Type"))
		})
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("n", coordination.MaxNameBytes+1)
	for _, c := range []struct {
		name, method, target, body string
		status                     int
		text                       string // part of the message
	}{
		{"no resource", "GET", "/lock/a", ``, 404, "no such resource"},
		{"empty name", "POST", "/locks/", `{"owner":"a","holdMs":1}`, 400, "the name is empty"},
		{"two segments", "POST", "/locks/a/b", `{"owner":"a","holdMs":1}`, 400, "one segment"},
		{"long name", "POST", "/locks/" + long, `{"owner":"a","holdMs":1}`, 400, "longer than 128 bytes"},
		{"name with a control character", "POST", "/locks/a%0Ab", `{"owner":"a","holdMs":1}`, 400, "control characters"},
		{"name that is not UTF-8", "POST", "/locks/a%FF", `{"owner":"a","holdMs":1}`, 400, "not UTF-8"},
		{"owner twice", "POST", "/locks/a", `{"owner":"a","owner":"b","holdMs":1}`, 400, `the key \"owner\" stands twice`},
		{"owner twice by case", "POST", "/locks/a", `{"owner":"a","Owner":"b","holdMs":1}`, 400, "differ in case only"},
		{"owner that no string can hold", "POST", "/locks/a", `{"owner":"a\ud800","holdMs":1}`, 400, "half of a character"},
		{"truncated JSON", "POST", "/locks/a", `{"owner":"a"`, 400, "JSON object"},
		{"empty body", "POST", "/locks/a", ``, 400, "JSON object"},
		{"array", "POST", "/locks/a", `[]`, 400, "JSON object"},
		{"null", "POST", "/locks/a", `null`, 400, "JSON object"},
		{"more after the object", "POST", "/locks/a", `{"owner":"a","holdMs":1}{}`, 400, "JSON object"},
		{"body that is not UTF-8", "POST", "/locks/a", "{\"owner\":\"\xff\",\"holdMs\":1}", 400, "not UTF-8"},
		{"no owner", "POST", "/locks/a", `{"holdMs":1}`, 400, "owner is missing"},
		{"empty owner", "POST", "/locks/a", `{"owner":"","holdMs":1}`, 400, "owner is empty"},
		{"long owner", "POST", "/locks/a", `{"owner":"` + long + `","holdMs":1}`, 400, "owner is longer"},
		{"owner with a control character", "POST", "/locks/a", `{"owner":"\u0000","holdMs":1}`, 400, "owner has control"},
		{"owner not a string", "POST", "/locks/a", `{"owner":7,"holdMs":1}`, 400, "owner must be a string"},
		{"owner in capitals", "POST", "/locks/a", `{"Owner":"a","holdMs":1}`, 400, "owner is missing"},
		{"no holdMs", "POST", "/locks/a", `{"owner":"a"}`, 400, "holdMs is missing"},
		{"holdMs null", "POST", "/locks/a", `{"owner":"a","holdMs":null}`, 400, "holdMs is missing"},
		{"holdMs 0", "POST", "/locks/a", `{"owner":"a","holdMs":0}`, 400, "holdMs must be between"},
		{"holdMs negative", "PUT", "/locks/a", `{"owner":"a","fenceNo":1,"holdMs":-1}`, 400, "holdMs must be a whole number"},
		{"holdMs fractional", "PUT", "/locks/a", `{"owner":"a","fenceNo":1,"holdMs":1.5}`, 400, "holdMs must be a whole number"},
		{"holdMs too long", "PUT", "/locks/a", `{"owner":"a","fenceNo":1,"holdMs":600001}`, 400, "holdMs must be between"},
		{"holdMs beyond any number", "POST", "/locks/a", `{"owner":"a","holdMs":1e400}`, 400, "holdMs: the number 1e400 is out of range"},
		{"no fenceNo to renew", "PUT", "/locks/a", `{"owner":"a","holdMs":1}`, 400, "fenceNo is missing"},
		{"no fenceNo to release", "DELETE", "/locks/a", `{"owner":"a"}`, 400, "fenceNo is missing"},
		{"fenceNo negative", "DELETE", "/locks/a", `{"owner":"a","fenceNo":-4}`, 400, "fenceNo must be"},
		{"release without a body", "DELETE", "/locks/a", ``, 400, "JSON object"},
		{"number with a broken body", "POST", "/numbers/a", `{`, 400, "JSON object"},
		{"no value", "PUT", "/cells/a.b", `{"ifRevision":1}`, 400, "value is missing"},
		{"value not a string", "PUT", "/cells/a.b", `{"value":{},"ifRevision":1}`, 400, "value must be a string"},
		{"long value", "PUT", "/cells/a.b", `{"value":"` + strings.Repeat("v", coordination.MaxValueBytes+1) + `","ifRevision":1}`, 400, "value is longer"},
		{"ifRevision null", "PUT", "/cells/a.b", `{"value":"v","ifRevision":null}`, 400, "ifRevision is missing"},
		{"ifRevision negative", "PUT", "/cells/a.b", `{"value":"v","ifRevision":-1}`, 400, "ifRevision must be"},
		{"ifRevision fractional", "PUT", "/cells/a.b", `{"value":"v","ifRevision":0.5}`, 400, "ifRevision must be"},
		{"watch of no group", "GET", "/watch/g1?after=1", ``, 400, "group of keys"},
		{"watch of a key", "GET", "/watch/g1.a?after=1", ``, 400, "group of keys"},
		{"watch of a group in a group", "GET", "/watch/g1.a.?after=1", ``, 400, "group of keys"},
		{"after negative", "GET", "/watch/g1.?after=-1", ``, 400, "after must be"},
		{"waitMs not a number", "GET", "/watch/g1.?after=1&waitMs=2s", ``, 400, "waitMs must be"},
		{"query that is not encoded", "GET", "/watch/g1.?after=%zz", ``, 400, "the query"},
		{"body too long", "PUT", "/cells/a.b", strings.Repeat(" ", maxBodyBytes+1), 413, "over 64 KB"},
	} {
		t.Run(c.name, func(t *testing.T) {
			caller := &fakeCaller{}
			response := serve(caller, c.method, c.target, c.body)
			assert.Equal(t, c.status, response.Code)
			assert.Contains(t, response.Body.String(), c.text)
			assert.Empty(t, caller.calls, "an invalid request must not reach the Caller")
		})
	}
}

func TestUnsupportedMethodsAreRejectedWithAllowHeader(t *testing.T) {
	for _, c := range []struct{ method, target, allow string }{
		{"GET", "/locks/a", "POST, PUT, DELETE"},
		{"PATCH", "/locks/a", "POST, PUT, DELETE"},
		{"GET", "/numbers/a", "POST"},
		{"POST", "/cells/a.b", "GET, PUT"},
		{"HEAD", "/cells/a.b", "GET, PUT"},
		{"POST", "/watch/a.", "GET"},
	} {
		response := serve(&fakeCaller{}, c.method, c.target, `{}`)
		assert.Equal(t, http.StatusMethodNotAllowed, response.Code, c)
		assert.Equal(t, c.allow, response.Header().Get("Allow"), c)
	}
}

func TestCallerErrorsMapToStatusCodes(t *testing.T) {
	for _, c := range []struct {
		err        error
		status     int
		retryAfter string
	}{
		{errors.Wrap(ErrNotExecuted, "relay"), 503, "0.2"},
		{errors.Wrap(ErrTooManyCalls, "relay"), 429, "0.2"},
		{errors.Wrap(ErrOutcomeUnknown, "relay"), 504, ""},
		{context.Canceled, 504, ""},
	} {
		response := serve(&fakeCaller{err: c.err}, "POST", "/numbers/a", `{}`)
		assert.Equal(t, c.status, response.Code)
		assert.Equal(t, c.retryAfter, response.Header().Get("Retry-After"))
	}
}

func TestAnswerWithAnUnknownStatusIsAnUnknownOutcome(t *testing.T) {
	for _, status := range []message.CallStatus{0, 99, 299, 503, 10000} {
		response := serve(&fakeCaller{answer: message.Answer{Status: status}}, "POST", "/numbers/a", `{}`)
		assert.Equal(t, http.StatusGatewayTimeout, response.Code)
	}
}

func TestServesOnlyTheResources(t *testing.T) {
	for path, want := range map[string]bool{
		"/locks/a": true, "/numbers/a": true, "/cells/a.b": true, "/watch/a.": true, "/config": false, "/status": false, "/locks": false,
	} {
		assert.Equal(t, want, Serves(path), path)
	}
}

func TestConnectionIsReusedAfterErrorsAndUnreadBodies(t *testing.T) {
	server := httptest.NewServer(NewHandler(&fakeCaller{answer: message.Answer{Status: coordination.StatusOK}}))
	defer server.Close()
	opened := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			opened++
		}
	}}
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/numbers/a", `{}`},
		{"DELETE", "/locks/a", `{"owner":"a","fenceNo":1}`},
		{"PATCH", "/locks/a", strings.Repeat("x", maxBodyBytes)},
		{"GET", "/cells/a.b", `{"unasked":1}`},
		{"POST", "/nothing", strings.Repeat("x", maxBodyBytes)},
		{"PUT", "/cells/a.b", `{`},
		{"GET", "/watch/a.", ``},
	} {
		ctx := httptrace.WithClientTrace(t.Context(), trace)
		r, err := http.NewRequestWithContext(ctx, c.method, server.URL+c.path, strings.NewReader(c.body))
		require.NoError(t, err)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
	}
	assert.Equal(t, 1, opened)
}
