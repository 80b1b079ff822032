package storage

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// memoryFile keeps written and synced contents apart, as a disk does that loses power.
type memoryFile struct {
	written, synced []byte
	refuse          bool
}

func newMemoryFile() *memoryFile {
	return &memoryFile{written: make([]byte, FileBytes), synced: make([]byte, FileBytes)}
}

func (f *memoryFile) ReadAt(p []byte, offset int64) (int, error) {
	return copy(p, f.written[offset:]), nil
}

func (f *memoryFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.refuse {
		return 0, errors.New("no space left")
	}
	return copy(f.written[offset:], p), nil
}

func (f *memoryFile) Sync() error {
	if f.refuse {
		return errors.New("no space left")
	}
	f.synced = append(f.synced[:0], f.written...)
	return nil
}

func newFiles() ([]File, []*memoryFile) {
	files, memory := make([]File, FileCount), make([]*memoryFile, FileCount)
	for i := range files {
		memory[i] = newMemoryFile()
		files[i] = memory[i]
	}
	return files, memory
}

func open(t *testing.T, files []File) *Ring {
	t.Helper()
	ring, err := OpenFiles(files)
	require.NoError(t, err)
	return ring
}

func TestNewestRecordOfEachKindIsKept(t *testing.T) {
	files, _ := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("a"), 2: []byte("b")}))
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("c")}))
	again := open(t, files)
	assert.Equal(t, "c", string(again.Newest(1)))
	assert.Equal(t, "b", string(again.Newest(2)))
	assert.Nil(t, again.Newest(3))
}

// copyWith returns copies of the files as a loss of power leaves them, with other bytes at an offset of one of them.
func copyWith(memory []*memoryFile, changed int, offset int64, text []byte) []File {
	copies := make([]File, FileCount)
	for i, file := range memory {
		contents := newMemoryFile()
		copy(contents.written, file.written)
		copies[i] = contents
	}
	copy(copies[changed].(*memoryFile).written[offset:], text)
	return copies
}

// Every cut of a write that was not synced leaves the records before it, and the next write is kept.
func TestEveryTornWriteLeavesWhatWasSynced(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("first"), 2: []byte("other")}))
	current, offset := ring.current, ring.offset
	torn := appendRecord(nil, 1, ring.sequence+1, []byte("second"))
	for cut := 0; cut < len(torn); cut++ {
		copies := copyWith(memory, current, offset, torn[:cut])
		restarted := open(t, copies)
		require.Equal(t, "first", string(restarted.Newest(1)), "cut at %d", cut)
		require.Equal(t, "other", string(restarted.Newest(2)), "cut at %d", cut)
		require.NoError(t, restarted.Write(map[Kind][]byte{1: []byte("third")}))
		require.Equal(t, "third", string(open(t, copies).Newest(1)), "cut at %d", cut)
	}
}

// A member's control state says that its configuration is complete: after a torn write of both it must not be there
// with the configuration before.
func TestATornBlockKeepsHigherKindsFirst(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("incomplete"), 2: []byte("old")}))
	current, offset := ring.current, ring.offset
	before := append([]byte{}, memory[current].written...)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("complete"), 2: []byte("new")}))
	end := ring.offset
	for cut := offset; cut <= end; cut++ {
		copies := copyWith(memory, current, cut, before[cut:])
		restarted := open(t, copies)
		if string(restarted.Newest(1)) == "complete" {
			require.Equal(t, "new", string(restarted.Newest(2)), "cut at %d", cut)
		}
	}
}

func TestAChangedByteIsNoRecord(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("first")}))
	current, offset := ring.current, ring.offset
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("second")}))
	memory[current].written[offset+headerSize] ^= 1
	assert.Equal(t, "first", string(open(t, files).Newest(1)))
}

func TestTheRingGoesRound(t *testing.T) {
	files, _ := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("kept")}))
	large := make([]byte, FileBytes/3)
	for i := byte(0); i < 5*FileCount; i++ {
		large[0] = i
		require.NoError(t, ring.Write(map[Kind][]byte{1: large}))
		again := open(t, files)
		require.Equal(t, i, again.Newest(1)[0])
		require.Equal(t, "kept", string(again.Newest(2)))
	}
}

func TestARefusedWriteIsTriedInTheNextFile(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("first"), 2: []byte("other")}))
	memory[ring.current].refuse = true
	require.Error(t, ring.Write(map[Kind][]byte{1: []byte("second")}))
	assert.Equal(t, "first", string(open(t, files).Newest(1)), "a refused write is not kept")
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("second")}))
	again := open(t, files)
	assert.Equal(t, "second", string(again.Newest(1)))
	assert.Equal(t, "other", string(again.Newest(2)))
}

func TestARecordThatFitsNowhere(t *testing.T) {
	files, _ := newFiles()
	assert.ErrorIs(t, open(t, files).Write(map[Kind][]byte{1: make([]byte, FileBytes)}), ErrTooLarge)
}

func TestFilesOnDisk(t *testing.T) {
	dir := t.TempDir()
	ring, err := Open(dir)
	require.NoError(t, err)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("kept")}))
	again, err := Open(dir)
	require.NoError(t, err)
	assert.Equal(t, "kept", string(again.Newest(1)))
}

// Additions are kept in order with the record that they add to, whatever else is written, and end with the next one.
func TestAdditionsFollowTheirRecord(t *testing.T) {
	files, _ := newFiles()
	ring := open(t, files)
	assert.False(t, ring.CanAdd(1, nil), "the first write begins a file")
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("base")}))
	require.True(t, ring.CanAdd(10, nil))
	require.NoError(t, ring.Add(2, [][]byte{[]byte("one"), []byte("two")}, map[Kind][]byte{1: []byte("control")}))
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("control again")}))
	require.NoError(t, ring.Add(2, [][]byte{[]byte("three")}, nil))
	again := open(t, files)
	assert.Equal(t, [][]byte{[]byte("one"), []byte("two"), []byte("three")}, again.Added(2))
	assert.Equal(t, "control again", string(again.Newest(1)))
	assert.False(t, again.CanAdd(1, nil), "what follows may be torn")
	require.NoError(t, again.Write(map[Kind][]byte{2: []byte("base with three")}))
	last := open(t, files)
	assert.Empty(t, last.Added(2))
	assert.Equal(t, "base with three", string(last.Newest(2)))
}

// A torn or refused addition leaves those before it, and a file that is full takes no more.
func TestEveryTornAdditionLeavesWhatWasSynced(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("base")}))
	require.NoError(t, ring.Add(2, [][]byte{[]byte("one")}, nil))
	current, offset := ring.current, ring.offset
	torn := appendRecord(nil, Kind(2).additions(), ring.sequence+1, []byte("two"))
	for cut := 0; cut < len(torn); cut++ {
		copies := copyWith(memory, current, offset, torn[:cut])
		require.Equal(t, [][]byte{[]byte("one")}, open(t, copies).Added(2), "cut at %d", cut)
	}
	memory[current].refuse = true
	require.Error(t, ring.Add(2, [][]byte{[]byte("two")}, nil))
	assert.False(t, ring.CanAdd(1, nil))
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("whole")}))
	assert.Empty(t, open(t, files).Added(2))
	assert.False(t, ring.CanAdd(FileBytes, nil))
}
