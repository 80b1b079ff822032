package storage

import (
	"fmt"
	"io"
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
	var files []File
	ring, err := openFolder(dir, segmentBytes, &files)
	if err != nil {
		closeFiles(files) // the caller may try again, many times
		return nil, err
	}
	return ring, nil
}

// openFolder opens the segments in a directory, which it adds to files, and reads their records.
func openFolder(dir string, segmentBytes int64, files *[]File) (*Ring, error) {
	anyCreated := false
	for i := range SegmentCount {
		file, created, err := openSegment(filepath.Join(dir, fmt.Sprintf("ring-%d", i)), segmentBytes)
		if err != nil {
			return nil, err
		}
		*files = append(*files, file)
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
	return openFiles(*files, segmentBytes)
}

// closeFiles closes those of the files that can be closed.
func closeFiles(files []File) {
	for _, file := range files {
		if closer, ok := file.(io.Closer); ok {
			_ = closer.Close() // nothing was written that must last
		}
	}
}

// Close closes the segments. The ring must not be used afterwards.
func (r *Ring) Close() { closeFiles(r.files) }

// openSegment opens a segment. It sets the size of a segment that is missing or has another size.
func openSegment(path string, segmentBytes int64) (segment File, created bool, err error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, false, errors.Wrap(err, "open a segment")
	}
	created, err = setSize(file, segmentBytes)
	if err != nil {
		file.Close()
		return nil, false, err
	}
	return segmentFile{file}, created, nil
}

// setSize sets the size of a segment, unless it has that size.
func setSize(file *os.File, segmentBytes int64) (isChanged bool, err error) {
	info, err := file.Stat()
	if err != nil {
		return false, errors.Wrap(err, "open a segment")
	}
	if info.Size() == segmentBytes {
		return false, nil
	}
	if err := file.Truncate(segmentBytes); err != nil {
		return false, errors.Wrap(err, "preallocate a segment")
	}
	return true, errors.Wrap(file.Sync(), "sync a new segment")
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
