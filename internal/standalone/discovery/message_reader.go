package discovery

import (
	"bufio"
	"errors"
	"io"
)

// maxMessageBytes is the maximum size of a message of a watch.
const maxMessageBytes = 8 << 20

var errMessageTooLong = errors.New("message of the discovery watch is too long")

// messageReader splits the stream of a watch into messages. A message is a JSON object, on one line or, if it is
// indented, on several; an empty line between two messages is a heartbeat, which a json.Decoder would not report.
type messageReader struct {
	br      *bufio.Reader
	message []byte
	ended   bool // a message has just ended: the line break after it is not a heartbeat
}

func newMessageReader(r io.Reader) *messageReader { return &messageReader{br: bufio.NewReader(r)} }

// next returns the next message, which is valid until the next call, or nil for a heartbeat. A line that does not start
// a JSON object is returned unchanged, for the decoder to reject.
func (r *messageReader) next() ([]byte, error) {
	r.message = r.message[:0]
	depth, quoted, escaped := 0, false, false
	for {
		b, err := r.br.ReadByte()
		switch {
		case err == io.EOF && len(r.message) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(r.message) == 0 && b == '\n':
			if !r.ended {
				return nil, nil
			}
			r.ended = false
			continue
		case len(r.message) == 0 && (b == ' ' || b == '\t' || b == '\r'):
			continue
		case len(r.message) == maxMessageBytes:
			return nil, errMessageTooLong
		}
		r.message, r.ended = append(r.message, b), false
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped, quoted = b == '\\', b != '"'
		case b == '"':
			quoted = true
		case b == '{' || b == '[':
			depth++
		case b == '}' || b == ']':
			depth--
			r.ended = depth <= 0
		}
		if r.ended || depth == 0 && b == '\n' {
			return r.message, nil
		}
	}
}
