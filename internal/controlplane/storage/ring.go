// Package storage keeps the newest record of each kind in a ring of preallocated files. A record counts only when its
// checksum and its place in the sequence are right, so a torn, missing or refused write leaves the one before it.
package storage

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Sizes of the ring. All files together stay under half of the smallest disk known, which is 64 MB.
const (
	FileCount  = 4
	FileBytes  = 7 << 20
	headerSize = 4 + 4 + 8 + 4 + 4 // magic, kind, sequence, length, checksum
	magic      = 0x70756d33
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Kind tells records of different content apart.
type Kind uint32

// Record is one record as it was found.
type Record struct {
	Sequence uint64
	Payload  []byte
}

// File is what the ring needs of a file; tests put files in its place that fail on purpose.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
}

// Ring is the open ring. It has one owner and no locks.
type Ring struct {
	files    []File
	current  int
	offset   int64
	sequence uint64
	newest   map[Kind][]byte
	broken   bool // the current file took a write that failed
}

// ErrTooLarge says that a record does not fit into a file.
var ErrTooLarge = errors.New("the record is larger than a file of the ring")

// Open opens the ring in dir, makes its files where they are missing, and reads what they hold.
func Open(dir string) (*Ring, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "making the state folder")
	}
	files := make([]File, FileCount)
	created := false
	for i := range files {
		path := filepath.Join(dir, fmt.Sprintf("ring-%d", i))
		file, isNew, err := openFile(path)
		if err != nil {
			return nil, err
		}
		files[i] = file
		created = created || isNew
	}
	if created {
		if err := syncFolder(dir); err != nil {
			return nil, err
		}
	}
	return OpenFiles(files)
}

func openFile(path string) (file File, isNew bool, err error) {
	opened, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, false, errors.Wrap(err, "opening a file of the ring")
	}
	info, err := opened.Stat()
	if err != nil {
		return nil, false, errors.Wrap(err, "opening a file of the ring")
	}
	if info.Size() == FileBytes {
		return dataFile{opened}, false, nil
	}
	if err := opened.Truncate(FileBytes); err != nil {
		return nil, false, errors.Wrap(err, "preallocating a file of the ring")
	}
	return dataFile{opened}, true, errors.Wrap(opened.Sync(), "syncing a new file of the ring")
}

// dataFile syncs contents only: the size of a file of the ring never changes.
type dataFile struct{ *os.File }

// Sync writes the file's contents to the disk.
func (f dataFile) Sync() error { return unix.Fdatasync(int(f.Fd())) }

func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return errors.Wrap(err, "opening the state folder")
	}
	defer folder.Close()
	return errors.Wrap(folder.Sync(), "syncing the state folder")
}

// OpenFiles reads a ring from files of FileBytes each.
func OpenFiles(files []File) (*Ring, error) {
	ring := &Ring{files: files, newest: map[Kind][]byte{}}
	found := map[Kind]Record{}
	last := len(files) - 1
	for i, file := range files {
		records, err := scan(file)
		if err != nil {
			return nil, err
		}
		for kind, record := range records {
			if record.Sequence > ring.sequence {
				ring.sequence, last = record.Sequence, i
			}
			if record.Sequence > found[kind].Sequence {
				found[kind] = record
			}
		}
	}
	for kind, record := range found {
		ring.newest[kind] = record.Payload
	}
	// What follows the last record may be torn, so writing goes on in the next file.
	ring.current, ring.broken = last, true
	return ring, nil
}

// scan returns the newest record of each kind up to the first place that holds no record of the file's own sequence.
func scan(file File) (map[Kind]Record, error) {
	records := map[Kind]Record{}
	header := make([]byte, headerSize)
	previous := uint64(0)
	for offset := int64(0); offset+headerSize <= FileBytes; {
		if _, err := file.ReadAt(header, offset); err != nil {
			return nil, errors.Wrap(err, "reading a file of the ring")
		}
		length := int64(binary.LittleEndian.Uint32(header[16:]))
		sequence := binary.LittleEndian.Uint64(header[8:])
		if binary.LittleEndian.Uint32(header) != magic || sequence <= previous || offset+headerSize+length > FileBytes {
			break
		}
		payload := make([]byte, length)
		if _, err := file.ReadAt(payload, offset+headerSize); err != nil {
			return nil, errors.Wrap(err, "reading a file of the ring")
		}
		if checksum(header, payload) != binary.LittleEndian.Uint32(header[20:]) {
			break
		}
		records[Kind(binary.LittleEndian.Uint32(header[4:]))] = Record{Sequence: sequence, Payload: payload}
		previous = sequence
		offset += headerSize + length
	}
	return records, nil
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:20], castagnoli), castagnoli, payload)
}

// Newest returns the newest record of a kind, nil where there is none.
func (r *Ring) Newest(kind Kind) []byte { return r.newest[kind] }

// Write replaces the newest records of some kinds and returns when they are synced. After an error nothing is known
// to be kept; writing again tries the next file. The records stand in falling order of their kinds, and a torn write
// keeps a first part of them: where a record of a low kind tells of one of a higher kind, it is never kept without it.
func (r *Ring) Write(records map[Kind][]byte) error {
	for kind, payload := range records {
		r.newest[kind] = payload
	}
	if r.broken || !r.fits(records) {
		if err := r.advance(); err != nil {
			r.broken = true
			return err
		}
		r.broken = false
		return nil
	}
	if err := r.append(records); err != nil {
		r.broken = true
		return err
	}
	return nil
}

func (r *Ring) fits(records map[Kind][]byte) bool {
	need := int64(0)
	for _, payload := range records {
		need += headerSize + int64(len(payload))
	}
	return r.offset+need <= FileBytes
}

// advance goes on in the next file, which begins with the newest record of every kind.
func (r *Ring) advance() error {
	r.current = (r.current + 1) % len(r.files)
	r.offset = 0
	if !r.fits(r.newest) {
		return ErrTooLarge
	}
	return r.append(r.newest)
}

func (r *Ring) append(records map[Kind][]byte) error {
	kinds := make([]Kind, 0, len(records))
	for kind := range records {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b Kind) int { return cmp.Compare(b, a) })
	var block []byte
	for _, kind := range kinds {
		r.sequence++
		block = appendRecord(block, kind, r.sequence, records[kind])
	}
	if _, err := r.files[r.current].WriteAt(block, r.offset); err != nil {
		return errors.Wrap(err, "writing to the ring")
	}
	if err := r.files[r.current].Sync(); err != nil {
		return errors.Wrap(err, "syncing the ring")
	}
	r.offset += int64(len(block))
	return nil
}

func appendRecord(block []byte, kind Kind, sequence uint64, payload []byte) []byte {
	header := make([]byte, headerSize)
	binary.LittleEndian.PutUint32(header, magic)
	binary.LittleEndian.PutUint32(header[4:], uint32(kind))
	binary.LittleEndian.PutUint64(header[8:], sequence)
	binary.LittleEndian.PutUint32(header[16:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[20:], checksum(header, payload))
	block = append(block, header...)
	return append(block, payload...)
}
