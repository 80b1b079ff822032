package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

func read(t *testing.T, handler http.HandlerFunc) (*Table, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	return NewReader(strings.TrimPrefix(server.URL, "http://")).Read(context.Background())
}

func TestAllPagesAreRead(t *testing.T) {
	table, err := read(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("page") == "" {
			fmt.Fprint(w, `{"backends":[{"id":"a","service":"s","address":"1:1","state":"draining","timeLeftMs":5,"extra":{}}],"nextPage":"p/2 x"}`)
			return
		}
		assert.Equal(t, "p/2 x", r.URL.Query().Get("page"))
		fmt.Fprint(w, `{"backends":[{"id":"b","service":"s","address":"2:2","state":"ready","models":[{"name":"m","adapters":["a1"]}]}],"nextPage":null}`)
	})
	require.NoError(t, err)
	require.Len(t, table.Backends, 2)
	assert.True(t, table.Backends[0].Draining)
	assert.True(t, table.Backends[1].Holds("m/a1"))
	assert.NotZero(t, table.Digest)
}

func TestAListThatCannotBeUsedIsAnError(t *testing.T) {
	for text, want := range map[string]string{
		`{"backends":[{"id":"a"`: "no whole JSON",
		`{"nextPage":null}`:      "has no backends",
		`{"backends":[{"id":"a","service":"s"}],"nextPage":null}`: "backends[0]: id, service and address must be given",
	} {
		_, err := read(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) })
		assert.ErrorContains(t, err, want)
	}
	_, err := read(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) })
	assert.ErrorContains(t, err, "status 429")
}

func FuzzParsePage(f *testing.F) {
	f.Add([]byte(`{"backends":[{"id":"a","service":"s","address":"1:1"}],"nextPage":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if read, err := parsePage(text); (read == nil) == (err == nil) {
			t.Fatal("a page or an error, not both")
		}
	})
}

func tableOf(entries ...message.Backend) *Table {
	t := &Table{Backends: entries}
	t.SetDigest()
	return t
}

func TestUpdatesLeadToTheSameTable(t *testing.T) {
	a, b, c := message.Backend{ID: "a"}, message.Backend{ID: "b"}, message.Backend{ID: "c"}
	loaded := b
	loaded.Models = []message.LoadedModel{{Name: "m"}}
	before, after := tableOf(c, a, b), tableOf(loaded, a, message.Backend{ID: "d"})
	update := after.Since(before)
	assert.Len(t, update.Backends, 2, "only what changed")
	assert.Equal(t, []message.BackendID{"c"}, update.Removed)
	next, ok := Apply(before, update)
	require.True(t, ok)
	assert.Equal(t, after.Backends, next.Backends)
	_, ok = Apply(tableOf(a), update)
	assert.False(t, ok, "another base")
	_, ok = Apply(nil, update)
	assert.False(t, ok)
	whole, ok := Apply(nil, after.Whole())
	require.True(t, ok)
	assert.Equal(t, after.Digest, whole.Digest)
	update.Removed = nil
	_, ok = Apply(before, update)
	assert.False(t, ok, "an update that leads elsewhere is not taken")
}
