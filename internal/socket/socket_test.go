package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	conn, err := NewDialer().Dial("tcp", server.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	listener, err := net.Listen("tcp", conn.LocalAddr().String())
	require.NoError(t, err)
	listener.Close()
}
