package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request that one coordinator cannot decide goes to the next one, unchanged.
func TestCoordinators_SendAsksNextUntilDecided(t *testing.T) {
	var received []string
	serve := func(status int) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			assert.NoError(t, err)
			received = append(received, r.Method+" "+r.URL.Path+" "+r.Header.Get("If-Match")+" "+string(body))
			w.WriteHeader(status)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	undecided, decided := serve(http.StatusServiceUnavailable), serve(http.StatusPreconditionFailed)
	c := &coordinators{list: undecided + "," + decided}
	r, err := c.send(t.Context(), request{method: http.MethodPut, path: "/config", ifMatch: "7", body: []byte("{}")})
	require.NoError(t, err)
	assert.Equal(t, http.StatusPreconditionFailed, r.status)
	assert.Equal(t, []string{"PUT /config 7 {}", "PUT /config 7 {}"}, received)
}

func TestCoordinators_SendNeedsAddress(t *testing.T) {
	_, err := (&coordinators{}).send(t.Context(), request{method: http.MethodGet, path: "/config"})
	assert.ErrorContains(t, err, "--control")
}
