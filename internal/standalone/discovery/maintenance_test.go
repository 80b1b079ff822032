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

// latestState is a Policy and Backends that records the last state of each backend that it was notified of.
type latestState struct {
	mu      sync.Mutex
	members map[uint32]policy.Member
	ready   map[uint32]bool
}

func (l *latestState) UpdateMembers(kind policy.EventKind, members []policy.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range members {
		l.members[m.Server] = m
	}
}

func (l *latestState) SetBackend(id uint32, _ string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready[id] = ready
}

// newSharingWatcher returns a watcher that lists s-1 and s-2, and shares its maintenance state in dir unless dir is
// empty.
func newSharingWatcher(t *testing.T, dir string) (*Watcher, *latestState) {
	t.Helper()
	l := &latestState{members: map[uint32]policy.Member{}, ready: map[uint32]bool{}}
	w := NewWatcher(Options{Source: testSource, Backends: l, Log: slog.New(slog.DiscardHandler)})
	if dir != "" {
		w.ShareMaintenance(hotrestart.NewSharedFolder(dir, "n0"))
	}
	w.Start(l, []byte(updateJSON(1, true, entryJSON("s-1", "SERVING"), entryJSON("s-2", "SERVING"))))
	return w, l
}

// isDisabled reports whether a backend is disabled. It fails the test if policy and backends were notified differently.
func (l *latestState) isDisabled(t *testing.T, w *Watcher, name string) bool {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	id := w.decoder.id(name)
	disabled := l.members[id].Mode == policy.ModeDraining
	if l.ready[id] == disabled {
		t.Errorf("%s: policy notified of mode %v, backends of ready %v", name, l.members[id].Mode, l.ready[id])
	}
	return disabled
}

// A backend is disabled from the return of Disable on, whatever the list says, also if it is removed and listed again.
func TestWatcher_DisableOutlastsListUpdates(t *testing.T) {
	w, l := newSharingWatcher(t, "")
	if err := w.Disable("nobody"); !errors.Is(err, maintenance.ErrUnknownBackend) {
		t.Errorf("a backend that was never listed: %v", err)
	}
	var callers sync.WaitGroup
	for range 10 {
		callers.Go(func() {
			if err := w.Disable("s-1"); err != nil || !l.isDisabled(t, w, "s-1") {
				t.Errorf("Disable: %v", err)
			}
		})
	}
	callers.Wait()
	for _, text := range []string{updateJSON(2, false, entryJSON("s-1", "SERVING")), updateJSON(3, true, entryJSON("s-2", "SERVING")),
		updateJSON(4, false, strings.Replace(entryJSON("s-1", "SERVING"), "1700000000123", "1700000009999", 1))} {
		if err := w.apply([]byte(text), false); err != nil {
			t.Fatal(err)
		}
	}
	if !l.isDisabled(t, w, "s-1") || l.isDisabled(t, w, "s-2") || w.DisabledCount() != 1 {
		t.Errorf("%d are disabled", w.DisabledCount())
	}
	if err := w.Enable("s-1"); err != nil || l.isDisabled(t, w, "s-1") || w.DisabledCount() != 0 {
		t.Errorf("Enable: %v", err)
	}
	enabledAt := l.members[w.decoder.id("s-1")].StartedAt
	if enabledAt <= 1700000009999000 {
		t.Error("enabled without a new start time")
	}
	// Discovery may list it again with the old start time, which must not make it count as warm.
	err := w.apply([]byte(updateJSON(5, false, entryJSON("s-1", "SERVING"))), false)
	if err != nil || l.members[w.decoder.id("s-1")].StartedAt != enabledAt {
		t.Error("an older start time on the list replaced the time of Enable")
	}
	if err := w.Disable("s-1"); err != nil {
		t.Error(err)
	}
	if err := w.Disable("s-2"); err != nil || w.DisabledCount() != 2 {
		t.Errorf("all disabled: %v", err)
	}
}

// During a hot restart, a call to one process takes effect at both, and at a process that starts later.
func TestWatcher_SharesMaintenanceState(t *testing.T) {
	dir := t.TempDir()
	a, latestA := newSharingWatcher(t, dir)
	b, latestB := newSharingWatcher(t, dir)
	if err := a.Disable("s-1"); err != nil {
		t.Fatal(err)
	}
	if err := b.Disable("s-2"); err != nil { // before b has polled: it must not undo the change by a
		t.Fatal(err)
	}
	a.pollMaintenance()
	b.pollMaintenance()
	for _, name := range []string{"s-1", "s-2"} {
		if !latestA.isDisabled(t, a, name) || !latestB.isDisabled(t, b, name) {
			t.Errorf("%s is not disabled at both", name)
		}
	}
	c, latestC := newSharingWatcher(t, dir)
	if !latestC.isDisabled(t, c, "s-1") || !latestC.isDisabled(t, c, "s-2") {
		t.Error("a process that started later has not restored the state")
	}
	if err := c.Enable("s-1"); err != nil {
		t.Fatal(err)
	}
	a.pollMaintenance()
	if latestA.isDisabled(t, a, "s-1") || !latestA.isDisabled(t, a, "s-2") {
		t.Error("Enable at one process did not reach the other")
	}
}

// An invalid file is ignored. If the folder cannot be written, Disable takes effect and returns an error.
func TestWatcher_ToleratesFaultyFolder(t *testing.T) {
	dir := t.TempDir()
	a, _ := newSharingWatcher(t, dir)
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
		t.Error("an invalid file enabled a backend")
	}
	b, l := newSharingWatcher(t, dir)
	if l.isDisabled(t, b, "s-1") {
		t.Error("restored an invalid file")
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if err := b.Disable("s-2"); err == nil || !l.isDisabled(t, b, "s-2") {
		t.Errorf("without a folder: %v", err)
	}
}
