package process_test

import (
	"encoding/json"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/lifecycle"
)

// processStatus is the part of a status that all programs share.
type processStatus struct {
	Process lifecycle.Status `json:"process"`
}

func (p *process) processStatus() lifecycle.Status {
	p.t.Helper()
	var status processStatus
	require.NoError(p.t, json.Unmarshal([]byte(p.status()), &status))
	return status.Process
}

// endCases are ends of a process: the signal that ends it, the exit code, and what is told of the end.
var endCases = []struct {
	name     string
	signal   syscall.Signal
	exitCode int
	lastLine string // part of the last line of the log; empty: there is none
	previous string // part of the reason in the status of the next start
}{
	{"SIGTERM", syscall.SIGTERM, 0, "terminated signal received", "terminated signal received"},
	{"SIGKILL", syscall.SIGKILL, -1, "", "no end is recorded"},
	{"crash", syscall.SIGQUIT, 2, "", "SIGQUIT"},
}

// Every end of a process leaves its reason: as the last line of the log, and in the status of the next start.
func TestEnd_LeavesItsReason(t *testing.T) {
	for _, c := range endCases {
		for _, program := range programs {
			t.Run(c.name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m := newMachine(t)
				m.writeSettings(m.settings())
				p := m.start(program)
				p.awaitListening()
				assert.Nil(t, p.processStatus().PreviousEnd)
				require.NoError(t, p.command.Process.Signal(c.signal))
				assert.Equal(t, c.exitCode, p.awaitEnd())
				lines := strings.Split(strings.TrimSpace(p.output()), "\n")
				assert.Contains(t, lines[len(lines)-1], c.lastLine)

				next := m.start(program)
				next.awaitListening()
				next.await("previous end", func() bool { return next.processStatus().PreviousEnd != nil })
				previous := next.processStatus().PreviousEnd
				assert.Contains(t, previous.Reason, c.previous)
				assert.Equal(t, c.signal != syscall.SIGTERM, previous.EndedAt.IsZero())
			})
		}
	}
}

// The status shows what a process waits for.
func TestStatus_ShowsWait(t *testing.T) {
	m := newMachine(t)
	m.writeSettings(m.settings())
	holders := map[string]int{coordinatorProgram: internalPort, proxyProgram: frontPort}
	for program, port := range holders {
		t.Run(program, func(t *testing.T) {
			holder := m.hold(port)
			p := m.start(program)
			p.awaitLog(waitMessage)
			p.await("status", func() bool { return p.status() != "" })
			waits := p.processStatus().Waits
			require.Len(t, waits, 1)
			assert.Equal(t, "listen on "+m.address(port), waits[0].Condition)
			assert.Contains(t, waits[0].Error, "address already in use")
			require.NoError(t, holder.Close())
			p.awaitListening()
			p.await("end of the wait", func() bool { return len(p.processStatus().Waits) == 0 })
		})
	}
}
