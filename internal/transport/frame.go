package transport

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"

	"pumiceline/internal/message"
)

// A frame is the length of the encoded message as a big-endian number of four bytes, followed by the message.
const (
	lengthBytes       = 4
	initialFrameBytes = 256 // most messages fit
	maxFrameBytes     = 16 << 20
	firstBodyBytes    = 64 << 10 // allocated before the first byte of a message has arrived
)

// ErrFrameTooLarge is returned by Decode for a frame over 16 MiB. The body of the frame is left unread, so nothing more
// can be decoded from the connection.
var ErrFrameTooLarge = errors.New("over the size limit")

// Encode returns the frame of a message.
func Encode(m *message.Message) ([]byte, error) {
	frame := make([]byte, lengthBytes, initialFrameBytes)
	frame, err := m.MarshalMsg(frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode a message")
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	return frame, nil
}

// Decode reads one frame. The error is io.EOF if the stream ends before a frame, and io.ErrUnexpectedEOF or io.EOF if
// it ends within one.
func Decode(reader io.Reader) (*message.Message, error) {
	size, err := readLength(reader)
	if err != nil {
		return nil, err
	}
	return decodeBody(reader, size)
}

// readLength reads the length of a frame's message.
func readLength(reader io.Reader) (int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrameBytes {
		return 0, errors.Wrapf(ErrFrameTooLarge, "a frame of %d bytes", size)
	}
	return int(size), nil
}

// decodeBody reads and decodes a message of size bytes.
func decodeBody(reader io.Reader, size int) (*message.Message, error) {
	body, err := readBody(reader, size)
	if err != nil {
		return nil, err
	}
	m := &message.Message{EncodedBytes: size}
	if err := message.Decode(m, body); err != nil {
		return nil, errors.Wrap(err, "decode a message")
	}
	return m, nil
}

// readBody reads size bytes. It allocates memory as the bytes arrive: the length of a frame alone takes none.
func readBody(reader io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, firstBodyBytes))
	for read := 0; ; {
		n, err := io.ReadFull(reader, body[read:])
		read += n
		if err != nil {
			return nil, err
		}
		if read == size {
			return body, nil
		}
		body = append(body, make([]byte, min(size-read, read))...)
	}
}
