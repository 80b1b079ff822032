package raftmember

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// store keeps on disk what a member must not lose: its vote and term, the log since the latest snapshot, that snapshot,
// how often it has started, and its peers' progress. Term, vote, log and snapshot are also in memory (mem), where raft
// reads them.
//
// Format: a bbolt file. Bucket "meta" holds "hard" (raftpb.HardState), "snapshot" (raftpb.Snapshot), "boot" (the start
// count), "writes" (the number of transactions) and "known" (JSON: diskProgress by member). Bucket "log" holds
// raftpb.Entry by index. Numbers have 8 bytes, big endian.
//
// Owned by the raft loop, except for loadPeerProgress and savePeerProgress, which Member.mu guards.
type store struct {
	db         *bbolt.DB
	mem        *raft.MemoryStorage
	startCount uint64    // this start included
	freshness  freshness // of the file, when it was opened

	stored atomic.Pointer[HelloResponse] // term and end of the log on disk, for any goroutine

	writeMutex sync.Mutex // held from a transaction until it is marked; guards the fields below
	mark       freshnessMark
	isMarked   bool // writes update the mark: the file is known to be the newest
}

const (
	storeFile    = "member.db"
	lockLogDelay = time.Second      // after which the wait for another process that has the file open is logged
	lockTimeout  = 10 * time.Second // after which that wait fails: a process that was killed has its files open until it is gone
	keyBytes     = 8                // of a number: an index, the start count or the write count
)

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")

	hardStateKey    = []byte("hard")
	snapshotKey     = []byte("snapshot")
	startCountKey   = []byte("boot")
	writeCountKey   = []byte("writes")
	peerProgressKey = []byte("known")
)

// openStore opens a member's file, loads it and counts the start. It returns ErrStaleDisk if the mark records a later
// write.
func openStore(dir, volatileDir string, log *slog.Logger) (*store, error) {
	mark, err := newFreshnessMark(volatileDir, dir)
	if err != nil {
		return nil, err
	}
	db, err := openFile(filepath.Join(dir, storeFile), log)
	if err != nil {
		return nil, fmt.Errorf("open store in %s: %w", dir, err)
	}
	s := &store{db: db, mem: raft.NewMemoryStorage(), mark: mark}
	if err := s.checkFreshness(); err != nil {
		db.Close()
		return nil, fmt.Errorf("store in %s: %w", dir, err)
	}
	if err := s.commit(s.load); err != nil {
		db.Close()
		return nil, fmt.Errorf("load store in %s: %w", dir, err)
	}
	s.publish()
	return s, nil
}

// openFile opens a member's file, and waits while another process has it open.
func openFile(path string, log *slog.Logger) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockLogDelay})
	if !errors.Is(err, bbolterrors.ErrTimeout) {
		return db, err
	}
	log.Warn("another process has the member's store open; waiting for it", "path", path)
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout - lockLogDelay})
}

// checkFreshness compares the file with its mark.
func (s *store) checkFreshness() error {
	writes := uint64(0)
	err := s.db.View(func(tx *bbolt.Tx) error {
		if meta := tx.Bucket(metaBucket); meta != nil {
			writes = readNumber(meta, writeCountKey)
		}
		return nil
	})
	if err != nil {
		return err
	}
	s.freshness, err = s.mark.check(writes)
	s.isMarked = s.freshness == freshnessProven
	return err
}

// startMarking marks the file as the newest from now on. The other members must have accepted the file before, and the
// member must have caught up with their logs: otherwise the mark would prove an older copy to be the newest at the next
// start.
func (s *store) startMarking() error {
	s.writeMutex.Lock()
	s.isMarked = true
	s.writeMutex.Unlock()
	return s.commit(func(*bbolt.Tx) error { return nil })
}

// commit runs a transaction, counts it and records the count in the mark.
func (s *store) commit(change func(*bbolt.Tx) error) error {
	s.writeMutex.Lock()
	defer s.writeMutex.Unlock()
	writes := uint64(0)
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := change(tx); err != nil {
			return err
		}
		meta := tx.Bucket(metaBucket)
		writes = readNumber(meta, writeCountKey) + 1
		return meta.Put(writeCountKey, indexKey(writes))
	})
	if err != nil {
		return err
	}
	if !s.isMarked {
		return nil
	}
	return s.mark.update(writes)
}

// readNumber reads a number of 8 bytes. It returns 0 if there is none.
func readNumber(bucket *bbolt.Bucket, key []byte) uint64 {
	if text := bucket.Get(key); len(text) == keyBytes {
		return binary.BigEndian.Uint64(text)
	}
	return 0
}

func (s *store) load(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	log, err := tx.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	if err := s.loadSnapshot(meta); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := s.loadHardState(meta); err != nil {
		return fmt.Errorf("term and vote: %w", err)
	}
	if err := s.loadLog(log); err != nil {
		return err
	}
	s.startCount = readNumber(meta, startCountKey) + 1
	return meta.Put(startCountKey, indexKey(s.startCount))
}

func (s *store) loadSnapshot(meta *bbolt.Bucket) error {
	text := meta.Get(snapshotKey)
	if text == nil {
		return nil
	}
	snapshot := &pb.Snapshot{}
	if err := proto.Unmarshal(text, snapshot); err != nil {
		return err
	}
	return s.mem.ApplySnapshot(snapshot)
}

func (s *store) loadHardState(meta *bbolt.Bucket) error {
	text := meta.Get(hardStateKey)
	if text == nil {
		return nil
	}
	hard := &pb.HardState{}
	if err := proto.Unmarshal(text, hard); err != nil {
		return err
	}
	return s.mem.SetHardState(hard)
}

func (s *store) loadLog(log *bbolt.Bucket) error {
	var entries []*pb.Entry
	err := log.ForEach(func(index, text []byte) error {
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(index), err)
		}
		entries = append(entries, e)
		return nil
	})
	if err != nil {
		return err
	}
	return s.mem.Append(entries)
}

// save stores, in one transaction, the parts of a raft.Ready that have to be on disk before its messages are sent.
func (s *store) save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if raft.IsEmptyHardState(hard) && len(entries) == 0 && raft.IsEmptySnap(snapshot) {
		return nil
	}
	err := s.commit(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if !raft.IsEmptySnap(snapshot) {
			if err := putSnapshot(meta, log, snapshot); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := putMessage(meta, hardStateKey, hard); err != nil {
				return err
			}
		}
		return putEntries(log, entries)
	})
	if err != nil {
		return writeError("the raft log", err)
	}
	return s.updateMemory(hard, entries, snapshot)
}

// updateMemory updates the copy in memory, which raft reads, to the stored data.
func (s *store) updateMemory(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if !raft.IsEmptySnap(snapshot) {
		if err := s.mem.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("apply snapshot: %w", err)
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := s.mem.SetHardState(hard); err != nil {
			return fmt.Errorf("set term and vote: %w", err)
		}
	}
	if err := s.mem.Append(entries); err != nil {
		return fmt.Errorf("append to log: %w", err)
	}
	s.publish()
	return nil
}

// publish makes the term and the end of the log on disk available to other goroutines. It is called by the raft loop,
// or before that runs.
func (s *store) publish() {
	hard, _, _ := s.mem.InitialState() // a MemoryStorage returns no error
	s.stored.Store(&HelloResponse{HighestTerm: hard.GetTerm(), logPosition: s.logEnd()})
}

// compact replaces the log up to an index with a snapshot of the state at that index. The last keep entries before the
// index stay in memory.
func (s *store) compact(index, keep uint64, conf *pb.ConfState, state []byte) error {
	snapshot, err := s.mem.CreateSnapshot(index, conf, state)
	if err != nil {
		return fmt.Errorf("create snapshot: %w", err)
	}
	err = s.commit(func(tx *bbolt.Tx) error {
		return putSnapshot(tx.Bucket(metaBucket), tx.Bucket(logBucket), snapshot)
	})
	if err != nil {
		return writeError("a snapshot", err)
	}
	before := index - min(index, keep)
	if first, _ := s.mem.FirstIndex(); before >= first {
		if err := s.mem.Compact(before); err != nil {
			return fmt.Errorf("compact log: %w", err)
		}
	}
	return nil
}

// loadPeerProgress reads how far the peers' disks have advanced, by member.
func (s *store) loadPeerProgress() (map[uint64]diskProgress, error) {
	progress := map[uint64]diskProgress{}
	err := s.db.View(func(tx *bbolt.Tx) error {
		if text := tx.Bucket(metaBucket).Get(peerProgressKey); text != nil {
			return json.Unmarshal(text, &progress)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("load peers' progress: %w", err)
	}
	return progress, nil
}

func (s *store) savePeerProgress(progress map[uint64]diskProgress) error {
	text, err := json.Marshal(progress)
	if err == nil {
		err = s.commit(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put(peerProgressKey, text) })
	}
	if err != nil {
		return writeError("peers' progress", err)
	}
	return nil
}

// progress returns how far this disk has advanced, for the process with the given nonce.
func (s *store) progress(nonce uint64) diskProgress {
	hard, _, _ := s.mem.InitialState() // a MemoryStorage returns no error
	last, _ := s.mem.LastIndex()
	return diskProgress{StartCount: s.startCount, Nonce: nonce, Term: hard.GetTerm(), Index: last}
}

// logEnd returns the position of the log's last entry.
func (s *store) logEnd() logPosition {
	last, _ := s.mem.LastIndex() // a MemoryStorage returns no error
	term, err := s.mem.Term(last)
	if err != nil {
		return logPosition{Index: last} // an empty log
	}
	return logPosition{Term: term, Index: last}
}

// writeError returns the error of a failed write. All writes use the same words, because operators search for them and
// a full disk may fail any write first.
func writeError(data string, err error) error {
	return fmt.Errorf("%s can't be kept: %w", data, err)
}

// indexKey encodes a number as a key. The keys have the order of the numbers.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

func putMessage(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return bucket.Put(key, text)
}

// putSnapshot stores a snapshot and deletes the log that it replaces: after a restart the log begins after the
// snapshot.
func putSnapshot(meta, log *bbolt.Bucket, snapshot *pb.Snapshot) error {
	if err := putMessage(meta, snapshotKey, snapshot); err != nil {
		return err
	}
	return deleteEntries(log, 0, snapshot.GetMetadata().GetIndex()+1)
}

// putEntries stores entries in place of those that the log has from the first one's index on. Raft replaces only
// entries that were not committed.
func putEntries(log *bbolt.Bucket, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, entries[0].GetIndex(), math.MaxUint64); err != nil {
		return err
	}
	for _, e := range entries {
		if err := putMessage(log, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries with an index of at least from and below before.
func deleteEntries(log *bbolt.Bucket, from, before uint64) error {
	var keys [][]byte // collected first: a cursor that deletes during the iteration skips some
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) < before; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}
