package discovery

import (
	"context"
	"log/slog"
	"time"

	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/policy"
)

// maintenanceFile is where what operators said is kept, and maintenancePollInterval how often another process's word is looked for: well within
// the grace that a drain has.
const (
	maintenanceFile         = "bans.json"
	maintenancePollInterval = 50 * time.Millisecond
)

// Disable takes a host out. Without an error the ban is in force, and written down where there is a folder.
func (w *Watcher) Disable(name string) error {
	return w.changeMaintenance(func(s *maintenance.State) error { return s.Disable(name) })
}

// Enable brings a host back, cold.
func (w *Watcher) Enable(name string) error {
	now := time.Now().UnixMicro()
	return w.changeMaintenance(func(s *maintenance.State) error { return s.Enable(name, now) })
}

// DisabledCount is how many listed hosts are kept from work by hand.
func (w *Watcher) DisabledCount() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.endpoints {
		if h.published.Mode != h.Member.Mode {
			n++
		}
	}
	return n
}

// changeMaintenance changes the set, here and in the folder, and tells of it.
func (w *Watcher) changeMaintenance(change func(*maintenance.State) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.folder == nil {
		if err := change(&w.maintenance); err != nil {
			return err
		}
		w.applyMaintenance()
		return nil
	}
	var refused error
	said := false
	err := w.folder.Update(maintenanceFile, func(old []byte) ([]byte, error) {
		w.restoreMaintenance(old) // another process may have spoken since the last look
		if said, refused = true, change(&w.maintenance); refused != nil {
			return nil, refused
		}
		w.applyMaintenance()
		return w.maintenance.Encode(), nil
	})
	if !said { // in force even where it can't be written down
		if refused = change(&w.maintenance); refused == nil {
			w.applyMaintenance()
		}
	}
	if refused != nil {
		return refused
	}
	return err
}

func (w *Watcher) restoreMaintenance(text []byte) {
	if len(text) == 0 {
		return
	}
	if err := w.maintenance.Restore(text); err != nil {
		w.log.Error("what is kept of hosts taken out is not usable", "error", err)
	}
}

// ShareMaintenance has the watcher keep what operators say in folder, and take up what is there. It is to be called before Start.
func (w *Watcher) ShareMaintenance(folder *hotrestart.SharedFolder) {
	w.folder = folder
	w.pollMaintenance()
}

// pollMaintenance takes up what another process has written since the last look.
func (w *Watcher) pollMaintenance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	stamp := w.folder.Version(maintenanceFile)
	if stamp == w.maintenanceVersion {
		return
	}
	text, err := w.folder.Read(maintenanceFile)
	if err != nil {
		w.log.Error("what is kept of hosts taken out can't be read", "error", err)
		return
	}
	w.maintenanceVersion = stamp
	w.restoreMaintenance(text)
	w.applyMaintenance()
}

// RunMaintenance takes up what other processes say of hosts until ctx ends.
func (w *Watcher) RunMaintenance(ctx context.Context) {
	if w.folder == nil {
		return
	}
	again := time.NewTicker(maintenancePollInterval)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			w.pollMaintenance()
		}
	}
}

// applyMaintenance tells of the listed hosts that are to be taken for something else than they were told as last. Called with the lock held.
func (w *Watcher) applyMaintenance() {
	var changed []policy.Member
	for id, h := range w.endpoints {
		m := w.maintenance.Apply(h.Name, h.Member)
		if m == h.published {
			continue
		}
		w.log.Info("a host is taken out or brought back by hand", "host", h.Name, "out", m.Mode != h.Member.Mode, slog.Int64("up_since", m.StartedAt))
		h.published = m
		w.endpoints[id] = h
		w.backends.SetBackend(id, h.Address, m.Mode == policy.ModeReady)
		changed = append(changed, m)
	}
	if len(changed) > 0 {
		w.policy.UpdateMembers(policy.MembershipDelta, changed)
	}
}
