package coordinator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
)

// brokenBody is a request body whose client disconnects.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func TestOperatorAPI_TooLargeOrIncompleteBody(t *testing.T) {
	for _, c := range []struct {
		name string
		body io.Reader
		want int
	}{
		{"too large", bytes.NewReader(make([]byte, maxConfigBody+1)), http.StatusRequestEntityTooLarge},
		{"client disconnects", brokenBody{}, http.StatusBadRequest},
	} {
		response := httptest.NewRecorder()
		(&operatorAPI{refusals: newConfigRefusals()}).ServeHTTP(response, httptest.NewRequest(http.MethodPut, "/config", c.body))
		assert.Equal(t, c.want, response.Code, c.name)
	}
}

// 503 promises that nothing was done, but a change that was not decided in time may still be applied.
func TestOperatorAPI_StatusOfUndecidedRequest(t *testing.T) {
	for method, want := range map[string]int{
		http.MethodGet: http.StatusServiceUnavailable,
		http.MethodPut: http.StatusGatewayTimeout, http.MethodPatch: http.StatusGatewayTimeout,
	} {
		loop := &replicaLoop{pending: newPendingResults(1), inbox: newInbox()}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		response := httptest.NewRecorder()
		request := httptest.NewRequest(method, "/config", nil).WithContext(ctx)
		(&operatorAPI{loop: loop, refusals: newConfigRefusals()}).ServeHTTP(response, request)
		assert.Equal(t, want, response.Code, method)
	}
}
