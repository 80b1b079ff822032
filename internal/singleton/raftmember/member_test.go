package raftmember

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
)

// The log is compacted, and a member that was away for long gets a snapshot; all that was agreed on is there after every
// member has restarted, and after a member has come from a snapshot alone.
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
	before := c.awaitAgreement("last")
	if before.Token == 0 || before.Holder != "a" {
		t.Errorf("%+v", before)
	}
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
	c.stop(1) // the snapshot that member 3 got counts as much as any
	c.setDesiredHolder("without-1")
	c.awaitAgreement("without-1")
}

// storedEntryCount is how many entries the log of a stopped member has on disk.
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
				t.Error("takes part")
			}
		})
	}
	c.start(3)
	c.setDesiredHolder("again")
	c.awaitAgreement("again")
}

// Of two processes with one ID the first ends once the second takes part; the other members go on.
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
		if !errors.Is(err, ErrStartedElsewhere) {
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

// Members of two fleets that come to one another's addresses reject one another: neither agrees to what the other says,
// nor ends for it.
func TestMember_RejectsAnotherFleet(t *testing.T) {
	c := newCluster(t, 0)
	c.startAll()
	c.runInstance()
	c.setDesiredHolder("before")
	stranger := startMember(t, "127.0.6.8:0", Options{Fleet: "g", ID: 3, Dir: t.TempDir(),
		Members: map[uint64]string{1: c.addrs[1], 2: c.addrs[2], 3: "127.0.6.8:1"}})
	time.Sleep(300 * time.Millisecond) // several of its announcements
	stranger.cancel()
	if err := <-stranger.result; err != nil {
		t.Errorf("the stranger: %v", err)
	}
	c.setDesiredHolder("after")
	c.awaitAgreement("after")
}
