// Package transport carries messages between the processes of the system over TCP. Messages may be lost when a
// connection breaks or a queue is full, but a connection neither changes nor reorders them. A sender that needs a
// response must repeat its request.
//
// A Sender sends messages without waiting, to any number of peers. A Client sends requests to one peer at a time and
// waits for their responses. Serve receives the messages of both.
package transport

import (
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pumiceline/internal/socket"
)

// Time-outs and delays of connections.
const (
	dialTimeout  = 600 * time.Millisecond
	writeTimeout = 1500 * time.Millisecond
	userTimeout  = 1500 * time.Millisecond // after which unacknowledged bytes end a connection (TCP_USER_TIMEOUT)
	retryDelay   = 100 * time.Millisecond  // after a connection could not be opened or accepted
)

// writeChunkBytes is how much of a frame is written under one deadline.
const writeChunkBytes = 16 << 10

// readBufferBytes is the size of a connection's read buffer.
const readBufferBytes = 4 << 10

// dialer opens connections that break when the peer does not acknowledge sent bytes within userTimeout. This replaces
// keep-alive probes.
var dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setOptions}

// setOptions sets the options of an outgoing connection.
func setOptions(network, address string, raw syscall.RawConn) error {
	if err := socket.ReuseLocalPort(network, address, raw); err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		// If the option cannot be set, writes still have their deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// writeFrame writes a frame. It fails when the peer takes less than writeChunkBytes within writeTimeout.
func writeFrame(conn net.Conn, frame []byte) error {
	for chunk := range slices.Chunk(frame, writeChunkBytes) {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // on a closed connection, the write reports the error
		if _, err := conn.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}
