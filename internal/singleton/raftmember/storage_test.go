package raftmember

import (
	"log/slog"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Whichever write a failing disk fails first, its error has the words that operators search for.
func TestStore_FailedWritesHaveOperatorText(t *testing.T) {
	s, err := openStore(t.TempDir(), "", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	entry := &pb.Entry{Index: proto.Uint64(1), Term: proto.Uint64(1)}
	if err := s.save(&pb.HardState{Term: proto.Uint64(1)}, []*pb.Entry{entry}, nil); err != nil {
		t.Fatal(err)
	}
	if err := s.db.Close(); err != nil { // every write fails from now on
		t.Fatal(err)
	}
	writes := map[string]func() error{
		"log":      func() error { return s.save(&pb.HardState{Term: proto.Uint64(2)}, nil, nil) },
		"peers":    func() error { return s.savePeerProgress(map[uint64]diskProgress{2: {StartCount: 1}}) },
		"snapshot": func() error { return s.compact(1, 0, &pb.ConfState{}, nil) },
	}
	for name, write := range writes {
		if err := write(); err == nil || !strings.Contains(err.Error(), "can't be kept") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A member that starts while the process before it is not gone yet waits for its file. Guards against a start that ends
// because a process that was killed had the file open for more than a second.
func TestStore_WaitsForProcessBefore(t *testing.T) {
	dir := t.TempDir()
	before, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(lockLogDelay+lockLogDelay/2, func() { before.Close() })
	s, err := openStore(dir, "", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.db.Close(); err != nil {
		t.Fatal(err)
	}
}
