// Package httpframing watches how the messages on an HTTP/1.1 connection are delimited. net/http drops a Content-Length that
// stands beside a Transfer-Encoding, and the second of two like lengths, without a word, so that nobody behind it can
// tell; but whoever wrote such a message may mean its end to be elsewhere, and have hidden another message in it.
package httpframing

import "bytes"

// Scanner follows the bytes of one direction of a connection from head to head. It goes by lines and lengths as net/http
// does; what net/http would not take ends the connection there, so that it does not matter what is made of it here.
// Behind the first head with a Transfer-Encoding it is lost.
type Scanner struct {
	Heads                int32 // whole heads seen
	TransferEncodingHead int32 // the number of the head with a Transfer-Encoding, from 1; 0: none yet
	HasLengthAndEncoding bool  // which has a Content-Length too
	AmbiguousHead        int32 // the number of the first head whose message's end can be read in two ways; 0: none yet

	inHead        bool // bytes of a head have come, and not its end
	name          []byte
	nameComplete  bool // the line's name is complete
	field         byte // which one it is: 'l' a length, 'c' a coding
	contentLength int64
	lengthFields  int
	hasEncoding   bool
	bodyRemaining int64 // bytes of the body to come
}

// AtMessageBoundary says whether the bytes so far end with the end of a message.
func (f *Scanner) AtMessageBoundary() bool {
	return !f.inHead && f.bodyRemaining == 0 && f.TransferEncodingHead == 0
}

const longestFieldName = len("transfer-encoding")

// Scan takes in the next bytes.
func (f *Scanner) Scan(b []byte) {
	for len(b) > 0 && f.TransferEncodingHead == 0 {
		if f.bodyRemaining > 0 {
			n := min(f.bodyRemaining, int64(len(b)))
			f.bodyRemaining -= n
			b = b[n:]
			continue
		}
		if f.nameComplete && f.field == 0 { // nothing in the rest of the line counts
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				return
			}
			b = b[i:]
		}
		x := b[0]
		b = b[1:]
		f.inHead = true
		switch {
		case x == '\n':
			f.endLine()
		case f.field == 'l' && x >= '0' && x <= '9' && f.contentLength < 1<<40:
			f.contentLength = f.contentLength*10 + int64(x-'0')
		case f.nameComplete || x == '\r':
		case x == ':':
			f.nameComplete = true
			switch {
			case bytes.EqualFold(f.name, []byte("content-length")):
				f.field, f.contentLength = 'l', 0
				f.lengthFields++
			case bytes.EqualFold(f.name, []byte("transfer-encoding")):
				f.field, f.hasEncoding = 'c', true
			}
		case len(f.name) > longestFieldName:
			f.nameComplete = true // no name that counts is as long
		default:
			f.name = append(f.name, x)
		}
	}
}

// endLine ends a line, and with an empty one the head.
func (f *Scanner) endLine() {
	empty := len(f.name) == 0 && !f.nameComplete
	f.name, f.nameComplete, f.field = f.name[:0], false, 0
	if !empty {
		return
	}
	f.inHead = false
	f.Heads++
	if f.hasEncoding {
		f.TransferEncodingHead, f.HasLengthAndEncoding = f.Heads, f.lengthFields > 0
	}
	if f.AmbiguousHead == 0 && (f.lengthFields > 1 || f.hasEncoding && f.lengthFields > 0) {
		f.AmbiguousHead = f.Heads
	}
	f.bodyRemaining, f.contentLength, f.lengthFields = f.contentLength, 0, 0
}
