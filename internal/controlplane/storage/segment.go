package storage

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// segmentFile is a segment on disk. Its size never changes, so that a sync need not write metadata.
type segmentFile struct{ *os.File }

// Sync writes the contents to the disk.
func (f segmentFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// Open opens the ring in a folder, with segments of SegmentBytes, and reads what it holds. It makes the folder and the segments
// where they are missing.
func Open(dir string) (*Ring, error) { return OpenSized(dir, SegmentBytes) }

// OpenSized opens a ring with segments of another size. The size of a ring must stay the same.
func OpenSized(dir string, segmentBytes int64) (*Ring, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "make the folder of the ring")
	}
	files := make([]File, SegmentCount)
	anyCreated := false
	for i := range files {
		file, created, err := openSegment(filepath.Join(dir, fmt.Sprintf("ring-%d", i)), segmentBytes)
		if err != nil {
			return nil, err
		}
		files[i] = file
		anyCreated = anyCreated || created
	}
	if anyCreated {
		if err := syncDir(dir); err != nil {
			return nil, err
		}
		// The folder itself may be new. One above it that may not be read was there before.
		if err := syncDir(filepath.Dir(dir)); err != nil && !errors.Is(err, fs.ErrPermission) {
			return nil, err
		}
	}
	return openFiles(files, segmentBytes)
}

// openSegment opens a segment; one that is missing, or has another size, is preallocated.
func openSegment(path string, segmentBytes int64) (segment File, created bool, err error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, false, errors.Wrap(err, "open a segment")
	}
	info, err := file.Stat()
	if err != nil {
		return nil, false, errors.Wrap(err, "open a segment")
	}
	if info.Size() == segmentBytes {
		return segmentFile{file}, false, nil
	}
	if err := file.Truncate(segmentBytes); err != nil {
		return nil, false, errors.Wrap(err, "preallocate a segment")
	}
	return segmentFile{file}, true, errors.Wrap(file.Sync(), "sync a new segment")
}

// syncDir makes the entries of new files in a folder durable.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open the folder of the ring")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync the folder of the ring")
}
