package storage

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// memoryFile is a segment in memory that keeps its written and its synced contents separately.
type memoryFile struct {
	written, synced []byte
	failing         bool
}

func newMemoryFile() *memoryFile {
	return &memoryFile{written: make([]byte, SegmentBytes), synced: make([]byte, SegmentBytes)}
}

func (f *memoryFile) ReadAt(p []byte, offset int64) (int, error) {
	return copy(p, f.written[offset:]), nil
}

func (f *memoryFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.failing {
		return 0, errors.New("no space left")
	}
	return copy(f.written[offset:], p), nil
}

func (f *memoryFile) Sync() error {
	if f.failing {
		return errors.New("no space left")
	}
	f.synced = append(f.synced[:0], f.written...)
	return nil
}

func newFiles() ([]File, []*memoryFile) {
	files, memory := make([]File, SegmentCount), make([]*memoryFile, SegmentCount)
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

func TestRing_KeepsNewestRecordOfEachKind(t *testing.T) {
	files, _ := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("a"), 2: []byte("b")}))
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("c")}))
	again := open(t, files)
	assert.Equal(t, "c", string(again.Newest(1)))
	assert.Equal(t, "b", string(again.Newest(2)))
	assert.Nil(t, again.Newest(3))
}

// copyWith returns copies of the segments, with text written at an offset of one of them.
func copyWith(memory []*memoryFile, changed int, offset int64, text []byte) []File {
	copies := make([]File, SegmentCount)
	for i, file := range memory {
		contents := newMemoryFile()
		copy(contents.written, file.written)
		copies[i] = contents
	}
	copy(copies[changed].(*memoryFile).written[offset:], text)
	return copies
}

// An unsynced write torn at any byte leaves the earlier records, and the next write is found too.
func TestRing_TornWriteLeavesSyncedRecords(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("first"), 2: []byte("other")}))
	current, offset := ring.current, ring.offset
	torn := encodeFrame(nil, 1, ring.sequence+1, []byte("second"))
	for cut := 0; cut < len(torn); cut++ {
		copies := copyWith(memory, current, offset, torn[:cut])
		restarted := open(t, copies)
		require.Equal(t, "first", string(restarted.Newest(1)), "cut at %d", cut)
		require.Equal(t, "other", string(restarted.Newest(2)), "cut at %d", cut)
		require.NoError(t, restarted.Write(map[Kind][]byte{1: []byte("third")}))
		require.Equal(t, "third", string(open(t, copies).Newest(1)), "cut at %d", cut)
	}
}

// A control state may say that the chain state is complete. After a torn write of both, a new control state must not be
// found with the old chain state.
func TestRing_TornWriteKeepsHigherKindsFirst(t *testing.T) {
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

func TestRing_IgnoresFrameWithWrongChecksum(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("first")}))
	current, offset := ring.current, ring.offset
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("second")}))
	memory[current].written[offset+headerBytes] ^= 1
	assert.Equal(t, "first", string(open(t, files).Newest(1)))
}

func TestRing_WrapsAround(t *testing.T) {
	files, _ := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("kept")}))
	large := make([]byte, SegmentBytes/3)
	for i := byte(0); i < 5*SegmentCount; i++ {
		large[0] = i
		require.NoError(t, ring.Write(map[Kind][]byte{1: large}))
		again := open(t, files)
		require.Equal(t, i, again.Newest(1)[0])
		require.Equal(t, "kept", string(again.Newest(2)))
	}
}

func TestRing_RetriesFailedWriteInNextSegment(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("first"), 2: []byte("other")}))
	memory[ring.current].failing = true
	require.Error(t, ring.Write(map[Kind][]byte{1: []byte("second")}))
	assert.Equal(t, "first", string(open(t, files).Newest(1)), "a failed write is not found")
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("second")}))
	again := open(t, files)
	assert.Equal(t, "second", string(again.Newest(1)))
	assert.Equal(t, "other", string(again.Newest(2)))
}

func TestRing_RecordTooLarge(t *testing.T) {
	files, _ := newFiles()
	assert.ErrorIs(t, open(t, files).Write(map[Kind][]byte{1: make([]byte, SegmentBytes)}), ErrTooLarge)
}

func TestOpen_ReadsFilesOnDisk(t *testing.T) {
	dir := t.TempDir()
	ring, err := Open(dir)
	require.NoError(t, err)
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("kept")}))
	again, err := Open(dir)
	require.NoError(t, err)
	assert.Equal(t, "kept", string(again.Newest(1)))
}

// Appended records are found in order, also after writes of other kinds, until the next record of their kind.
func TestRing_KeepsAppendedRecordsInOrder(t *testing.T) {
	files, _ := newFiles()
	ring := open(t, files)
	assert.False(t, ring.CanAppend(1, nil), "the first write begins a segment")
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("base")}))
	require.True(t, ring.CanAppend(10, nil))
	require.NoError(t, ring.Append(2, [][]byte{[]byte("one"), []byte("two")}, map[Kind][]byte{1: []byte("control")}))
	require.NoError(t, ring.Write(map[Kind][]byte{1: []byte("control again")}))
	require.NoError(t, ring.Append(2, [][]byte{[]byte("three")}, nil))
	again := open(t, files)
	assert.Equal(t, [][]byte{[]byte("one"), []byte("two"), []byte("three")}, again.Appended(2))
	assert.Equal(t, "control again", string(again.Newest(1)))
	assert.False(t, again.CanAppend(1, nil), "the bytes after the last frame may be torn")
	require.NoError(t, again.Write(map[Kind][]byte{2: []byte("base with three")}))
	last := open(t, files)
	assert.Empty(t, last.Appended(2))
	assert.Equal(t, "base with three", string(last.Newest(2)))
}

// A torn or failed append leaves the earlier appended records. A full segment takes no more records.
func TestRing_TornAppendLeavesSyncedRecords(t *testing.T) {
	files, memory := newFiles()
	ring := open(t, files)
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("base")}))
	require.NoError(t, ring.Append(2, [][]byte{[]byte("one")}, nil))
	current, offset := ring.current, ring.offset
	torn := encodeFrame(nil, Kind(2).appendedKind(), ring.sequence+1, []byte("two"))
	for cut := 0; cut < len(torn); cut++ {
		copies := copyWith(memory, current, offset, torn[:cut])
		require.Equal(t, [][]byte{[]byte("one")}, open(t, copies).Appended(2), "cut at %d", cut)
	}
	memory[current].failing = true
	require.Error(t, ring.Append(2, [][]byte{[]byte("two")}, nil))
	assert.False(t, ring.CanAppend(1, nil))
	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("whole")}))
	assert.Empty(t, open(t, files).Appended(2))
	assert.False(t, ring.CanAppend(SegmentBytes, nil))
}
