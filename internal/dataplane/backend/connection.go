package backend

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect; after it the request has not been sent and may go to another backend.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is TCP_USER_TIMEOUT: the connection ends when bytes stay unacknowledged for this time.
	userTimeout = 2 * time.Second
	// readBuffer is the size of a connection's read buffer in bytes.
	readBuffer = 4 << 10
)

// dialer sends no TCP keep-alive probes: idle connections expire within seconds, and userTimeout covers the others.
var dialer = net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where the option is refused, the exchange still has its deadline.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// conn is a connection to one backend. It belongs to one exchange, or to the pool while it is idle.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	expires     time.Time // not used again from then on
	lastRequest string    // ID of the request that it carried last
}

func dial(ctx context.Context, address string) (*conn, error) {
	opened, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer)}, nil
}

// isAlive reports whether an idle connection has not expired, is open and has nothing unread. Bytes that came while it
// was idle belong to no request of it.
func (c *conn) isAlive() bool {
	if c.reader.Buffered() > 0 || !time.Now().Before(c.expires) {
		return false
	}
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	isAlive := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isAlive = errors.Is(err, unix.EAGAIN) // open, and nothing to read
		return true
	})
	return err == nil && isAlive
}
