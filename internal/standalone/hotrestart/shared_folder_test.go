package hotrestart

import (
	"errors"
	"strconv"
	"sync"
	"testing"
)

// Concurrent updates of a file are serialized, none is lost, and each changes the file's version.
func TestSharedFolder_SerializesUpdates(t *testing.T) {
	dir := t.TempDir()
	const writers, updates = 4, 50
	var running sync.WaitGroup
	for range writers {
		running.Go(func() {
			d := NewSharedFolder(dir, "n0")
			for range updates {
				before := d.Version("count")
				err := d.Update("count", func(old []byte) ([]byte, error) {
					n, err := strconv.Atoi(string(old) + map[bool]string{true: "0"}[len(old) == 0])
					return []byte(strconv.Itoa(n + 1)), err
				})
				if err != nil || d.Version("count") == before {
					t.Errorf("%v, or the version is the same", err)
				}
			}
		})
	}
	running.Wait()
	d := NewSharedFolder(dir, "n0")
	if content, err := d.Read("count"); err != nil || string(content) != strconv.Itoa(writers*updates) {
		t.Errorf("%s, %v", content, err)
	}
	errChange := errors.New("no")
	if err := d.Update("count", func([]byte) ([]byte, error) { return nil, errChange }); !errors.Is(err, errChange) {
		t.Error(err)
	}
	if content, err := d.Read("other"); content != nil || err != nil {
		t.Errorf("no file: %q, %v", content, err)
	}
}
