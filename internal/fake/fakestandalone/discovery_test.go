package fakestandalone

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pumiceline/internal/standalone/discovery"
)

func newEntry(host, health string) discovery.Entry {
	return discovery.Entry{Host: host, Address: "127.0.0.1:9", Zone: "a", InstanceType: "k", Health: health, Size: 1}
}

// A watch gets the full list, then each change once and in order, also the changes between two lines. A watch from a
// known version gets the changes after that version; a watch from an unknown version gets the full list.
func TestDiscovery_Watch(t *testing.T) {
	d := NewDiscovery(newEntry("x", "SERVING"), newEntry("y", "SERVING"))
	server := httptest.NewServer(d)
	t.Cleanup(server.Close) // waits for the watches, which t.Context has ended by then
	watch := func(index string) *bufio.Reader {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/v1/endpoints?stream=1&index="+index, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return bufio.NewReader(resp.Body)
	}
	next := func(b *bufio.Reader) string {
		t.Helper()
		for {
			line, err := b.ReadBytes('\n')
			if err != nil {
				t.Fatal(err)
			}
			var u update
			if json.Unmarshal(line, &u) != nil {
				continue // an empty line
			}
			words := []string{map[bool]string{true: "full", false: "delta"}[u.Full]}
			for _, h := range u.Hosts {
				words = append(words, h.Host+":"+h.Health)
			}
			return strings.Join(words, " ")
		}
	}
	expect := func(b *bufio.Reader, text string) {
		t.Helper()
		if got := next(b); got != text {
			t.Errorf("%q, want %q", got, text)
		}
	}
	first := watch("0")
	expect(first, "full x:SERVING y:SERVING")
	d.Put(newEntry("x", "DRAINING"))
	expect(first, "delta x:DRAINING")
	d.Put(newEntry("x", "DELETED"))
	d.Put(newEntry("z", "SERVING"))
	got := next(first)
	if got != "delta x:DELETED z:SERVING" { // the two changes may be in one line or in two
		if got != "delta x:DELETED" {
			t.Errorf("%q", got)
		}
		expect(first, "delta z:SERVING")
	}
	expect(watch("3"), "delta x:DELETED z:SERVING")
	expect(watch("99"), "full y:SERVING z:SERVING")
	resp, err := http.Get(server.URL + "/v1/endpoints")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if !strings.Contains(string(text), `"whole":true`) || strings.Contains(string(text), `"x"`) {
		t.Errorf("list: %s", text)
	}
}
