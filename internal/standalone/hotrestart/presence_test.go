package hotrestart

import (
	"errors"
	"os"
	"slices"
	"testing"
)

// Processes of one proxy see each other's states. The file of a process that has ended is ignored and removed.
func TestPresence_SeesRunningPeersOnly(t *testing.T) {
	dir := t.TempDir()
	join := func(identity string) *Presence {
		t.Helper()
		p, err := NewSharedFolder(dir, identity).Join()
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	a, b, otherProxy := join("n0"), join("n0"), join("n1")
	defer otherProxy.Leave()
	if err := b.Set(ProcessState{Serving, 7, 300}); err != nil {
		t.Fatal(err)
	}
	if got := a.Peers(); !slices.Equal(got, []ProcessState{{Serving, 7, 300}}) {
		t.Errorf("a sees %v", got)
	}
	if got := b.Peers(); !slices.Equal(got, []ProcessState{{Stage: Starting}}) {
		t.Errorf("b sees %v", got)
	}
	b.file.Close() // like the end of its process: releases the lock and leaves the file
	if got := a.Peers(); len(got) != 0 {
		t.Errorf("a sees %v, but its peer has ended", got)
	}
	if _, err := os.Stat(b.path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("file of the process that has ended: %v", err)
	}
	a.Leave()
	if got := otherProxy.Peers(); len(got) != 0 {
		t.Errorf("another proxy sees %v", got)
	}
}
