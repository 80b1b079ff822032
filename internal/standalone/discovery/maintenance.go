package discovery

import (
	"context"
	"log/slog"
	"time"

	"pumiceline/internal/logkey"
	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/policy"
)

const (
	// maintenanceFile is the file in the shared folder that lists the backends that operators disabled and enabled.
	maintenanceFile = "bans.json"
	// maintenancePollInterval is how often the file is checked for changes by other processes. After a backend is disabled
	// at one process, the other processes stop sending it new requests within this time.
	maintenancePollInterval = 50 * time.Millisecond
)

// ShareMaintenance makes the watcher store the maintenance state in folder, and restores the state that is stored
// there. Call it before Start.
func (w *Watcher) ShareMaintenance(folder *hotrestart.SharedFolder) {
	w.folder = folder
	w.pollMaintenance()
}

// Disable stops new requests to a backend until Enable is called. If it returns nil, the change is in effect, and
// stored if there is a shared folder. After maintenance.ErrUnknownBackend and maintenance.ErrTooManyDisabled nothing
// has changed; any other error means that the change is in effect but not stored.
func (w *Watcher) Disable(name string) error {
	return w.changeMaintenance(func(s *maintenance.State) error { return s.Disable(name) })
}

// Enable reverts Disable. The backend counts as just started, that is, as cold. Errors are as for Disable.
func (w *Watcher) Enable(name string) error {
	now := time.Now().UnixMicro()
	return w.changeMaintenance(func(s *maintenance.State) error { return s.Enable(name, now) })
}

// DisabledCount returns how many listed backends get no new requests because they are disabled.
func (w *Watcher) DisabledCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.endpoints {
		if e.published.Mode != e.Member.Mode {
			n++
		}
	}
	return n
}

// RunMaintenance applies the state that other processes of this proxy store, until ctx ends.
func (w *Watcher) RunMaintenance(ctx context.Context) {
	if w.folder == nil {
		return
	}
	ticker := time.NewTicker(maintenancePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.pollMaintenance()
		}
	}
}

// changeMaintenance applies a change to the state in memory and in the folder, and publishes it.
func (w *Watcher) changeMaintenance(change func(*maintenance.State) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.folder == nil {
		return w.changeAndPublish(change)
	}
	var changeErr error
	changed := false
	storeErr := w.folder.Update(maintenanceFile, func(stored []byte) ([]byte, error) {
		w.restoreMaintenance(stored) // another process may have changed it since the last poll
		changed = true
		if changeErr = w.changeAndPublish(change); changeErr != nil {
			return nil, changeErr
		}
		return w.maintenance.Encode(), nil
	})
	if !changed { // the folder failed before change was called: apply it in memory
		changeErr = w.changeAndPublish(change)
	}
	if changeErr != nil {
		return changeErr
	}
	return storeErr
}

// changeAndPublish applies a change in memory. It is called with mu held.
func (w *Watcher) changeAndPublish(change func(*maintenance.State) error) error {
	if err := change(&w.maintenance); err != nil {
		return err
	}
	w.publishMaintenance()
	return nil
}

// pollMaintenance restores the stored state if another process has changed it since the last poll.
func (w *Watcher) pollMaintenance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	version := w.folder.Version(maintenanceFile)
	if version == w.maintenanceVersion {
		return
	}
	stored, err := w.folder.Read(maintenanceFile)
	if err != nil {
		w.log.Error("read of the maintenance state failed", "error", err)
		return
	}
	w.maintenanceVersion = version
	w.restoreMaintenance(stored)
	w.publishMaintenance()
}

// restoreMaintenance replaces the maintenance state by a stored form. An invalid one is logged and ignored. Called with
// mu held.
func (w *Watcher) restoreMaintenance(stored []byte) {
	if len(stored) == 0 {
		return
	}
	if err := w.maintenance.Restore(stored); err != nil {
		w.log.Error("stored maintenance state not usable", "error", err)
	}
}

// publishMaintenance publishes the listed endpoints whose state differs from the last published one. It is called with
// mu held.
func (w *Watcher) publishMaintenance() {
	var changed []policy.Member
	for id, e := range w.endpoints {
		member := w.maintenance.Apply(e.Name, e.Member)
		if member == e.published {
			continue
		}
		w.log.Info("backend disabled or enabled by an operator", logkey.Backend, e.Name, "disabled", member.Mode != e.Member.Mode,
			slog.Int64("started_at", member.StartedAt))
		e.published = member
		w.endpoints[id] = e
		w.backends.SetBackend(id, e.Address, member.Mode == policy.ModeReady)
		changed = append(changed, member)
	}
	if len(changed) > 0 {
		w.policy.UpdateMembers(policy.MembershipDelta, changed)
	}
}
