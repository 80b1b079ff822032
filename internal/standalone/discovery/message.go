package discovery

import (
	"bufio"
	"errors"
	"io"
)

// maxMessageBytes is the longest message of a watch that is read.
const maxMessageBytes = 8 << 20

var errMessageTooLong = errors.New("a message is too long")

// messageReader takes a watch's stream apart: JSON objects, each on a line or, where lists come indented, on many, and empty lines
// between them that say that the watch lives. A json.Decoder would not tell of these.
type messageReader struct {
	br    *bufio.Reader
	text  []byte
	ended bool // a message has just ended, and what is left of its line is no empty line
}

func newMessageReader(r io.Reader) *messageReader { return &messageReader{br: bufio.NewReader(r)} }

// next returns the next message, which is valid until the next call, or nothing for an empty line. What is no JSON object comes
// as its line, for whoever reads it to complain of.
func (m *messageReader) next() ([]byte, error) {
	m.text = m.text[:0]
	depth, quoted, escaped := 0, false, false
	for {
		b, err := m.br.ReadByte()
		switch {
		case err == io.EOF && len(m.text) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case len(m.text) == 0 && b == '\n':
			if !m.ended {
				return nil, nil
			}
			m.ended = false
			continue
		case len(m.text) == 0 && (b == ' ' || b == '\t' || b == '\r'):
			continue
		case len(m.text) == maxMessageBytes:
			return nil, errMessageTooLong
		}
		m.text, m.ended = append(m.text, b), false
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
			m.ended = depth <= 0
		}
		if m.ended || depth == 0 && b == '\n' {
			return m.text, nil
		}
	}
}
