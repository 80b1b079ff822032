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
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrameBytes {
		return nil, errors.Wrapf(ErrFrameTooLarge, "a frame of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	m := &message.Message{}
	if _, err := m.UnmarshalMsg(body); err != nil {
		return nil, errors.Wrap(err, "decode a message")
	}
	return m, nil
}
