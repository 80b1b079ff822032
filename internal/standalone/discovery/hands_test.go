package discovery

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/policy"
)

// last remembers what was said last of each host.
type last struct {
	mu      sync.Mutex
	modes   map[uint32]policy.Member
	ready   map[uint32]bool
	members int
}

func (l *last) UpdateMembers(kind policy.EventKind, members []policy.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.modes[m.Server] = m
		l.members++
	}
}

func (l *last) SetBackend(id uint32, _ string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready[id] = ready
}

func hands(t *testing.T, dir string) (*Watcher, *last) {
	l := &last{modes: map[uint32]policy.Member{}, ready: map[uint32]bool{}}
	w := NewWatcher("127.0.0.1:1", table(), l, slog.New(slog.DiscardHandler))
	if dir != "" {
		w.ShareMaintenance(hotrestart.NewSharedFolder(dir, "n0"))
	}
	w.Start(l, []byte(update(1, true, host("s-1", "SERVING"), host("s-2", "SERVING"))))
	return w, l
}

// out says whether a host gets no work, by the word of the module's and the destinations' side alike.
func (l *last) out(t *testing.T, w *Watcher, name string) bool {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	id := w.decoder.id(name)
	out := l.modes[id].Mode == policy.ModeDraining
	if l.ready[id] == out {
		t.Errorf("%s: the module is told %v, destinations that it is ready: %v", name, l.modes[id].Mode, l.ready[id])
	}
	return out
}

// A ban is in force when Suspend returns and holds whatever the list says, when the host leaves and comes back too.
func TestBanStandsAgainstTheList(t *testing.T) {
	w, l := hands(t, "")
	if err := w.Disable("nobody"); !errors.Is(err, maintenance.ErrUnknownBackend) {
		t.Errorf("a host that was never listed: %v", err)
	}
	var callers sync.WaitGroup
	for range 10 {
		callers.Go(func() {
			if err := w.Disable("s-1"); err != nil || !l.out(t, w, "s-1") {
				t.Errorf("suspended: %v", err)
			}
		})
	}
	callers.Wait()
	for _, text := range []string{update(2, false, host("s-1", "SERVING")), update(3, true, host("s-2", "SERVING")),
		update(4, false, strings.Replace(host("s-1", "SERVING"), "1700000000123", "1700000009999", 1))} {
		if err := w.apply([]byte(text), false); err != nil {
			t.Fatal(err)
		}
	}
	if !l.out(t, w, "s-1") || l.out(t, w, "s-2") || w.DisabledCount() != 1 {
		t.Errorf("%d are out", w.DisabledCount())
	}
	if err := w.Enable("s-1"); err != nil || l.out(t, w, "s-1") || w.DisabledCount() != 0 {
		t.Errorf("resumed: %v", err)
	}
	back := l.modes[w.decoder.id("s-1")].StartedAt
	if back <= 1700000009999000 {
		t.Error("it came back as if it had never stopped")
	}
	// Discovery may tell of it again with the old start: that must not make it warm.
	if err := w.apply([]byte(update(5, false, host("s-1", "SERVING"))), false); err != nil || l.modes[w.decoder.id("s-1")].StartedAt != back {
		t.Error("the list made it warm")
	}
	if err := w.Disable("s-1"); err != nil {
		t.Error(err)
	}
	if err := w.Disable("s-2"); err != nil || w.DisabledCount() != 2 {
		t.Errorf("all out: %v", err)
	}
}

// Both processes of an upgrade act on a call to either, and one that starts later knows what was said.
func TestBansAreSharedAndKept(t *testing.T) {
	dir := t.TempDir()
	a, heardA := hands(t, dir)
	b, heardB := hands(t, dir)
	if err := a.Disable("s-1"); err != nil {
		t.Fatal(err)
	}
	if err := b.Disable("s-2"); err != nil { // before b has looked: it must not undo what a said
		t.Fatal(err)
	}
	a.pollMaintenance()
	b.pollMaintenance()
	for _, name := range []string{"s-1", "s-2"} {
		if !heardA.out(t, a, name) || !heardB.out(t, b, name) {
			t.Errorf("%s is not out at both", name)
		}
	}
	c, heardC := hands(t, dir)
	if !heardC.out(t, c, "s-1") || !heardC.out(t, c, "s-2") {
		t.Error("a process that starts later does not know")
	}
	if err := c.Enable("s-1"); err != nil {
		t.Fatal(err)
	}
	a.pollMaintenance()
	if heardA.out(t, a, "s-1") || !heardA.out(t, a, "s-2") {
		t.Error("one call back did not end the ban at the other process")
	}
}

// What is spoilt in the folder costs nothing but itself; a folder that can't be written still has the ban in force, and says so.
func TestSpoiltFolder(t *testing.T) {
	dir := t.TempDir()
	a, _ := hands(t, dir)
	if err := a.Disable("s-1"); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*"+maintenanceFile))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	if err := os.WriteFile(files[0], []byte(`{"version":1,"ban`), 0o600); err != nil {
		t.Fatal(err)
	}
	a.pollMaintenance()
	if a.DisabledCount() != 1 {
		t.Error("a spoilt file ended a ban")
	}
	b, heard := hands(t, dir)
	if heard.out(t, b, "s-1") {
		t.Error("believed a spoilt file")
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := b.Disable("s-2"); err == nil || !heard.out(t, b, "s-2") {
		t.Errorf("without a folder: %v", err)
	}
}
