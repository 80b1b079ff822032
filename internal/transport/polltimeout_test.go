package transport

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pumiceline/internal/message"
)

// pollTimeout is the time that the tests give a poll; it is far below dialTimeout and writeTimeout.
const pollTimeout = 50 * time.Millisecond

// requirePollTimesOut polls an address within pollTimeout, and requires that the poll ends in less than bound.
func requirePollTimesOut(t *testing.T, address string, request message.PollRequest, bound time.Duration) {
	t.Helper()

	began := time.Now()
	_, err := NewClient().Poll(context.Background(), address, "p", request, pollTimeout)
	require.Error(t, err)
	require.Less(t, time.Since(began), bound)
}

// A machine that is cut off answers no connection attempt. The subscriber must poll another one within its budget.
func TestClient_PollTimeoutBoundsConnecting(t *testing.T) {
	requirePollTimesOut(t, listenWithFullBacklog(t), message.PollRequest{}, dialTimeout)
}

// A process that is stopped does not read.
func TestClient_PollTimeoutBoundsWriting(t *testing.T) {
	const moreThanSocketBuffers = 32 << 20
	request := message.PollRequest{Demand: []message.ModelDemand{{Service: strings.Repeat("x", moreThanSocketBuffers)}}}
	requirePollTimesOut(t, listen(t).Addr().String(), request, writeTimeout)
}

// listenWithFullBacklog returns the address of a listener that has no place for another connection: the kernel drops
// the attempts.
func listenWithFullBacklog(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, unix.Listen(fd, 0))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: bound.(*unix.SockaddrInet4).Port}
	const attempts = 4 // the kernel has place for one more than the backlog
	for range attempts {
		conn, err := net.DialTimeout("tcp", address.String(), pollTimeout)
		if err != nil {
			return address.String()
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the backlog is not full")
	return ""
}
