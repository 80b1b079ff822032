package message

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/tinylib/msgp/msgp"
)

// Bounds of a message or record that is decoded.
const (
	// maxDecodedBytes bounds the estimated memory of a decoded message.
	maxDecodedBytes = 48 << 20
	// maxDepth bounds how deep lists and maps are nested. The messages of this package nest less than half as deep.
	maxDepth = 32
)

// Estimated memory of an element of a list.
const (
	structBytes = 128 // a list or map, which stands for a struct
	scalarBytes = 16  // any other value
)

// Errors of Decode for data that the codecs must not see: they make a list as long as its header says.
var (
	ErrTooLarge  = errors.New("the decoded message would be too large")
	ErrTooDeep   = errors.New("the message is nested too deep")
	ErrMalformed = errors.New("the message is cut short or malformed")
)

// Decode decodes a message or a record. It first checks that each list, map and text has as many elements or bytes as its
// header says, and that the result takes a bounded amount of memory, so that no byte names more memory than arrived.
func Decode(into msgp.Unmarshaler, encoded []byte) error {
	if err := checkBounds(encoded); err != nil {
		return err
	}
	_, err := into.UnmarshalMsg(encoded)
	return err
}

// checkBounds checks the first value of encoded data.
func checkBounds(encoded []byte) error {
	_, err := (&scanner{data: encoded, decodedBytes: len(encoded)}).scan()
	return err
}

// scanner reads over an encoded value, with the lists and maps in it.
type scanner struct {
	data         []byte
	decodedBytes int // estimated memory of what was read
	depth        int // number of open lists and maps
	open         [maxDepth]openValue
}

// openValue is a list or map whose elements are being read.
type openValue struct {
	missing      int // elements that were not read yet; a map has two for each entry
	elementBytes int // estimated memory of the place of an element; 0: it is part of a struct
}

// scan reads over the first value of the data, and returns its length.
func (s *scanner) scan() (length int, err error) {
	for {
		length = s.skipShortScalars(length)
		if length >= len(s.data) {
			return 0, ErrMalformed
		}
		value := readHead(s.data[length:])
		if value.bytes == 0 || value.bytes > len(s.data)-length {
			return 0, ErrMalformed
		}
		length += value.bytes
		s.count(value.kind)
		if value.elements > len(s.data)-length { // each has one byte at least
			return 0, ErrMalformed
		}
		if value.elements > 0 {
			if s.depth == maxDepth {
				return 0, ErrTooDeep
			}
			s.open[s.depth] = openValue{missing: value.elements, elementBytes: elementBytes(value.kind)}
			s.depth++
		}
		if s.decodedBytes > maxDecodedBytes {
			return 0, ErrTooLarge
		}
		for s.depth > 0 && s.open[s.depth-1].missing == 0 {
			s.depth--
		}
		if s.depth == 0 {
			return length, nil
		}
	}
}

// skipShortScalars reads over the numbers and short texts that come next in the innermost list or map, but for its last
// element. Most values are such, and need no more than this.
func (s *scanner) skipShortScalars(length int) int {
	if s.depth == 0 {
		return length
	}
	parent := &s.open[s.depth-1]
	missing := parent.missing
	for missing > 1 && length < len(s.data) {
		first := s.data[length]
		switch {
		case first <= lastPositiveFixint || first > lastSized:
			length++
		case first > lastFixarray && first <= lastFixstr:
			length += 1 + int(first&fixstrMask)
		default:
			s.decodedBytes += (parent.missing - missing) * parent.elementBytes
			parent.missing = missing
			return length
		}
		missing--
	}
	s.decodedBytes += (parent.missing - missing) * parent.elementBytes
	parent.missing = missing
	return length
}

// count counts a value as an element of the list or map that it stands in.
func (s *scanner) count(kind valueKind) {
	if s.depth == 0 {
		return
	}
	parent := &s.open[s.depth-1]
	parent.missing--
	if parent.elementBytes > 0 && kind != scalarValue {
		s.decodedBytes += structBytes
	} else {
		s.decodedBytes += parent.elementBytes
	}
}

func elementBytes(kind valueKind) int {
	if kind == listValue {
		return scalarBytes
	}
	return 0
}

// valueKind is the kind of an encoded value.
type valueKind int

const (
	scalarValue valueKind = iota
	listValue
	mapValue
)

// valueHead is the head of an encoded value.
type valueHead struct {
	kind     valueKind
	bytes    int // of the head, and of a scalar the whole value; 0: it is malformed
	elements int // values that follow; a map has two for each entry
}

// First bytes of MessagePack values that have their length, or a part of it, in the first byte.
const (
	lastPositiveFixint = 0x7f
	lastFixmap         = 0x8f
	lastFixarray       = 0x9f
	lastFixstr         = 0xbf
	firstSized         = 0xc0 // nil
	lastSized          = 0xdf // map 32
	fixmapMask         = 0x0f
	fixstrMask         = 0x1f
)

// readHead reads the head of the value at the beginning of data, which is not empty.
func readHead(data []byte) valueHead {
	first := data[0]
	switch {
	case first <= lastPositiveFixint || first > lastSized:
		return valueHead{bytes: 1}
	case first <= lastFixmap:
		return valueHead{kind: mapValue, bytes: 1, elements: 2 * int(first&fixmapMask)}
	case first <= lastFixarray:
		return valueHead{kind: listValue, bytes: 1, elements: int(first & fixmapMask)}
	case first <= lastFixstr:
		return valueHead{bytes: 1 + int(first&fixstrMask)}
	}
	return readSizedHead(data, sizedForms[first-firstSized])
}

// sizedForm is how a value with a first byte from firstSized to lastSized goes on.
type sizedForm struct {
	kind      valueKind
	isInvalid bool
	sizeBytes int // of the number of bytes or elements that follows the first byte; 0: there is none
	fixed     int // bytes of a scalar beside those that the number counts
}

// sizedForms are the forms by the first byte, from firstSized, in the order of the MessagePack specification.
var sizedForms = [lastSized - firstSized + 1]sizedForm{
	{}, {isInvalid: true}, {}, {}, // nil, (never used), false, true
	{sizeBytes: 1}, {sizeBytes: 2}, {sizeBytes: 4}, // bin
	{sizeBytes: 1, fixed: 1}, {sizeBytes: 2, fixed: 1}, {sizeBytes: 4, fixed: 1}, // ext
	{fixed: 4}, {fixed: 8}, // float
	{fixed: 1}, {fixed: 2}, {fixed: 4}, {fixed: 8}, // uint
	{fixed: 1}, {fixed: 2}, {fixed: 4}, {fixed: 8}, // int
	{fixed: 2}, {fixed: 3}, {fixed: 5}, {fixed: 9}, {fixed: 17}, // fixext
	{sizeBytes: 1}, {sizeBytes: 2}, {sizeBytes: 4}, // str
	{kind: listValue, sizeBytes: 2}, {kind: listValue, sizeBytes: 4},
	{kind: mapValue, sizeBytes: 2}, {kind: mapValue, sizeBytes: 4},
}

// readSizedHead reads a head that may have a number after the first byte.
func readSizedHead(data []byte, form sizedForm) valueHead {
	if form.isInvalid || len(data) < 1+form.sizeBytes {
		return valueHead{}
	}
	number := 0
	switch form.sizeBytes {
	case 1:
		number = int(data[1])
	case 2:
		number = int(binary.BigEndian.Uint16(data[1:]))
	case 4:
		number = int(binary.BigEndian.Uint32(data[1:]))
	}
	head := valueHead{kind: form.kind, bytes: 1 + form.sizeBytes}
	switch form.kind {
	case listValue:
		head.elements = number
	case mapValue:
		head.elements = 2 * number
	default:
		head.bytes += form.fixed + number
	}
	return head
}
