package storage

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// maxSequenceGap bounds the gap in the sequence after each opening. A crash may leave parts of frames that are not read, and
// a later frame of the same place, kind and size with the same sequence could be completed by them: its checksum would
// be right. The gap is random, as openings that find the same newest frame would else give the same sequences again.
const maxSequenceGap = 1 << 40

// OpenFiles opens a ring on segments of SegmentBytes each and reads what they hold. An error means that a segment
// cannot be read; what a crash left is none.
func OpenFiles(files []File) (*Ring, error) { return openFiles(files, SegmentBytes) }

func openFiles(files []File, segmentBytes int64) (*Ring, error) {
	ring := &Ring{
		files: files, segmentBytes: segmentBytes,
		newest: map[Kind][]byte{}, appended: map[Kind][][]byte{}, synced: map[Kind]int{},
	}
	found := map[Kind]uint64{} // sequence of the newest record by kind
	last := len(files) - 1
	for i, file := range files {
		contents, err := readSegment(file, segmentBytes)
		if err != nil {
			return nil, errors.Wrapf(err, "read segment %d of the ring", i)
		}
		if contents.lastSequence > ring.sequence {
			ring.sequence, last = contents.lastSequence, i
		}
		for kind, record := range contents.newest {
			if record.sequence > found[kind] {
				found[kind] = record.sequence
				ring.newest[kind], ring.appended[kind] = record.payload, contents.appended[kind]
				ring.synced[kind] = i
			}
		}
	}
	// What follows the last frame may be torn, so writing goes on in the next segment.
	ring.current, ring.mustRotate = last, true
	ring.skipSequences = 1 + rand.Uint64N(maxSequenceGap)
	return ring, nil
}

// segmentContents is what one segment holds.
type segmentContents struct {
	newest       map[Kind]record
	appended     map[Kind][][]byte // since the newest record of their kind
	lastSequence uint64
}

type record struct {
	sequence uint64
	payload  []byte
}

// readSegment reads a segment up to the first frame that does not count. Frames of one use of a segment have consecutive
// sequences. Any other sequence shows a frame of another use: one that stands behind the end of the present one, or one
// whose successor became durable while it did not itself, as a disk may write sectors in any order.
func readSegment(file File, segmentBytes int64) (*segmentContents, error) {
	contents := &segmentContents{newest: map[Kind]record{}, appended: map[Kind][][]byte{}}
	encoded := make([]byte, headerBytes)
	for offset := int64(0); offset+headerBytes <= segmentBytes; {
		if _, err := file.ReadAt(encoded, offset); err != nil {
			return nil, err
		}
		header := decodeHeader(encoded)
		end := offset + headerBytes + header.length
		if header.magic != magic || !contents.continuesWith(header.sequence) || end > segmentBytes {
			break
		}
		payload := make([]byte, header.length)
		if _, err := file.ReadAt(payload, offset+headerBytes); err != nil {
			return nil, err
		}
		if checksum(encoded, payload) != header.checksum {
			break
		}
		contents.add(header.kind, record{sequence: header.sequence, payload: payload})
		offset = end
	}
	return contents, nil
}

// continuesWith reports whether a frame with that sequence can be the next one. Any sequence can begin a segment.
func (c *segmentContents) continuesWith(sequence uint64) bool {
	if c.lastSequence == 0 {
		return sequence > 0
	}
	return sequence == c.lastSequence+1
}

func (c *segmentContents) add(kind Kind, found record) {
	c.lastSequence = found.sequence
	if kind.isAppended() {
		base := kind &^ appendedBit
		c.appended[base] = append(c.appended[base], found.payload)
		return
	}
	c.newest[kind] = found
	delete(c.appended, kind)
}
