package hotrestart

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// maxFileBytes is the largest size of a file that Read accepts.
const maxFileBytes = 4 << 20

// SharedFolder is a folder that the processes of one proxy share. All file names begin with a hash of the proxy's
// identity, so that several proxies may use one folder. It is safe for concurrent use.
type SharedFolder struct {
	prefix string // of the paths of all files
}

// NewSharedFolder returns the folder at path for the proxy with the given identity.
func NewSharedFolder(path, identity string) *SharedFolder {
	hash := fnv.New64a()
	hash.Write([]byte(identity))
	return &SharedFolder{filepath.Join(path, fmt.Sprintf("pumiceline-%016x-", hash.Sum64()))}
}

// Read returns the content of a file, nil if there is none.
func (d *SharedFolder) Read(name string) ([]byte, error) {
	info, err := os.Stat(d.prefix + name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read shared file: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, fmt.Errorf("read shared file: %s has %d bytes, more than %d", name, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(d.prefix + name)
	if err != nil {
		return nil, fmt.Errorf("read shared file: %w", err)
	}
	return content, nil
}

// Update atomically replaces a file's content by the result of change. Updates of the same file by several processes
// are serialized by a lock on a second file. If change fails, Update returns its error and leaves the file unchanged.
func (d *SharedFolder) Update(name string, change func(old []byte) ([]byte, error)) error {
	return d.withLock(name, func() error {
		old, err := d.Read(name)
		if err != nil {
			return err
		}
		content, err := change(old)
		if err != nil {
			return err
		}
		next := d.prefix + name + ".next"
		if err := os.WriteFile(next, content, 0o600); err != nil {
			return fmt.Errorf("write shared file: %w", err)
		}
		if err := os.Rename(next, d.prefix+name); err != nil {
			return fmt.Errorf("replace shared file: %w", err)
		}
		return nil
	})
}

// withLock runs f while it holds a file's lock, which excludes the other processes of the proxy.
func (d *SharedFolder) withLock(name string, f func() error) error {
	lock, err := os.OpenFile(d.prefix+name+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("open lock file: %w", err)
	}
	defer lock.Close() // releases the lock, as the end of the process does
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("lock shared file %s: %w", name, err)
	}
	return f()
}

// FileVersion identifies the content of a file: it changes whenever the file is replaced. The zero value means that
// there is no file.
type FileVersion struct {
	inode     uint64
	modified  time.Time
	sizeBytes int64
}

// Version returns the current version of a file.
func (d *SharedFolder) Version(name string) FileVersion {
	info, err := os.Stat(d.prefix + name)
	if err != nil {
		return FileVersion{}
	}
	v := FileVersion{modified: info.ModTime(), sizeBytes: info.Size()}
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		v.inode = sys.Ino
	}
	return v
}
