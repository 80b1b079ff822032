package discoverycache

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"testing"
	"time"

	"pumiceline/internal/standalone/discovery"
)

const (
	entryServing = `{"host":"quote-01","dial":"10.0.0.1:80","site":"a","class":"std-8","block":5,"health":"SERVING","share":1.5,"born_ms":1700000000000}`
	entryDeleted = `{"host":"quote-01","dial":"10.0.0.1:80","site":"a","class":"std-8","block":5,"health":"DELETED","share":1.5,"born_ms":1700000000000}`
)

// The list is not stored on disk. The lease holder's cache sends it to the others line by line; testdata/lines.json
// holds such lines as an earlier version sends them.
func TestReadsLinesSentByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/lines.json")
	if err != nil {
		t.Fatal(err)
	}
	want := []holderUpdate{
		{discovery.Update{Version: 1_700_000_000_000_002, Complete: true, Entries: []json.RawMessage{[]byte(entryServing)}}, 41},
		{discovery.Update{Version: 1_700_000_000_000_003, Entries: []json.RawMessage{[]byte(entryDeleted)}}, 42},
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("%d lines", len(lines))
	}
	for i, sent := range lines {
		var got holderUpdate
		if err := json.Unmarshal(sent, &got); err != nil || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("read %+v, %v, want %+v", got, err, want[i])
		}
		if written, err := json.Marshal(got); err != nil || !bytes.Equal(written, sent) {
			t.Errorf("written %s, %v, want %s", written, err, sent)
		}
	}
}

// A cache follows a holder of an earlier version: it watches the holder's address and path, compares the holder's
// token, and applies its lines.
func TestCache_FollowsHolderOfEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/lines.json")
	if err != nil {
		t.Fatal(err)
	}
	first, second, _ := bytes.Cut(text, []byte("\n"))
	for _, c := range []struct {
		name             string
		sent             []byte
		want             discovery.Update
		discoveryVersion uint64
	}{
		{"complete list", append(first, '\n'), discovery.Update{Complete: true, Entries: []json.RawMessage{[]byte(entryServing)}}, 41},
		{"list and change", append(append(first, '\n'), second...), discovery.Update{Complete: true, Entries: []json.RawMessage{}}, 42},
	} {
		t.Run(c.name, func(t *testing.T) {
			holder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if got := r.URL.RequestURI(); got != "/v1/mirror?stream=1&index=0" {
					t.Errorf("requested %s", got)
				}
				w.Header().Set("X-Token", "7")
				w.Write(c.sent)
			}))
			t.Cleanup(holder.Close)
			addr := holder.Listener.Addr().String()
			cache := New(Options{Holder: func() Holder { return Holder{Address: addr, Token: 7} }}, time.UnixMicro(1))
			if err := cache.follow(t.Context(), cache.chooseSource()); err == nil {
				t.Fatal("follow returned no error at the end of the watch")
			}
			got := cache.since(0)
			if got.update.Version = 0; !reflect.DeepEqual(got.update, c.want) || got.discoveryVersion != c.discoveryVersion {
				t.Errorf("list %+v of version %d, want %+v of %d", got.update, got.discoveryVersion, c.want, c.discoveryVersion)
			}
		})
	}
}
