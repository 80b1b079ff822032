package storage

import (
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unpackRing unpacks the segments of a ring from testdata into a temporary directory.
func unpackRing(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for i := range SegmentCount {
		name := fmt.Sprintf("ring-%d", i)
		packed, err := os.Open(filepath.Join("testdata", name+".gz"))
		require.NoError(t, err)
		unpacked, err := gzip.NewReader(packed)
		require.NoError(t, err)
		text, err := io.ReadAll(unpacked)
		require.NoError(t, err)
		require.NoError(t, packed.Close())
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), text, 0o600))
	}
	return dir
}

// The files in testdata were stored by an earlier version, cef8855, and must never be rewritten. That version opened
// the ring three times: segment 0 holds an older record of each kind, segment 1 the records written after the second
// opening, and segment 2 those written after the third. The last record in segment 2, an appended one, is torn.
func TestReadsRingStoredByEarlierVersion(t *testing.T) {
	dir := unpackRing(t)
	for i := range SegmentCount {
		info, err := os.Stat(filepath.Join(dir, fmt.Sprintf("ring-%d", i)))
		require.NoError(t, err)
		require.EqualValues(t, SegmentBytes, info.Size(), "a segment of another size would be truncated or extended by Open")
	}
	ring, err := Open(dir)
	require.NoError(t, err)
	assert.Equal(t, "control, third", string(ring.Newest(1)))
	assert.Equal(t, "chain, second", string(ring.Newest(2)))
	assert.Equal(t, "another kind", string(ring.Newest(7)))
	assert.Nil(t, ring.Newest(3))
	assert.Empty(t, ring.Appended(1))
	assert.Equal(t, [][]byte{[]byte("addition 1"), []byte("addition 2"), []byte("addition 3")}, ring.Appended(2))
	assert.Empty(t, ring.Appended(7))
	assert.Equal(t, 2, ring.current)
	assert.EqualValues(t, 16, ring.sequence)
	assert.False(t, ring.CanAppend(1, nil), "the bytes after the last record are torn")

	require.NoError(t, ring.Write(map[Kind][]byte{2: []byte("chain, third")}))
	again, err := Open(dir)
	require.NoError(t, err)
	assert.Equal(t, "control, third", string(again.Newest(1)))
	assert.Equal(t, "chain, third", string(again.Newest(2)))
	assert.Equal(t, "another kind", string(again.Newest(7)))
	assert.Empty(t, again.Appended(2))
	assert.Equal(t, 3, again.current)
	assert.Equal(t, ring.sequence, again.sequence)
	assert.Greater(t, again.sequence, uint64(16+2), "three frames were written, after a gap")
}
