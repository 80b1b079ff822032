// Package storage keeps the newest record of each kind in a ring of preallocated files, and for a kind the additions to
// its newest record. A record counts only when its checksum and its place in the sequence are right, so a torn, missing
// or refused write leaves the one before it.
package storage

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
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

// additionBit marks the kind of the additions to another kind.
const additionBit Kind = 1 << 16

// additions is the kind of the additions to records of k.
func (k Kind) additions() Kind { return k | additionBit }

func (k Kind) isAddition() bool { return k&additionBit != 0 }

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
	added    map[Kind][][]byte // by the kind that they add to; they stand in the file of its newest record
	broken   bool              // the current file took a write that failed
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
	ring := &Ring{files: files, newest: map[Kind][]byte{}, added: map[Kind][][]byte{}}
	found := map[Kind]Record{}
	last := len(files) - 1
	for i, file := range files {
		contents, err := scan(file)
		if err != nil {
			return nil, err
		}
		if contents.last > ring.sequence {
			ring.sequence, last = contents.last, i
		}
		for kind, record := range contents.newest {
			if record.Sequence > found[kind].Sequence {
				found[kind] = record
				ring.newest[kind], ring.added[kind] = record.Payload, contents.added[kind]
			}
		}
	}
	// What follows the last record may be torn, so writing goes on in the next file.
	ring.current, ring.broken = last, true
	return ring, nil
}

// contents is what one file holds.
type contents struct {
	newest map[Kind]Record
	added  map[Kind][][]byte // additions since the newest record of their kind
	last   uint64            // sequence of the last record
}

// scan reads a file up to the first place that holds no record of its own sequence.
func scan(file File) (*contents, error) {
	found := &contents{newest: map[Kind]Record{}, added: map[Kind][][]byte{}}
	header := make([]byte, headerSize)
	for offset := int64(0); offset+headerSize <= FileBytes; {
		if _, err := file.ReadAt(header, offset); err != nil {
			return nil, errors.Wrap(err, "reading a file of the ring")
		}
		length := int64(binary.LittleEndian.Uint32(header[16:]))
		sequence := binary.LittleEndian.Uint64(header[8:])
		if binary.LittleEndian.Uint32(header) != magic || sequence <= found.last || offset+headerSize+length > FileBytes {
			break
		}
		payload := make([]byte, length)
		if _, err := file.ReadAt(payload, offset+headerSize); err != nil {
			return nil, errors.Wrap(err, "reading a file of the ring")
		}
		if checksum(header, payload) != binary.LittleEndian.Uint32(header[20:]) {
			break
		}
		found.take(Kind(binary.LittleEndian.Uint32(header[4:])), Record{Sequence: sequence, Payload: payload})
		offset += headerSize + length
	}
	return found, nil
}

func (c *contents) take(kind Kind, record Record) {
	c.last = record.Sequence
	if kind.isAddition() {
		base := kind &^ additionBit
		c.added[base] = append(c.added[base], record.Payload)
		return
	}
	c.newest[kind] = record
	delete(c.added, kind)
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:20], castagnoli), castagnoli, payload)
}

// Newest returns the newest record of a kind, nil where there is none.
func (r *Ring) Newest(kind Kind) []byte { return r.newest[kind] }

// Added returns what was added to the newest record of a kind, in order.
func (r *Ring) Added(kind Kind) [][]byte { return r.added[kind] }

// Write replaces the newest records of some kinds and returns when they are synced. After an error nothing is known
// to be kept; writing again tries the next file. The records stand in falling order of their kinds, and a torn write
// keeps a first part of them: where a record of a low kind tells of one of a higher kind, it is never kept without it.
//
// Where it goes on in the next file it writes the newest record of every kind again, but no additions: while
// CanAdd is false, records of a kind that has additions must be written whole.
func (r *Ring) Write(records map[Kind][]byte) error {
	for kind, payload := range records {
		r.newest[kind] = payload
		delete(r.added, kind)
	}
	if r.broken || !r.fits(sizeOf(records)) {
		if err := r.advance(); err != nil {
			r.broken = true
			return err
		}
		r.broken = false
		return nil
	}
	if err := r.append(block(records, 0, nil)); err != nil {
		r.broken = true
		return err
	}
	return nil
}

// CanAdd reports whether so many bytes, beside the records, still go into the present file.
func (r *Ring) CanAdd(bytes int, records map[Kind][]byte) bool {
	return !r.broken && r.fits(sizeOf(records)+int64(bytes))
}

// Add adds to the newest record of a kind, which the present file must hold, and replaces the newest records of others.
// It returns when all is synced; after an error the kind must be written whole.
func (r *Ring) Add(kind Kind, additions [][]byte, records map[Kind][]byte) error {
	for other, payload := range records {
		r.newest[other] = payload
	}
	r.added[kind] = append(r.added[kind], additions...)
	if err := r.append(block(records, kind, additions)); err != nil {
		r.broken = true
		return err
	}
	return nil
}

func sizeOf(records map[Kind][]byte) int64 {
	size := int64(0)
	for _, payload := range records {
		size += headerSize + int64(len(payload))
	}
	return size
}

// AdditionBytes is what an addition takes in a file.
func AdditionBytes(addition []byte) int { return headerSize + len(addition) }

func (r *Ring) fits(bytes int64) bool { return r.offset+bytes <= FileBytes }

// advance goes on in the next file, which begins with the newest record of every kind.
func (r *Ring) advance() error {
	r.current = (r.current + 1) % len(r.files)
	r.offset = 0
	if !r.fits(sizeOf(r.newest)) {
		return ErrTooLarge
	}
	clear(r.added)
	return r.append(block(r.newest, 0, nil))
}

// entry is a record that is about to be written.
type entry struct {
	kind    Kind
	payload []byte
}

// block puts additions first and records after them, in falling order of their kinds.
func block(records map[Kind][]byte, base Kind, additions [][]byte) []entry {
	var entries []entry
	for _, payload := range additions {
		entries = append(entries, entry{base.additions(), payload})
	}
	kinds := slices.SortedFunc(maps.Keys(records), func(a, b Kind) int { return cmp.Compare(b, a) })
	for _, kind := range kinds {
		entries = append(entries, entry{kind, records[kind]})
	}
	return entries
}

func (r *Ring) append(entries []entry) error {
	var text []byte
	for _, e := range entries {
		r.sequence++
		text = appendRecord(text, e.kind, r.sequence, e.payload)
	}
	if _, err := r.files[r.current].WriteAt(text, r.offset); err != nil {
		return errors.Wrap(err, "writing to the ring")
	}
	if err := r.files[r.current].Sync(); err != nil {
		return errors.Wrap(err, "syncing the ring")
	}
	r.offset += int64(len(text))
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
