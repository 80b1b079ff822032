package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"golang.org/x/sync/semaphore"

	"pumiceline/internal/message"
)

const (
	// maxReceivedBytes bounds the frames that all connections of a receiver are receiving, so that many unfinished frames
	// do not take the memory of the machine. It has room for two of the largest.
	maxReceivedBytes = 2 * maxFrameBytes
	// freeFrameBytes is the size up to which a frame needs no room: a connection's read buffer has it.
	freeFrameBytes = readBufferBytes
	// maxFrameTime bounds the time that a frame takes to arrive once it has room, so that room is not taken for good.
	maxFrameTime = 10 * time.Second
)

// receiver reads messages from any number of connections, with a bound on their unfinished frames. It is safe for
// concurrent use.
type receiver struct{ room *semaphore.Weighted }

func newReceiver() *receiver { return &receiver{room: semaphore.NewWeighted(maxReceivedBytes)} }

// receive handles the messages of a connection, one at a time, until it breaks. A frame has its room until its message is
// handled.
func (r *receiver) receive(conn net.Conn, handle func(*message.Message)) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	for {
		size, err := readLength(reader)
		if err != nil {
			return
		}
		if err := r.receiveBody(conn, reader, size, handle); err != nil {
			return
		}
	}
}

// receiveBody reads and handles a message of size bytes. While there is no room for it, the connection waits.
func (r *receiver) receiveBody(conn net.Conn, reader *bufio.Reader, size int, handle func(*message.Message)) error {
	isLarge := size > freeFrameBytes
	if isLarge {
		if err := r.room.Acquire(context.Background(), int64(size)); err != nil {
			return err
		}
		defer r.room.Release(int64(size))
		_ = conn.SetReadDeadline(time.Now().Add(maxFrameTime)) // on a closed connection, the read reports the error
	}
	m, err := decodeBody(reader, size)
	if err != nil {
		return err
	}
	if isLarge {
		_ = conn.SetReadDeadline(time.Time{})
	}
	handle(m)
	return nil
}
