package raftmember

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// A store that was rolled back to an older copy looks like any other: nothing in it shows what was written after the
// copy was made. Two sources can reveal the rollback. The peers that ran then know what the member acknowledged to them
// (see Member.announce). And a mark outside of the disk, in a file system in memory, records the number of the store's
// latest write: while the machine runs, a store that lacks that write is an older copy, and a store that has it is
// proven to be the newest.

// bootIDFile identifies the current boot of the machine. A mark of an earlier boot proves nothing: the disk may have
// been rolled back while the machine was down, and a folder that is not in memory would keep the mark.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// freshness is the result of comparing a store with its mark when the store is opened.
type freshness int

const (
	freshnessUnknown freshness = iota // there is no mark of the current boot of the machine
	freshnessProven                   // the store has every write that the mark records
)

// String returns the name of the result for log records.
func (f freshness) String() string {
	if f == freshnessProven {
		return "proven"
	}
	return "unknown"
}

// freshnessMark is the mark of one store. The zero value is a mark that never exists.
type freshnessMark struct{ path string }

// markContent is the content of a mark, a text of one line.
type markContent struct {
	bootID string
	writes uint64 // of the store, over all of its starts
}

// newFreshnessMark returns the mark of the store in dir. Without a volatile folder the mark never exists.
func newFreshnessMark(volatileDir, dir string) (freshnessMark, error) {
	if volatileDir == "" {
		return freshnessMark{}, nil
	}
	dir, err := filepath.Abs(dir)
	if err != nil {
		return freshnessMark{}, fmt.Errorf("path of the store: %w", err)
	}
	digest := sha256.Sum256([]byte(dir))
	return freshnessMark{path: filepath.Join(volatileDir, "pumiceline-member-"+hex.EncodeToString(digest[:8]))}, nil
}

// check compares a store that has had the given number of writes with the mark. It returns ErrStaleDisk if the mark
// records a later write.
func (f freshnessMark) check(writes uint64) (freshness, error) {
	if f.path == "" {
		return freshnessUnknown, nil
	}
	text, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return freshnessUnknown, nil
	}
	if err != nil {
		return freshnessUnknown, fmt.Errorf("read the mark of the store: %w", err)
	}
	var mark markContent
	if _, err := fmt.Sscan(string(text), &mark.bootID, &mark.writes); err != nil || mark.bootID != bootID() {
		return freshnessUnknown, nil // torn, or of an earlier boot of the machine
	}
	if writes < mark.writes {
		return freshnessUnknown, fmt.Errorf("write %d of the store, where write %d is known: %w", writes, mark.writes, ErrStaleDisk)
	}
	return freshnessProven, nil
}

// update records a write that the store has synced. It must return before anything that the write allows is sent:
// otherwise, after a crash, an older copy without that write would match the mark and count as the newest. The mark is
// replaced by a rename, so that a process that is killed meanwhile leaves the mark before the update or the one after
// it. If the mark can't be written it is removed, so that the next start asks the peers.
func (f freshnessMark) update(writes uint64) error {
	if f.path == "" {
		return nil
	}
	if err := f.replace(fmt.Sprintf("%s %d\n", bootID(), writes)); err == nil {
		return nil
	}
	if err := os.Remove(f.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("remove the mark of the store: %w", err)
	}
	return nil
}

// replace replaces the mark in one step. There is no sync, as no mark outlives a restart of the machine.
func (f freshnessMark) replace(text string) error {
	next := f.path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return fmt.Errorf("write the next mark of the store: %w", err)
	}
	if err := os.Rename(next, f.path); err != nil {
		return fmt.Errorf("replace the mark of the store: %w", err)
	}
	return nil
}

// bootID returns the ID of the machine's current boot, or "unknown" if the system does not provide it.
func bootID() string {
	text, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "unknown"
	}
	return string(bytes.TrimSpace(text))
}
