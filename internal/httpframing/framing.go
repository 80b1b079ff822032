// Package httpframing watches how the messages on an HTTP/1.1 connection are delimited. net/http drops a Content-Length that
// stands beside a Transfer-Encoding, and the second of two like lengths, without a word, so that nobody behind it can
// tell; but whoever wrote such a message may mean its end to be elsewhere, and have hidden another message in it.
package httpframing

import "bytes"

// Scanner follows the bytes of one direction of a connection from head to head. It goes by lines and lengths as net/http
// does; what net/http would not take ends the connection there, so that it does not matter what is made of it here.
// Behind the first head with a Transfer-Encoding it is lost.
type Scanner struct {
	Heads int32 // whole heads seen
	Coded int32 // the number of the head with a Transfer-Encoding, from 1; 0: none yet
	Both  bool  // which has a Content-Length too
	Odd   int32 // the number of the first head whose message's end can be read in two ways; 0: none yet

	within  bool // bytes of a head have come, and not its end
	name    []byte
	named   bool // the line's name is complete
	field   byte // which one it is: 'l' a length, 'c' a coding
	value   int64
	lengths int
	coding  bool
	skip    int64 // bytes of the body to come
}

// Between says whether the bytes so far end with the end of a message.
func (f *Scanner) Between() bool { return !f.within && f.skip == 0 && f.Coded == 0 }

const longestName = len("transfer-encoding")

// Scan takes in the next bytes.
func (f *Scanner) Scan(b []byte) {
	for len(b) > 0 && f.Coded == 0 {
		if f.skip > 0 {
			n := min(f.skip, int64(len(b)))
			f.skip -= n
			b = b[n:]
			continue
		}
		if f.named && f.field == 0 { // nothing in the rest of the line counts
			i := bytes.IndexByte(b, '\n')
			if i < 0 {
				return
			}
			b = b[i:]
		}
		x := b[0]
		b = b[1:]
		f.within = true
		switch {
		case x == '\n':
			f.line()
		case f.field == 'l' && x >= '0' && x <= '9' && f.value < 1<<40:
			f.value = f.value*10 + int64(x-'0')
		case f.named || x == '\r':
		case x == ':':
			f.named = true
			switch {
			case bytes.EqualFold(f.name, []byte("content-length")):
				f.field, f.value = 'l', 0
				f.lengths++
			case bytes.EqualFold(f.name, []byte("transfer-encoding")):
				f.field, f.coding = 'c', true
			}
		case len(f.name) > longestName:
			f.named = true // no name that counts is as long
		default:
			f.name = append(f.name, x)
		}
	}
}

// line ends a line, and with an empty one the head.
func (f *Scanner) line() {
	empty := len(f.name) == 0 && !f.named
	f.name, f.named, f.field = f.name[:0], false, 0
	if !empty {
		return
	}
	f.within = false
	f.Heads++
	if f.coding {
		f.Coded, f.Both = f.Heads, f.lengths > 0
	}
	if f.Odd == 0 && (f.lengths > 1 || f.coding && f.lengths > 0) {
		f.Odd = f.Heads
	}
	f.skip, f.value, f.lengths = f.value, 0, 0
}
