package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// IsOpenAndEmpty must not wait for the goroutine that reads from the connection. A proxy checks all its sockets in
// turn, so waiting at an idle one would delay the checks of the others.
func TestIsOpenAndEmpty_DoesNotWaitForReader(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond) // the goroutine is most likely in Read by then; if not, the test passes anyway
	if !IsOpenAndEmpty(c) {
		t.Error("IsOpenAndEmpty is false for an open connection with nothing to read")
	}
	c.Close()
	<-read
}

// A connection that the kernel gave a port of the machine does not keep another process from listening there.
func TestReuseLocalPort_LetsOthersListen(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	conn, err := dialFromOwnAddress(NewDialer(), server.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	listener, err := net.Listen("tcp", conn.LocalAddr().String())
	require.NoError(t, err)
	listener.Close()
}

// dialFromOwnAddress dials from an address of loopback that no other process uses, with a port that the kernel chooses
// when it connects. On 127.0.0.1 a connection of another process may have the same local port to another server.
func dialFromOwnAddress(dialer *net.Dialer, server string) (net.Conn, error) {
	const firstNet, nets = 130, 60 // second byte of the address; other tests use lower ones, and from 200 on
	pid := os.Getpid()
	dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, byte(firstNet+pid%nets), byte(pid>>8), 1)}
	reuse := dialer.Control
	dialer.Control = func(network, address string, raw syscall.RawConn) error {
		var optionErr error
		if err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
		}); err != nil || optionErr != nil || reuse == nil {
			return errors.Join(err, optionErr)
		}
		return reuse(network, address, raw)
	}
	return dialer.Dial("tcp", server)
}
