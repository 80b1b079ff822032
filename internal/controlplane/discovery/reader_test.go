package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// read reads the list from a server that answers with handler.
func read(t *testing.T, handler http.HandlerFunc) (*BackendList, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewReader(strings.TrimPrefix(server.URL, "http://"), time.Second).Read(context.Background())
}

func TestReader_ReadsAllPages(t *testing.T) {
	list, err := read(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("page") == "" {
			fmt.Fprint(w, `{"backends":[{"id":"a","service":"s","address":"1:1","state":"draining","timeLeftMs":5,"extra":{}}],"nextPage":"p/2 x"}`)
			return
		}
		assert.Equal(t, "p/2 x", r.URL.Query().Get("page"))
		fmt.Fprint(w, `{"backends":[{"id":"b","service":"s","address":"2:2","state":"ready","models":[{"name":"m","adapters":["a1"]}]}],"nextPage":null}`)
	})
	require.NoError(t, err)
	require.Len(t, list.Backends, 2)
	assert.True(t, list.Backends[0].Draining)
	assert.True(t, list.Backends[1].Holds("m/a1"))
	assert.NotZero(t, list.Digest)
}

func TestReader_RejectsMalformedList(t *testing.T) {
	cases := []struct {
		name, body, want string
		status           int
	}{
		{"cut short", `{"backends":[{"id":"a"`, "the list is not valid JSON", http.StatusOK},
		{"no backends", `{"nextPage":null}`, "has no backends", http.StatusOK},
		{"no address", `{"backends":[{"id":"a","service":"s"}],"nextPage":null}`,
			"backends[0]: id, service and address must be given", http.StatusOK},
		{"too many bytes", strings.Repeat(" ", maxListBytes+1), "more than 8388608 bytes", http.StatusOK},
		{"too many values", `{"backends":[` + strings.Repeat("{},", maxListValues/2) + `{}]}`, "too many JSON values", http.StatusOK},
		{"rate limited", "", "status 429", http.StatusTooManyRequests},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, err := read(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				fmt.Fprint(w, c.body)
			})
			assert.Nil(t, list)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParsePage(f *testing.F) {
	f.Add([]byte(`{"backends":[{"id":"a","service":"s","address":"1:1"}],"nextPage":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if parsed, err := parsePage(text); (parsed == nil) == (err == nil) {
			t.Fatal("exactly one of page and error must be set")
		}
	})
}
