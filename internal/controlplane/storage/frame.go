package storage

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload. All numbers of the header are little-endian:
//
//	offset  bytes  content
//	     0      4  magic
//	     4      4  kind
//	     8      8  sequence number, increasing across all segments
//	    16      4  length of the payload
//	    20      4  CRC-32C of the first 20 bytes and the payload
const (
	magic          = 0x70756d33 // "pum3"
	kindOffset     = 4
	sequenceOffset = 8
	lengthOffset   = 16
	checksumOffset = 20
	headerBytes    = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a record to be written.
type frame struct {
	kind    Kind
	payload []byte
}

// FrameBytes returns the size of a record's frame in a segment.
func FrameBytes(record []byte) int { return headerBytes + len(record) }

func framesBytes(records map[Kind][]byte) int64 {
	size := int64(0)
	for _, payload := range records {
		size += int64(FrameBytes(payload))
	}
	return size
}

// encodeFrame appends a frame to encoded.
func encodeFrame(encoded []byte, kind Kind, sequence uint64, payload []byte) []byte {
	header := make([]byte, headerBytes)
	binary.LittleEndian.PutUint32(header, magic)
	binary.LittleEndian.PutUint32(header[kindOffset:], uint32(kind))
	binary.LittleEndian.PutUint64(header[sequenceOffset:], sequence)
	binary.LittleEndian.PutUint32(header[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[checksumOffset:], checksum(header, payload))
	encoded = append(encoded, header...)
	return append(encoded, payload...)
}

// frameHeader is a header as read from a segment. It must not be trusted before its checksum is verified.
type frameHeader struct {
	magic    uint32
	kind     Kind
	sequence uint64
	length   int64
	checksum uint32
}

func decodeHeader(header []byte) frameHeader {
	return frameHeader{
		magic:    binary.LittleEndian.Uint32(header),
		kind:     Kind(binary.LittleEndian.Uint32(header[kindOffset:])),
		sequence: binary.LittleEndian.Uint64(header[sequenceOffset:]),
		length:   int64(binary.LittleEndian.Uint32(header[lengthOffset:])),
		checksum: binary.LittleEndian.Uint32(header[checksumOffset:]),
	}
}

func checksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[:checksumOffset], castagnoli), castagnoli, payload)
}
