package hotrestart

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
)

// storedIdentity is the identity of the proxy whose processes wrote testdata/folder. storedPrefix is the prefix of its
// file names.
const (
	storedIdentity = "proxy-1 127.0.0.1:7070"
	storedPrefix   = "pumiceline-ad236b2ef305dcaa-"
)

// storedFolder copies testdata/folder, which an earlier version wrote, to a temporary folder.
func storedFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/folder")); err != nil {
		t.Fatal(err)
	}
	return dir
}

// lockFile locks a stored presence file as its running process would.
func lockFile(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		t.Fatal(err)
	}
}

// Presence files of processes of an earlier version are found by their names, distinguished from stale ones by their
// locks, and read field by field.
func TestReadsStateStoredByEarlierVersion(t *testing.T) {
	for _, c := range []struct {
		name, file string
		want       ProcessState
	}{
		{"starting", "process-4711-00c0ffee", ProcessState{Stage: Starting, ClientSockets: 0x01020304, BackendConnections: 0x05060708}},
		{"serving", "process-4712-0badcafe", ProcessState{Stage: Serving, ClientSockets: 7, BackendConnections: 300}},
		{"draining", "process-4713-deadbeef", ProcessState{Stage: Draining, ClientSockets: 70_000, BackendConnections: 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := storedFolder(t)
			lockFile(t, filepath.Join(dir, storedPrefix+c.file))
			p, err := NewSharedFolder(dir, storedIdentity).Join()
			if err != nil {
				t.Fatal(err)
			}
			defer p.Leave()
			if got := p.Peers(); len(got) != 1 || got[0] != c.want {
				t.Errorf("peers are %+v, want %+v", got, c.want)
			}
			left, err := filepath.Glob(filepath.Join(dir, storedPrefix+"process-*"))
			if err != nil || len(left) != 2 {
				t.Errorf("%v, %v: want two files, those of the ended processes removed", left, err)
			}
			if err := p.Set(c.want); err != nil {
				t.Fatal(err)
			}
			stored, err := os.ReadFile(filepath.Join("testdata/folder", storedPrefix+c.file))
			if err != nil {
				t.Fatal(err)
			}
			if written, err := os.ReadFile(p.path); err != nil || !bytes.Equal(written, stored) {
				t.Errorf("written %x, %v, stored was %x", written, err, stored)
			}
			if name := regexp.MustCompile(`^` + storedPrefix + `process-[0-9]+-[0-9a-f]{8}$`); !name.MatchString(filepath.Base(p.path)) {
				t.Errorf("%s is not named as an earlier version names it", p.path)
			}
		})
	}
}

// The bytes of the stages are part of the format of presence files and must not change.
func TestStagesAreThoseStoredByEarlierVersion(t *testing.T) {
	if Starting != 's' || Serving != 'r' || Draining != 'e' {
		t.Errorf("%q, %q, %q", Starting, Serving, Draining)
	}
}

// A file that an earlier version stored is read and replaced under its name.
func TestReadsFileStoredByEarlierVersion(t *testing.T) {
	dir := storedFolder(t)
	d := NewSharedFolder(dir, storedIdentity)
	const want = `{"version":1,"banned":["quote-01"],"back":{"quote-03":1700000000000001}}`
	if text, err := d.Read("bans.json"); err != nil || string(text) != want {
		t.Errorf("%s, %v", text, err)
	}
	err := d.Update("bans.json", func(old []byte) ([]byte, error) {
		if string(old) != want {
			t.Errorf("the old text is %s", old)
		}
		return []byte("next"), nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(filepath.Join(dir, storedPrefix+"bans.json")); err != nil || string(text) != "next" {
		t.Errorf("%s, %v", text, err)
	}
}
