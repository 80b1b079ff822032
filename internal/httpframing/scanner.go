// Package httpframing observes how the messages on an HTTP/1.1 connection are delimited (RFC 9112, section 6). net/http
// removes a Content-Length beside a Transfer-Encoding, and the second of two equal Content-Lengths, without an error,
// so its users cannot detect either. The sender of such a message may place the end of the message elsewhere than
// net/http does, and so hide another message in it (request smuggling).
package httpframing

import "bytes"

// Scanner reads the bytes of one direction of a connection and finds the message heads in them. It splits lines and
// skips bodies by their length as net/http does. Bytes that net/http rejects end the connection, so it does not matter
// how the Scanner reads them. It does not decode a Transfer-Encoding: it ignores all bytes after the first head that
// has one. The zero value is ready to use.
type Scanner struct {
	Heads int32 // complete heads so far
	// TransferEncodingHead is the number of the head with a Transfer-Encoding, from 1; 0: none so far.
	TransferEncodingHead int32
	HasLengthAndEncoding bool // the head of TransferEncodingHead also has a Content-Length
	// AmbiguousHead is the number of the first head that delimits its message ambiguously, from 1; 0: none so far.
	AmbiguousHead int32

	inHead        bool   // a head has begun and not yet ended
	name          []byte // the current line up to its colon
	nameComplete  bool   // the colon was read, or the name is longer than those of interest
	field         field  // the field of the current line
	contentLength int64  // of the current head
	lengthFields  int    // Content-Length fields of the current head
	hasEncoding   bool   // the current head has a Transfer-Encoding
	bodyRemaining int64  // bytes of the current body that are not read yet
}

// field classifies header fields by their role in framing.
type field uint8

const (
	otherField field = iota
	contentLengthField
	transferEncodingField
)

var (
	contentLengthName    = []byte("content-length")
	transferEncodingName = []byte("transfer-encoding")
)

const (
	// maxNameLength is the length of the longest field name that matters for framing.
	maxNameLength = len("transfer-encoding")
	// maxContentLength is the length from which further digits are ignored, well below an overflow of int64.
	maxContentLength = 1 << 40
)

// AtMessageBoundary reports whether the bytes read so far end at the end of a message. After a head with a
// Transfer-Encoding it is always false.
func (s *Scanner) AtMessageBoundary() bool {
	return !s.inHead && s.bodyRemaining == 0 && s.TransferEncodingHead == 0
}

// Scan reads the next bytes.
func (s *Scanner) Scan(b []byte) {
	for len(b) > 0 && s.TransferEncodingHead == 0 {
		if s.bodyRemaining > 0 {
			n := min(s.bodyRemaining, int64(len(b)))
			s.bodyRemaining -= n
			b = b[n:]
			continue
		}
		if s.nameComplete && s.field == otherField { // the rest of the line does not matter for framing
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				return
			}
			b = b[i:]
		}
		s.scanHeadByte(b[0])
		b = b[1:]
	}
}

// scanHeadByte reads the next byte of a head.
func (s *Scanner) scanHeadByte(x byte) {
	s.inHead = true
	switch {
	case x == '\n':
		s.endLine()
	case s.field == contentLengthField && x >= '0' && x <= '9' && s.contentLength < maxContentLength:
		s.contentLength = s.contentLength*10 + int64(x-'0')
	case s.nameComplete || x == '\r':
	case x == ':':
		s.endName()
	case len(s.name) > maxNameLength:
		s.nameComplete = true
	default:
		s.name = append(s.name, x)
	}
}

// endName handles the end of a header field's name.
func (s *Scanner) endName() {
	s.nameComplete = true
	switch {
	case bytes.EqualFold(s.name, contentLengthName):
		s.field, s.contentLength = contentLengthField, 0
		s.lengthFields++
	case bytes.EqualFold(s.name, transferEncodingName):
		s.field, s.hasEncoding = transferEncodingField, true
	}
}

// endLine handles the end of a line. An empty line ends the head.
func (s *Scanner) endLine() {
	isEmpty := len(s.name) == 0 && !s.nameComplete
	s.name, s.nameComplete, s.field = s.name[:0], false, otherField
	if isEmpty {
		s.endHead()
	}
}

// endHead handles the end of a head. The message's body follows.
func (s *Scanner) endHead() {
	s.inHead = false
	s.Heads++
	if s.hasEncoding {
		s.TransferEncodingHead, s.HasLengthAndEncoding = s.Heads, s.lengthFields > 0
	}
	if s.AmbiguousHead == 0 && (s.lengthFields > 1 || s.hasEncoding && s.lengthFields > 0) {
		s.AmbiguousHead = s.Heads
	}
	s.bodyRemaining, s.contentLength, s.lengthFields = s.contentLength, 0, 0
}
