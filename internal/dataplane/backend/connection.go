package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"pumiceline/internal/socket"
)

const (
	// MaxDialTimeout is the largest bound on the time to connect that a pool should have. When the bound expires, the
	// request has not been sent and may go to another backend.
	MaxDialTimeout = 700 * time.Millisecond
	// userTimeout is TCP_USER_TIMEOUT: the kernel closes the connection when sent bytes stay unacknowledged for this
	// time.
	userTimeout = 2 * time.Second
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
	// maxHeadBytes bounds the head of a response, up to readBuffer more.
	maxHeadBytes = 256 << 10
)

// newDialer makes a dialer that sends no TCP keep-alive probes. They are not needed: idle connections expire within
// seconds, and userTimeout covers connections with unacknowledged bytes.
func newDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setOptions}
}

// setOptions sets the options of an outgoing connection.
func setOptions(network, address string, raw syscall.RawConn) error {
	if err := socket.ReuseLocalPort(network, address, raw); err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		// If the kernel rejects the option, the deadline of the exchange still bounds the wait.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// conn is a connection to one backend. One exchange owns it, or the pool while it is idle.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	headBytes   *headLimit
	expires     time.Time // while idle: not used again from this time on
	lastRequest string    // ID of the last request that was sent on it
}

func dial(ctx context.Context, dialer *net.Dialer, address string) (*conn, error) {
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	limit := &headLimit{reader: opened}
	return &conn{Conn: opened, headBytes: limit, reader: bufio.NewReaderSize(limit, readBuffer)}, nil
}

// errHeadTooLarge is the error for a response whose head is over maxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response is too large")

// headLimit bounds the bytes that are read from a connection while the head of a response is read: the parser has no
// bound of its own.
type headLimit struct {
	reader io.Reader
	isHead bool
	left   int
}

func (l *headLimit) begin() { l.isHead, l.left = true, maxHeadBytes }
func (l *headLimit) end()   { l.isHead = false }

// Read reads from the connection.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.isHead && l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.reader.Read(p)
	l.left -= n
	return n, err
}

// isReusable reports whether an idle connection has not expired, is open, and has no unread bytes. Bytes that arrived
// while it was idle answer none of its requests, and could be taken for the response to the next one.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expires) {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	isOpen := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpen = errors.Is(err, unix.EAGAIN) // open, and nothing to read
		return true
	})
	return err == nil && isOpen
}
