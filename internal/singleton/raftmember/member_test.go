package raftmember

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"pumiceline/internal/singleton"
)

// The log is compacted, and a member that was stopped for a long time gets a snapshot. All that was committed remains
// available after every member has restarted, also at a member that received it only in a snapshot.
func TestMember_CompactsAndRestoresSnapshots(t *testing.T) {
	c := newCluster(t, 40)
	c.startAll()
	c.runInstance()
	if err := c.stop(3); err != nil {
		t.Error(err)
	}
	for n := range 200 {
		c.setDesiredHolder(fmt.Sprint("i", n))
	}
	c.start(3)
	c.setDesiredHolder("last")
	var before singleton.Assignment
	c.eventually("the instance holds the role", func() bool {
		before = c.awaitAgreement("last")
		return before.Token > 0 && before.Holder == "a"
	})
	for id := uint64(1); id <= clusterSize; id++ {
		if err := c.stop(id); err != nil {
			t.Error(err)
		}
		if n := storedEntryCount(t, c.dirs[id]); n > 60 {
			t.Errorf("member %d has %d entries on its disk", id, n)
		}
	}
	c.startAll()
	if after := c.awaitAgreement("last"); after.Token < before.Token {
		t.Errorf("%+v after all have restarted, before %+v", after, before)
	}
	c.stop(1) // member 3, which got a snapshot, is needed for the quorum now
	c.setDesiredHolder("without-1")
	c.awaitAgreement("without-1")
}

// storedEntryCount returns how many entries the log of a stopped member has on disk.
func storedEntryCount(t *testing.T, dir string) (n int) {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	if err := db.View(func(tx *bbolt.Tx) error {
		n = tx.Bucket(logBucket).Stats().KeyN
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return n
}

func TestMember_StaleDiskIsRefused(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	c.awaitAgreement("before")
	c.stop(3)
	olderCopy := c.copyDisk(3)
	c.start(3)
	c.setDesiredHolder("after")
	c.awaitAgreement("after")
	c.stop(3)
	for _, disk := range []struct{ name, dir string }{{"older copy", olderCopy}, {"empty disk", t.TempDir()}} {
		t.Run(disk.name, func(t *testing.T) {
			m := c.startOn(3, disk.dir, c.addrs[3])
			defer m.cancel()
			select {
			case err := <-m.result:
				if !errors.Is(err, ErrRefused) || !strings.Contains(err.Error(), ErrStaleDisk.Error()) {
					t.Error(err)
				}
			case <-time.After(20 * time.Second):
				t.Error("the member takes part")
			}
		})
	}
	c.start(3)
	c.setDesiredHolder("again")
	c.awaitAgreement("again")
}

// Of two processes with one ID the first stops once the second takes part; the other members continue.
func TestMember_EndsWhenStartedElsewhere(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	c.awaitAgreement("before")
	second := c.startOn(3, c.copyDisk(3), "127.0.6.9:0")
	first := c.running[3]
	select {
	case err := <-first.result:
		if !errors.Is(err, ErrStartedElsewhere) || !strings.Contains(err.Error(), "started elsewhere") {
			t.Errorf("the first of two processes: %v", err)
		}
		first.result <- err // for stop
	case <-time.After(20 * time.Second):
		t.Error("two processes with one ID take part")
	}
	second.cancel()
	if err := <-second.result; err != nil {
		t.Errorf("the second: %v", err)
	}
	c.stop(3)
	c.setDesiredHolder("after")
	c.awaitAgreement("after")
}

// A member of another fleet that announces itself at this fleet's addresses is rejected: it never takes part, and
// neither it nor a member of this fleet stops because of it.
func TestMember_RejectsAnotherFleet(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	// The outsider logs each round of announcements after which not enough peers have accepted it.
	rounds := messageSignal{message: "member waits for its peers to accept its disk", seen: make(chan struct{}, 1)}
	outsider := startMember(t, "127.0.6.8:0", Options{Fleet: "g", ID: 3, Dir: t.TempDir(), Log: slog.New(rounds),
		Members: map[uint64]string{1: c.addrs[1], 2: c.addrs[2], 3: "127.0.6.8:1"}})
	for range 3 {
		select {
		case <-rounds.seen:
		case err := <-outsider.result:
			t.Fatalf("the outsider ended by itself: %v", err)
		case <-time.After(20 * time.Second):
			t.Fatal("the outsider has stopped announcing itself")
		}
	}
	outsider.cancel()
	if err := <-outsider.result; err != nil {
		t.Errorf("the outsider: %v", err)
	}
	c.setDesiredHolder("after")
	c.awaitAgreement("after")
}

// messageSignal is a log handler that signals each record with the given message.
type messageSignal struct {
	message string
	seen    chan struct{}
}

func (s messageSignal) Enabled(context.Context, slog.Level) bool { return true }

func (s messageSignal) Handle(_ context.Context, r slog.Record) error {
	if r.Message != s.message {
		return nil
	}
	select {
	case s.seen <- struct{}{}:
	default: // the test no longer reads, or has yet to read the last one
	}
	return nil
}

func (s messageSignal) WithAttrs([]slog.Attr) slog.Handler { return s }

func (s messageSignal) WithGroup(string) slog.Handler { return s }
