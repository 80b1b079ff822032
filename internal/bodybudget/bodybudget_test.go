package bodybudget

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The limit holds for all requests in flight together, and a request that is done counts no more.
func TestHandler_BoundsBodiesTogether(t *testing.T) {
	var server *Handler
	var inner error
	isNested := false
	read := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		if errors.Is(err, ErrExhausted) {
			w.WriteHeader(http.StatusServiceUnavailable)
			inner = err
			return
		}
		assert.NoError(t, err)
		if !isNested {
			isNested = true
			assert.Equal(t, http.StatusServiceUnavailable, put(server, 60), "beside a body of 60 bytes")
			assert.Equal(t, http.StatusOK, put(server, 40))
		}
	})
	server = NewHandler(read, 100)
	assert.Equal(t, http.StatusOK, put(server, 60))
	assert.ErrorIs(t, inner, ErrExhausted)
	assert.Equal(t, http.StatusOK, put(server, 100), "the others are done")
	assert.Equal(t, http.StatusServiceUnavailable, put(server, 101))
	assert.Zero(t, server.budget.used.Load())
}

func put(handler http.Handler, bytes int) int {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("x", bytes))))
	return recorder.Code
}
