package storage

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// segmentFile is a segment on disk. Its size never changes, so a sync need not write a new size to the metadata.
type segmentFile struct{ *os.File }

// Sync makes the written contents durable.
func (f segmentFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

// Open opens the ring in a directory, with segments of SegmentBytes, and reads its records. It creates the directory
// and the segments if they are missing.
func Open(dir string) (*Ring, error) { return OpenSized(dir, SegmentBytes) }

// OpenSized is Open with another segment size. A ring must always be opened with the same size.
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
		// The directory may be new, so its parent is synced too. A parent without read permission existed before.
		if err := syncDir(filepath.Dir(dir)); err != nil && !errors.Is(err, fs.ErrPermission) {
			return nil, err
		}
	}
	return openFiles(files, segmentBytes)
}

// openSegment opens a segment. It sets the size of a segment that is missing or has another size.
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

// syncDir makes the entries of new files in a directory durable.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "open the folder of the ring")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "sync the folder of the ring")
}
