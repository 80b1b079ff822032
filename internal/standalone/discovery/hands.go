package discovery

import (
	"context"
	"log/slog"
	"time"

	"pumiceline/internal/standalone/hotrestart"
	"pumiceline/internal/standalone/maintenance"
	"pumiceline/internal/standalone/policy"
)

// bansFile is where what operators said is kept, and lookEvery how often another process's word is looked for: well within
// the grace that a drain has.
const (
	bansFile  = "bans.json"
	lookEvery = 50 * time.Millisecond
)

// Suspend takes a host out. Without an error the ban is in force, and written down where there is a folder.
func (w *Watcher) Suspend(name string) error {
	return w.say(func(s *maintenance.Set) error { return s.Suspend(name) })
}

// Resume brings a host back, cold.
func (w *Watcher) Resume(name string) error {
	now := time.Now().UnixMicro()
	return w.say(func(s *maintenance.Set) error { return s.Resume(name, now) })
}

// TakenOut is how many listed hosts are kept from work by hand.
func (w *Watcher) TakenOut() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.listed {
		if h.told.Mode != h.Member.Mode {
			n++
		}
	}
	return n
}

// say changes the set, here and in the folder, and tells of it.
func (w *Watcher) say(change func(*maintenance.Set) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.folder == nil {
		if err := change(&w.bans); err != nil {
			return err
		}
		w.retell()
		return nil
	}
	var refused error
	said := false
	err := w.folder.Update(bansFile, func(old []byte) ([]byte, error) {
		w.adopt(old) // another process may have spoken since the last look
		if said, refused = true, change(&w.bans); refused != nil {
			return nil, refused
		}
		w.retell()
		return w.bans.Text(), nil
	})
	if !said { // in force even where it can't be written down
		if refused = change(&w.bans); refused == nil {
			w.retell()
		}
	}
	if refused != nil {
		return refused
	}
	return err
}

func (w *Watcher) adopt(text []byte) {
	if len(text) == 0 {
		return
	}
	if err := w.bans.Adopt(text); err != nil {
		w.log.Error("what is kept of hosts taken out is not usable", "error", err)
	}
}

// Keep has the watcher keep what operators say in folder, and take up what is there. It is to be called before Start.
func (w *Watcher) Keep(folder *hotrestart.SharedFolder) {
	w.folder = folder
	w.look()
}

// look takes up what another process has written since the last look.
func (w *Watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	stamp := w.folder.Version(bansFile)
	if stamp == w.stamp {
		return
	}
	text, err := w.folder.Read(bansFile)
	if err != nil {
		w.log.Error("what is kept of hosts taken out can't be read", "error", err)
		return
	}
	w.stamp = stamp
	w.adopt(text)
	w.retell()
}

// Look takes up what other processes say of hosts until ctx ends.
func (w *Watcher) Look(ctx context.Context) {
	if w.folder == nil {
		return
	}
	again := time.NewTicker(lookEvery)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-again.C:
			w.look()
		}
	}
}

// retell tells of the listed hosts that are to be taken for something else than they were told as last. Called with the lock held.
func (w *Watcher) retell() {
	var changed []policy.Member
	for id, h := range w.listed {
		m := w.bans.Member(h.Name, h.Member)
		if m == h.told {
			continue
		}
		w.log.Info("a host is taken out or brought back by hand", "host", h.Name, "out", m.Mode != h.Member.Mode, slog.Int64("up_since", m.StartedAt))
		h.told = m
		w.listed[id] = h
		w.fleet.SetBackend(id, h.Dial, m.Mode == policy.ModeReady)
		changed = append(changed, m)
	}
	if len(changed) > 0 {
		w.module.UpdateMembers(policy.MembershipDelta, changed)
	}
}
