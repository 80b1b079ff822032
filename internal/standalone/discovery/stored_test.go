package discovery

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// testdata/folder holds the maintenance state that a process of the proxy "n0" stored with an earlier version. The
// current version must find the file by its name, apply it, and write its own state under the same name and keys.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/folder")); err != nil {
		t.Fatal(err)
	}
	w, l := newSharingWatcher(t, dir)
	for name, want := range map[string]bool{"s-1": true, "s-2": false} {
		if got := l.isDisabled(t, w, name); got != want {
			t.Errorf("%s is disabled: %v, want %v", name, got, want)
		}
	}
	l.mu.Lock()
	if got := l.members[w.decoder.id("s-2")].StartedAt; got != 1_800_000_000_000_001 {
		t.Errorf("s-2 is published as started at %d", got)
	}
	l.mu.Unlock()
	if got := w.DisabledCount(); got != 1 {
		t.Errorf("%d listed backends are disabled", got)
	}
	if err := w.Disable("s-2"); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, storedName))
	if want := `{"version":1,"banned":["s-1","s-2","s-3"],"back":{}}`; err != nil || string(text) != want {
		t.Errorf("written %s, %v, want %s", text, err, want)
	}
}

// storedName is the file in which an earlier version stored the disabled backends of the proxy "n0".
const storedName = "pumiceline-08b37c07b558d673-bans.json"

// Every field of a message that discovery sent to an earlier version is read.
func TestReadsListSentToEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/list.json")
	if err != nil {
		t.Fatal(err)
	}
	var u Update
	if err := json.Unmarshal(text, &u); err != nil {
		t.Fatal(err)
	}
	if u.Version != 41 || !u.Complete || len(u.Entries) != 4 {
		t.Errorf("read %+v", u)
	}
	want := []Entry{
		{Host: "quote-01", Address: "10.0.0.1:80", Zone: "a", InstanceType: "std-8", Cell: 5, Health: "SERVING", Size: 1.5, StartedAtMs: 1.7e12},
		{Host: "quote-02", Address: "10.0.0.2:80", Zone: "b", InstanceType: "small-6", Cell: 6, Health: "DRAINING", Size: 0.75, StartedAtMs: 1.6e12},
		{Host: "quote-03", Address: "10.0.0.3:80", Zone: "a", InstanceType: "std-8", Cell: 7, Health: "DELETED", Size: 1.25, StartedAtMs: 1.5e12},
		{Host: "quote-04", Address: "10.0.0.4:80", Zone: "elsewhere", InstanceType: "std-8", Cell: 8, Health: "SERVING", Size: 1, StartedAtMs: 1.4e12},
	}
	for i, raw := range u.Entries {
		var e Entry
		if err := json.Unmarshal(raw, &e); err != nil || e != want[i] {
			t.Errorf("entry %d read as %+v, %v, want %+v", i, e, err, want[i])
		}
	}
	decoded, err := NewDecoder([]string{"a", "b"}, []string{"small-6", "std-8"}).Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := []Endpoint{
		{"quote-01", "10.0.0.1:80", policy.Member{Server: 0xdcbf2eb1, Zone: 0, Cell: 5, InstanceType: 1, Mode: policy.ModeReady, Size: 1.5, StartedAt: 1.7e15}},
		{"quote-02", "10.0.0.2:80", policy.Member{Server: 0xd9bf29f8, Zone: 1, Cell: 6, InstanceType: 0, Mode: policy.ModeDraining, Size: 0.75, StartedAt: 1.6e15}},
		{"quote-03", "", policy.Member{Server: 0xdabf2b8b, Mode: policy.ModeGone}},
	}
	if !reflect.DeepEqual(decoded.Endpoints, endpoints) {
		t.Errorf("read %+v\nwant %+v", decoded.Endpoints, endpoints)
	}
	if len(decoded.Invalid) != 1 || decoded.Invalid[0].Name != "quote-04" {
		t.Errorf("invalid entries: %v", decoded.Invalid)
	}
	written, err := json.Marshal(Update{Version: 41, Complete: true, Entries: u.Entries[:1]})
	if want := `{"seq":41,"whole":true,"hosts":[{"host":"quote-01","dial":"10.0.0.1:80","site":"a","class":"std-8","block":5,"health":"SERVING",` +
		`"share":1.5,"born_ms":1700000000000}]}`; err != nil || string(written) != want {
		t.Errorf("written %s, %v, want %s", written, err, want)
	}
	if entry, err := json.Marshal(want[0]); err != nil || string(entry) != string(u.Entries[0]) {
		t.Errorf("written %s, %v, want %s", entry, err, u.Entries[0])
	}
}
