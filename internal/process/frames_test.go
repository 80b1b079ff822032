package process_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tinylib/msgp/msgp"
)

// machineMemoryMB is the memory of the machines of these tests, as their settings state it.
const machineMemoryMB = 284

// peakMemoryMB returns the largest resident memory that the process has had.
func (p *process) peakMemoryMB() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(p.t, err, "the process has ended: %s", p.output())
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int
	_, err = fmt.Sscan(peak, &kilobytes)
	require.NoError(p.t, err)
	return kilobytes >> 10
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// frame returns a frame with an encoded message.
func frame(encoded []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(encoded))), encoded...)
}

// A list whose header names more elements than the frame has bytes does not end the coordinator by lack of memory.
func TestFrame_NamesNoMemory(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(m.settings())
	p := m.start(coordinatorProgram)
	p.awaitListening()
	request := msgp.AppendMapHeader(nil, 1)
	request = msgp.AppendString(request, "pu") // a poll request
	request = msgp.AppendMapHeader(request, 1)
	request = msgp.AppendString(request, "d") // its demand
	request = msgp.AppendArrayHeader(request, 1<<32-1)
	conn := dial(t, m.address(internalPort))
	_, err := conn.Write(frame(request))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err = conn.Read(make([]byte, 1))
	assert.Error(t, err, "the coordinator closes the connection")
	p.awaitListening()
	assert.Less(t, p.peakMemoryMB(), machineMemoryMB)
}

// Sizes of unfinished frames.
const (
	unfinishedFrames   = 25
	unfinishedLength   = 16 << 20
	unfinishedSentSize = 15 << 20
)

// Connections that send large frames and do not finish them do not take more memory than the machine has.
func TestFrame_UnfinishedOnesHaveBoundedMemory(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(m.settings())
	p := m.start(coordinatorProgram)
	p.awaitListening()
	for range unfinishedFrames {
		conn := dial(t, m.address(internalPort))
		_, err := conn.Write(binary.BigEndian.AppendUint32(nil, unfinishedLength))
		require.NoError(t, err)
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
		_, _ = conn.Write(make([]byte, unfinishedSentSize)) // the coordinator may stop reading
	}
	p.awaitListening()
	assert.Less(t, p.peakMemoryMB(), machineMemoryMB)
}
