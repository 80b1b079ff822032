package storage

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// maxSequenceGap bounds the gap in the sequence numbers after each opening. A crash may leave parts of frames that
// recovery does not read. If a later frame had the same offset, kind, size and sequence number and were torn, those
// parts could complete it, and its checksum would be right. The gap is random because openings that find the same
// newest frame would otherwise assign the same sequence numbers again.
const maxSequenceGap = 1 << 40

// OpenFiles opens a ring on segments of SegmentBytes each and reads their records. It returns an error only if a
// segment cannot be read; a torn write is not an error.
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
	// The bytes after the last frame may belong to a torn write, so the next write goes to the next segment.
	ring.current, ring.mustRotate = last, true
	ring.skipSequences = 1 + rand.Uint64N(maxSequenceGap)
	return ring, nil
}

// segmentContents holds the records of one segment.
type segmentContents struct {
	newest       map[Kind]record
	appended     map[Kind][][]byte // records appended to the newest record of their kind
	lastSequence uint64
}

type record struct {
	sequence uint64
	payload  []byte
}

// readSegment reads a segment up to the first invalid frame. The frames written during one use of a segment have
// consecutive sequence numbers. A frame with any other number is left from another use, for one of two reasons: it is
// located after the last frame of this use, or the frame that should have overwritten it did not become durable. The
// latter can happen although the next frame did become durable, as a disk may write sectors in any order.
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

// continuesWith reports whether the next frame can have that sequence number. The first frame of a segment can have
// any.
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
