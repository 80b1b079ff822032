// Package simlink translates between the binary frames of the operators' simulator and the types of package policy. It
// only translates; decisions are made by the policy.
//
// The simulator sends batches. A batch is a header and records; most records are events, each for one instance of the
// policy. Each batch is answered by one reply: a header and the records of the resulting actions. All numbers are
// big-endian.
package simlink

import (
	"encoding/binary"
	"fmt"
	"math"

	"pumiceline/internal/standalone/policy"
)

// Sizes of the frame headers in bytes, and the largest body that a reader should accept.
const (
	BatchHeaderSize = 16
	ReplyHeaderSize = 8
	MaxBodySize     = 1 << 30
)

// minRecordSize is the size of the code and the instance number with which every record begins.
const minRecordSize = 4

// BatchHeader precedes the records of a batch.
type BatchHeader struct {
	BodySize    uint32 // bytes that follow the header
	RecordCount uint32
	Now         policy.Time // simulated time of the events
}

// ParseBatchHeader reads a header of BatchHeaderSize bytes. It rejects sizes and times that are out of range.
func ParseBatchHeader(b []byte) (BatchHeader, error) {
	size, count := binary.BigEndian.Uint32(b), binary.BigEndian.Uint32(b[4:])
	clock := binary.BigEndian.Uint64(b[8:])
	switch {
	case size > MaxBodySize:
		return BatchHeader{}, fmt.Errorf("batch header: length %d is over the limit of %d", size, MaxBodySize)
	case clock > math.MaxInt64:
		return BatchHeader{}, fmt.Errorf("batch header: clock %d does not fit", clock)
	case uint64(count)*minRecordSize > uint64(size):
		return BatchHeader{}, fmt.Errorf("batch header: %d records cannot fit in %d bytes", count, size)
	}
	return BatchHeader{BodySize: size, RecordCount: count, Now: policy.Time(clock)}, nil
}

// PutReplyHeader writes the header of a reply whose header and body are b.
func PutReplyHeader(b []byte, recordCount uint32) {
	binary.BigEndian.PutUint32(b, uint32(len(b)-ReplyHeaderSize))
	binary.BigEndian.PutUint32(b[4:], recordCount)
}
