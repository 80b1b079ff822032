package raftmember

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A member on an older copy of its disk runs with a member that was stopped when newer entries were committed: these
// two must not form a quorum without those entries. The third member, which has the entries, rejects the older copy.
func TestMember_OldDiskWithoutCurrentMember(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	c.awaitAgreement("before")
	c.stop(3)
	c.stop(2)
	olderCopy := c.copyDisk(2)
	c.start(2)
	c.setDesiredHolder("after")
	c.awaitAgreement("after")
	c.stop(1)
	c.stop(2)
	c.start(3)
	rounds := messageSignal{message: "member waits for its peers to accept its disk", seen: make(chan struct{}, 1)}
	options := c.options(2, olderCopy)
	options.Log = slog.New(rounds)
	old := startMember(t, c.addrs[2], options)
	defer old.cancel()
	for range 5 { // each is a round of announcements: by the last one both members have long started
		select {
		case <-rounds.seen:
		case err := <-old.result:
			t.Fatalf("the member on the older copy ended: %v", err)
		case <-time.After(20 * time.Second):
			t.Fatal("the member on the older copy has stopped announcing itself: it takes part")
		}
	}
	c.start(1)
	select {
	case err := <-old.result:
		if !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), ErrStaleDisk.Error()) {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the older copy is accepted by a member that has the newer entries")
	}
	c.setDesiredHolder("again")
	if a := c.awaitAgreement("again"); a.Token == 0 {
		t.Errorf("%+v", a)
	}
}

// While the machine runs, the mark alone shows whether a store is an older copy or the newest.
func TestMember_MarkDetectsOlderCopy(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	c.awaitAgreement("before")
	c.stop(3)
	older, err := os.ReadFile(filepath.Join(c.dirs[3], storeFile))
	if err != nil {
		t.Fatal(err)
	}
	c.start(3)
	c.setDesiredHolder("after")
	c.awaitAgreement("after")
	c.stop(3)
	newest, err := os.ReadFile(filepath.Join(c.dirs[3], storeFile))
	if err != nil {
		t.Fatal(err)
	}
	c.writeStore(3, older)
	if _, err := Open(c.openOptions(3)); !errors.Is(err, ErrStaleDisk) {
		t.Errorf("older copy: %v", err)
	}
	c.writeStore(3, newest)
	c.stop(1) // a proven disk needs only one of the two peers
	c.start(3)
	c.setDesiredHolder("again")
	c.awaitAgreement("again")
}

// Without a mark every other member has to accept a disk, unless the operator sets TrustDisk.
func TestMember_UnprovenDiskNeedsEveryMember(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	c.awaitAgreement("before")
	c.stop(1)
	c.stop(3)
	options := c.openOptions(3)
	options.VolatileDir = t.TempDir() // no mark, as after a restart of the machine
	waiting, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := waiting.announce(ctx); err != nil || ctx.Err() == nil {
		t.Errorf("takes part without member 1: %v", err)
	}
	waiting.store.db.Close()
	options.TrustDisk = true
	c.running[3] = startMember(t, c.addrs[3], options)
	c.setDesiredHolder("trusted")
	c.awaitAgreement("trusted")
}

func TestFreshnessMark(t *testing.T) {
	mark, err := newFreshnessMark(t.TempDir(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if got, err := mark.check(7); got != freshnessUnknown || err != nil {
		t.Errorf("without a mark: %v, %v", got, err)
	}
	if err := mark.update(7); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		writes   uint64
		want     freshness
		wantsErr bool
	}{
		{"older store", 6, freshnessUnknown, true},
		{"same store", 7, freshnessProven, false},
		{"crash between write and mark", 8, freshnessProven, false},
	} {
		if got, err := mark.check(c.writes); got != c.want || errors.Is(err, ErrStaleDisk) != c.wantsErr {
			t.Errorf("%s: %v, %v", c.name, got, err)
		}
	}
	for name, text := range map[string]string{"torn": bootID(), "earlier boot of the machine": "other 9\n", "empty": ""} {
		if err := os.WriteFile(mark.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := mark.check(7); got != freshnessUnknown || err != nil {
			t.Errorf("%s: %v, %v", name, got, err)
		}
	}
}

// A kill can end a process at any step of an update. What another process reads at that step is what the next start
// finds: it must be the mark before the update or the one after it. With an unreadable mark a member needs every other
// member, so one that was killed during its start stays out until all of them run.
func TestFreshnessMark_IsReadableDuringUpdate(t *testing.T) {
	mark, err := newFreshnessMark(t.TempDir(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if err := mark.update(1); err != nil {
		t.Fatal(err)
	}
	const updates = 2_000
	updated := make(chan error, 1)
	go func() {
		for writes := uint64(2); writes <= updates; writes++ {
			if err := mark.update(writes); err != nil {
				updated <- err
				return
			}
		}
		updated <- nil
	}()
	for {
		select {
		case err := <-updated:
			if err != nil {
				t.Error(err)
			}
			return
		default:
		}
		if got, err := mark.check(updates); got != freshnessProven || err != nil {
			t.Fatalf("during an update: %v, %v", got, err)
		}
	}
}

// openOptions returns options with which Open can be called directly.
func (c *cluster) openOptions(id uint64) Options {
	options := c.options(id, c.dirs[id])
	options.Log = slog.New(slog.DiscardHandler)
	options.Settings = testSettings
	return options
}

func (c *cluster) writeStore(id uint64, content []byte) {
	c.t.Helper()
	if err := os.WriteFile(filepath.Join(c.dirs[id], storeFile), content, 0o600); err != nil {
		c.t.Fatal(err)
	}
}
