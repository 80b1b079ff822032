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
	hostServing = `{"host":"quote-01","dial":"10.0.0.1:80","site":"a","class":"std-8","block":5,"health":"SERVING","share":1.5,"born_ms":1700000000000}`
	hostDeleted = `{"host":"quote-01","dial":"10.0.0.1:80","site":"a","class":"std-8","block":5,"health":"DELETED","share":1.5,"born_ms":1700000000000}`
)

// A copy is not stored on disk. It is handed from the owner's mirror to the others line by line; testdata/lines.json holds such lines as an
// earlier version sends them.
func TestReadsLinesHandedOverByEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/lines.json")
	if err != nil {
		t.Fatal(err)
	}
	want := []ownerUpdate{
		{Update: discovery.Update{Version: 1_700_000_000_000_002, Complete: true, Entries: []json.RawMessage{json.RawMessage(hostServing)}}, DiscoveryVersion: 41},
		{Update: discovery.Update{Version: 1_700_000_000_000_003, Entries: []json.RawMessage{json.RawMessage(hostDeleted)}}, DiscoveryVersion: 42},
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	if len(lines) != len(want) {
		t.Fatalf("%d lines", len(lines))
	}
	for i, sent := range lines {
		var got ownerUpdate
		if err := json.Unmarshal(sent, &got); err != nil || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("read %+v, %v, want %+v", got, err, want[i])
		}
		if written, err := json.Marshal(got); err != nil || !bytes.Equal(written, sent) {
			t.Errorf("written %s, %v, want %s", written, err, sent)
		}
	}
}

// A mirror follows an owner of an earlier version: it asks at that one's address and path, compares its token, and holds what the lines say.
func TestFollowsOwnerOfEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/lines.json")
	if err != nil {
		t.Fatal(err)
	}
	first, second, _ := bytes.Cut(text, []byte("\n"))
	for _, c := range []struct {
		name string
		sent []byte
		want discovery.Update
		at   uint64
	}{
		{"the whole list", append(first, '\n'), discovery.Update{Complete: true, Entries: []json.RawMessage{json.RawMessage(hostServing)}}, 41},
		{"and a change", append(append(first, '\n'), second...), discovery.Update{Complete: true, Entries: []json.RawMessage{}}, 42},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if got := r.URL.RequestURI(); got != "/v1/mirror?stream=1&index=0" {
					t.Errorf("asked for %s", got)
				}
				w.Header().Set("X-Token", "7")
				w.Write(c.sent)
			}))
			defer owner.Close()
			addr := owner.Listener.Addr().String()
			m := New(Options{Owner: func() (string, uint64, bool) { return addr, 7, false }}, time.UnixMicro(1))
			if err := m.follow(t.Context(), m.chooseSource()); err == nil {
				t.Fatal("the end of the watch is no error")
			}
			got, origin, _ := m.since(0)
			if got.Version = 0; !reflect.DeepEqual(got, c.want) || origin != c.at {
				t.Errorf("holds %+v of version %d, want %+v of %d", got, origin, c.want, c.at)
			}
		})
	}
}
