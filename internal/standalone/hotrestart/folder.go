// Package hotrestart holds what the processes of one proxy have in common while a new version takes over from an old one: small
// files in a folder that both see, who of them is there, and the listening socket that the platform lends them.
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

// mostText is the longest file that is read.
const mostText = 4 << 20

// Folder is a folder that the processes of one proxy share. All names carry the proxy's own mark, so that proxies that were
// given one folder do not meet.
type Folder struct{ prefix string }

// NewFolder returns the folder at path for the proxy that identity names.
func NewFolder(path, identity string) *Folder {
	mark := fnv.New64a()
	mark.Write([]byte(identity))
	return &Folder{filepath.Join(path, fmt.Sprintf("pumiceline-%016x-", mark.Sum64()))}
}

// locked runs f while no other process of the proxy is in locked with the same name.
func (d *Folder) locked(name string, f func() error) error {
	lock, err := os.OpenFile(d.prefix+name+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	defer lock.Close() // which frees the lock, as the process's death does
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return fmt.Errorf("handover: locking %s: %w", name, err)
	}
	return f()
}

// Read returns the text of a file; none is no error.
func (d *Folder) Read(name string) ([]byte, error) {
	info, err := os.Stat(d.prefix + name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err == nil && info.Size() > mostText {
		err = fmt.Errorf("%s has %d bytes", name, info.Size())
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	text, err := os.ReadFile(d.prefix + name)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return text, nil
}

// Update replaces a file's text by what change makes of it, as one whole, with no other process's update between.
func (d *Folder) Update(name string, change func(old []byte) ([]byte, error)) error {
	return d.locked(name, func() error {
		old, err := d.Read(name)
		if err != nil {
			return err
		}
		text, err := change(old)
		if err != nil {
			return err
		}
		next := d.prefix + name + ".next"
		if err := os.WriteFile(next, text, 0o600); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		if err := os.Rename(next, d.prefix+name); err != nil {
			return fmt.Errorf("handover: %w", err)
		}
		return nil
	})
}

// Stamp changes whenever a file is replaced; it is nothing where there is none.
type Stamp struct {
	inode uint64
	at    time.Time
	size  int64
}

// Stamp reads that of a file.
func (d *Folder) Stamp(name string) (s Stamp) {
	info, err := os.Stat(d.prefix + name)
	if err != nil {
		return s
	}
	s.at, s.size = info.ModTime(), info.Size()
	if sys, ok := info.Sys().(*syscall.Stat_t); ok {
		s.inode = sys.Ino
	}
	return s
}
