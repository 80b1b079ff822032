// Package storage keeps a coordinator's state in a ring of fixed-size segment files: the newest record of each kind,
// and for a kind the records appended to its newest one. It works like a write-ahead log that is compacted whenever it
// rotates to the next segment, which then begins with the newest record of every kind.
//
// A write is one sequential write of frames and one fdatasync. A frame is valid only if its magic number, its checksum
// and its sequence number are right.
//
// Crashes: every write that returned without an error survives a crash. Of a write in progress a prefix of the frames
// survives, which may be none or all of them. The order of frames within a write is fixed (see Ring.Write), so a
// record can rely on another record of the same write. After a failed write the next one goes to another segment,
// which never holds the newest synced record of any kind (see Ring.nextSegment). So no number of consecutive failures
// loses a synced record.
//
// Recovery: OpenFiles reads each segment up to its first invalid frame. For each kind it takes the record with the
// highest sequence number in any segment, together with the records appended to it there. It silently ignores the rest
// of a segment after an invalid frame, which may be a torn write, a damaged sector, or frames from an earlier use of
// the segment. Only a segment that cannot be read is an error. The next write goes to the next segment.
package storage

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// Default size of a ring. All segments together take less than half of the smallest known disk, which has 64 MB.
const (
	SegmentCount = 4
	SegmentBytes = 7 << 20
)

// Kind distinguishes records of different content. Callers use kinds below 1<<16.
type Kind uint32

// appendedBit marks frames whose record was appended to the newest record of the kind without the bit.
const appendedBit Kind = 1 << 16

func (k Kind) appendedKind() Kind { return k | appendedBit }

func (k Kind) isAppended() bool { return k&appendedBit != 0 }

// File is the access that the ring needs to a segment. Tests implement it to inject disk faults.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
}

// Ring is an open ring. It has no locks, so only one goroutine may use it.
type Ring struct {
	files        []File
	segmentBytes int64
	current      int    // index of the segment that is written to
	offset       int64  // end of the last frame in it
	sequence     uint64 // of the last frame
	// skipSequences is added to the sequence before the first write after the opening (see maxSequenceGap).
	skipSequences uint64
	newest        map[Kind][]byte
	appended      map[Kind][][]byte // by the kind that they extend; stored in the segment of its newest record
	// synced is the index of the segment with the newest synced record of each kind. A failed write does not change it.
	synced map[Kind]int
	// mustRotate is set while the end of the current segment is unknown: after a failed write, and after opening.
	mustRotate bool
}

// ErrTooLarge is returned by Ring.Write when the newest records of all kinds do not fit into one segment.
var ErrTooLarge = errors.New("the records are larger than a segment of the ring")

// errNoFreeSegment cannot occur while there are fewer kinds of records than segments.
var errNoFreeSegment = errors.New("each segment of the ring holds a newest record")

// SyncFound syncs the segments with the records found at opening. A killed process may leave unsynced writes in the
// operating system's cache. The next process finds their records, but a loss of power would still lose them. So no
// record found at opening may be relied on before SyncFound has returned without an error.
func (r *Ring) SyncFound() error {
	segments := map[int]bool{}
	for _, segment := range r.synced {
		segments[segment] = true
	}
	for segment := range segments {
		if err := r.files[segment].Sync(); err != nil {
			return errors.Wrapf(err, "sync segment %d of the ring", segment)
		}
	}
	return nil
}

// Newest returns the newest record of a kind, or nil if there is none.
func (r *Ring) Newest(kind Kind) []byte { return r.newest[kind] }

// Appended returns the records appended to the newest record of a kind, in order.
func (r *Ring) Appended(kind Kind) [][]byte { return r.appended[kind] }

// Write replaces the newest records of some kinds and returns when they are synced. After an error it is unknown
// whether the records will be found after a crash; the next write goes to the next segment.
//
// Frames are written in descending order of their kinds, and a torn write leaves a prefix of them. If one record relies
// on another of the same write, it must have the lower kind: then it is never found without the other.
//
// When Write rotates to the next segment, it writes the newest record of every kind again, but no appended records.
// So while CanAppend is false, a kind that has appended records must be written in full with Write.
func (r *Ring) Write(records map[Kind][]byte) error {
	for kind, payload := range records {
		r.newest[kind] = payload
		delete(r.appended, kind)
	}
	if r.mustRotate || !r.fits(framesBytes(records)) {
		return r.rotate()
	}
	return r.writeFrames(orderFrames(records, 0, nil))
}

// CanAppend reports whether the current segment has room for appended records with frames of appendedBytes in total
// (see FrameBytes), together with the records that the same write replaces.
func (r *Ring) CanAppend(appendedBytes int, records map[Kind][]byte) bool {
	return !r.mustRotate && r.fits(framesBytes(records)+int64(appendedBytes))
}

// Append appends records to the newest record of a kind, and replaces the newest records of other kinds. It returns
// when all of them are synced. CanAppend must be true, and the newest record of the kind must be in the current
// segment. After an error the kind must be written in full with Write.
func (r *Ring) Append(kind Kind, appended [][]byte, records map[Kind][]byte) error {
	for other, payload := range records {
		r.newest[other] = payload
	}
	r.appended[kind] = append(r.appended[kind], appended...)
	return r.writeFrames(orderFrames(records, kind, appended))
}

// fits reports whether the current segment has room for frames of that size.
func (r *Ring) fits(size int64) bool { return r.offset+size <= r.segmentBytes }

// rotate makes the next free segment the current one and writes the newest record of every kind to its beginning.
func (r *Ring) rotate() error {
	r.mustRotate = true
	if framesBytes(r.newest) > r.segmentBytes {
		return ErrTooLarge
	}
	next, err := r.nextSegment()
	if err != nil {
		return err
	}
	r.current = next
	r.offset = 0
	clear(r.appended)
	if err := r.writeFrames(orderFrames(r.newest, 0, nil)); err != nil {
		return err
	}
	r.mustRotate = false
	return nil
}

// nextSegment returns the first segment after the current one that holds no newest synced record of any kind. There is
// always one while there are fewer kinds than segments.
func (r *Ring) nextSegment() (int, error) {
	inUse := map[int]bool{}
	for _, segment := range r.synced {
		inUse[segment] = true
	}
	for step := 1; step <= len(r.files); step++ {
		segment := (r.current + step) % len(r.files)
		if !inUse[segment] {
			return segment, nil
		}
	}
	return 0, errNoFreeSegment
}

// orderFrames returns the frames of a write: first the records appended to the kind base, then the replaced records in
// descending order of their kinds. base is ignored if there are no appended records.
func orderFrames(records map[Kind][]byte, base Kind, appended [][]byte) []frame {
	var frames []frame
	for _, payload := range appended {
		frames = append(frames, frame{base.appendedKind(), payload})
	}
	kinds := slices.SortedFunc(maps.Keys(records), func(a, b Kind) int { return cmp.Compare(b, a) })
	for _, kind := range kinds {
		frames = append(frames, frame{kind, records[kind]})
	}
	return frames
}

// writeFrames writes and syncs frames at the end of the current segment.
func (r *Ring) writeFrames(frames []frame) error {
	r.sequence += r.skipSequences
	r.skipSequences = 0
	var encoded []byte
	for _, f := range frames {
		r.sequence++
		encoded = encodeFrame(encoded, f.kind, r.sequence, f.payload)
	}
	if _, err := r.files[r.current].WriteAt(encoded, r.offset); err != nil {
		r.mustRotate = true
		return errors.Wrapf(err, "write segment %d of the ring", r.current)
	}
	if err := r.files[r.current].Sync(); err != nil {
		r.mustRotate = true
		return errors.Wrapf(err, "sync segment %d of the ring", r.current)
	}
	r.offset += int64(len(encoded))
	for _, f := range frames {
		r.synced[f.kind&^appendedBit] = r.current
	}
	return nil
}
