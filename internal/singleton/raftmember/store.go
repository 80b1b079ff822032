package raftmember

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// store is what a member may not forget, on disk: its vote and term, the log since the latest snapshot, that snapshot, how often it has
// started, and what it knows of the others' disks. The log is in memory too, from where the engine reads it.
//
// Format: a bbolt file. Bucket "meta" holds "hard" (raftpb.HardState), "snapshot" (raftpb.Snapshot), "boot" (8 bytes, big endian) and
// "known" (JSON: by member, mark). Bucket "log" holds raftpb.Entry by index (8 bytes, big endian).
type store struct {
	db   *bbolt.DB
	mem  *raft.MemoryStorage
	boot uint64
}

var metaBucket, logBucket = []byte("meta"), []byte("log")

// mark is how far a member's disk is known to have come. A disk that is behind it is an older copy.
type mark struct {
	Boot  uint64 `json:"boot"`
	Nonce uint64 `json:"nonce"` // of the process that started with Boot
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"` // acknowledged in Term
}

// errOlder is the refusal of a disk that has not what its member once acknowledged.
var errOlder = errors.New("the member's disk is older than what it acknowledged, or another process uses its name")

// check says whether a member whose disk is at now may go on, where was is what was known of it.
func (was mark) check(now mark) error {
	if now.Boot < was.Boot || now.Boot == was.Boot && was.Nonce != 0 && now.Nonce != was.Nonce || now.Term < was.Term ||
		now.Term == was.Term && now.Index < was.Index {
		return fmt.Errorf("start %d, term %d, index %d, where start %d, term %d, index %d is known: %w", now.Boot, now.Term, now.Index, was.Boot, was.Term,
			was.Index, errOlder)
	}
	return nil
}

// openStore opens the file of a member and counts the start. Another process that holds the file is waited for
// a second at most, as bbolt has it.
func openStore(dir string) (*store, error) {
	db, err := bbolt.Open(filepath.Join(dir, "member.db"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("quorum: %s: %w", dir, err)
	}
	s := &store{db: db, mem: raft.NewMemoryStorage()}
	if err := db.Update(s.read); err != nil {
		db.Close()
		return nil, fmt.Errorf("quorum: %s: %w", dir, err)
	}
	return s, nil
}

func (s *store) read(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	entries, err := tx.CreateBucketIfNotExists(logBucket)
	if err != nil {
		return err
	}
	if text := meta.Get([]byte("snapshot")); text != nil {
		snap := &pb.Snapshot{}
		if err := proto.Unmarshal(text, snap); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if err := s.mem.ApplySnapshot(snap); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	if text := meta.Get([]byte("hard")); text != nil {
		hard := &pb.HardState{}
		if err := proto.Unmarshal(text, hard); err != nil {
			return fmt.Errorf("term and vote: %w", err)
		}
		if err := s.mem.SetHardState(hard); err != nil {
			return fmt.Errorf("term and vote: %w", err)
		}
	}
	var all []*pb.Entry
	if err := entries.ForEach(func(k, v []byte) error {
		e := &pb.Entry{}
		if err := proto.Unmarshal(v, e); err != nil {
			return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(k), err)
		}
		all = append(all, e)
		return nil
	}); err != nil {
		return err
	}
	if err := s.mem.Append(all); err != nil {
		return err
	}
	if text := meta.Get([]byte("boot")); len(text) == 8 {
		s.boot = binary.BigEndian.Uint64(text)
	}
	s.boot++
	return meta.Put([]byte("boot"), key(s.boot))
}

func key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// save writes what the engine wants kept before it goes on, in one step.
func (s *store) save(hard *pb.HardState, entries []*pb.Entry, snap *pb.Snapshot) error {
	if raft.IsEmptyHardState(hard) && len(entries) == 0 && raft.IsEmptySnap(snap) {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		put := func(name string, m proto.Message) error {
			text, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			return meta.Put([]byte(name), text)
		}
		if !raft.IsEmptySnap(snap) { // the log goes on behind it
			if err := put("snapshot", snap); err != nil {
				return err
			}
			if err := cut(log, 0, snap.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := put("hard", hard); err != nil {
				return err
			}
		}
		if len(entries) > 0 { // what stood there from the first one on was never agreed on
			if err := cut(log, entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := log.Put(key(e.GetIndex()), text); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return notKept("what was agreed on", err)
	}
	if !raft.IsEmptySnap(snap) {
		if err := s.mem.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return fmt.Errorf("quorum: snapshot: %w", err)
		}
	}
	if !raft.IsEmptyHardState(hard) {
		if err := s.mem.SetHardState(hard); err != nil {
			return fmt.Errorf("quorum: term and vote: %w", err)
		}
	}
	if err := s.mem.Append(entries); err != nil {
		return fmt.Errorf("quorum: log: %w", err)
	}
	return nil
}

// cut removes the entries from a place on and before another.
func cut(log *bbolt.Bucket, from, before uint64) error {
	var gone [][]byte // a cursor that deletes as it goes skips some
	c := log.Cursor()
	for k, _ := c.Seek(key(from)); k != nil && binary.BigEndian.Uint64(k) < before; k, _ = c.Next() {
		gone = append(gone, append([]byte(nil), k...))
	}
	for _, k := range gone {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// compact puts a snapshot of the state at an index in place of the log before it. The last entries before it, as many as keep says, stay in memory.
func (s *store) compact(index, keep uint64, conf *pb.ConfState, state []byte) error {
	snap, err := s.mem.CreateSnapshot(index, conf, state)
	if err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	text, err := proto.Marshal(snap)
	if err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	before := index - min(index, keep)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put([]byte("snapshot"), text); err != nil {
			return err
		}
		return cut(tx.Bucket(logBucket), 0, index+1) // at a start the log begins behind the snapshot
	})
	if err != nil {
		return notKept("a snapshot", err)
	}
	if first, _ := s.mem.FirstIndex(); before >= first {
		if err := s.mem.Compact(before); err != nil {
			return fmt.Errorf("quorum: snapshot: %w", err)
		}
	}
	return nil
}

// known reads what is known of the others' disks, and remember keeps it.
func (s *store) known() (marks map[uint64]mark, err error) {
	marks = map[uint64]mark{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		if text := tx.Bucket(metaBucket).Get([]byte("known")); text != nil {
			return json.Unmarshal(text, &marks)
		}
		return nil
	})
	if err != nil {
		err = fmt.Errorf("quorum: what is known of others: %w", err)
	}
	return marks, err
}

func (s *store) remember(marks map[uint64]mark) error {
	text, err := json.Marshal(marks)
	if err == nil {
		err = s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(metaBucket).Put([]byte("known"), text) })
	}
	if err != nil {
		return notKept("what is known of others", err)
	}
	return nil
}

// notKept is the error of a write that failed, whichever it was: a full disk fails the first one that it meets.
func notKept(what string, err error) error {
	return fmt.Errorf("quorum: %s can't be kept: %w", what, err)
}

// at is how far this disk has come.
func (s *store) at(nonce uint64) mark {
	hard, _, _ := s.mem.InitialState() // of a MemoryStorage it never fails
	last, _ := s.mem.LastIndex()
	return mark{Boot: s.boot, Nonce: nonce, Term: hard.GetTerm(), Index: last}
}
