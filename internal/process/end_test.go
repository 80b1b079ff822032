package process_test

import (
	"encoding/json"
	"os"
	"path/filepath"
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
				p.awaitRecorded()
				assert.Nil(t, p.processStatus().PreviousEnd)
				require.NoError(t, p.command.Process.Signal(c.signal))
				assert.Equal(t, c.exitCode, p.awaitEnd())
				lines := strings.Split(strings.TrimSpace(p.output()), "\n")
				assert.Contains(t, lines[len(lines)-1], c.lastLine)

				next := m.start(program)
				next.awaitListening()
				previous := next.previousEnd()
				assert.Contains(t, previous.Reason, c.previous)
				assert.Equal(t, c.signal != syscall.SIGTERM, previous.EndedAt.IsZero())
				if t.Failed() {
					t.Logf("log of the process that ended:\n%s", p.output())
				}
			})
		}
	}
}

// recordPath returns the path of the end record of a program.
func (m *machine) recordPath(program string) string {
	return filepath.Join(m.stateDir(), program+".process.json")
}

// awaitRecorded waits until the process listens and has recorded its start, which it does in the background.
func (p *process) awaitRecorded() {
	p.t.Helper()
	p.awaitListening()
	startedAt := p.processStatus().StartedAt
	path := p.machine.recordPath(p.program)
	p.await("record of the start", func() bool {
		var record lifecycle.End
		text, _ := os.ReadFile(path) // no file, no record
		_, err := os.Stat(path + ".crash")
		return err == nil && json.Unmarshal(text, &record) == nil && record.StartedAt.Equal(startedAt)
	})
}

// previousEnd returns the end of the process before, once the status has it.
func (p *process) previousEnd() lifecycle.End {
	p.t.Helper()
	p.await("previous end", func() bool { return p.processStatus().PreviousEnd != nil })
	return *p.processStatus().PreviousEnd
}

// damagedRecords are what may be left at the place of an end record.
var damagedRecords = map[string]func(t *testing.T, path string){
	"empty":     func(t *testing.T, path string) { require.NoError(t, os.WriteFile(path, nil, 0o600)) },
	"cut":       func(t *testing.T, path string) { require.NoError(t, os.Truncate(path, 20)) },
	"too large": func(t *testing.T, path string) { require.NoError(t, os.Truncate(path, 1<<30)) },
	"folder": func(t *testing.T, path string) {
		require.NoError(t, os.Remove(path))
		require.NoError(t, os.Mkdir(path, 0o700))
	},
}

// A record that cannot be read ends no process, and the status says that the reason is lost.
func TestEnd_RecordIsDamaged(t *testing.T) {
	for name, damage := range damagedRecords {
		for _, program := range programs {
			t.Run(name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m := newMachine(t)
				m.writeSettings(m.settings())
				p := m.start(program)
				p.awaitRecorded()
				p.kill()
				damage(t, m.recordPath(program))
				next := m.start(program)
				next.awaitListening()
				assert.Contains(t, next.previousEnd().Reason, "not readable")
			})
		}
	}
}

// A process whose disk is full leaves the record of its start, so its end is told as one that is not recorded.
func TestEnd_DiskIsFull(t *testing.T) {
	for _, program := range programs {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			m := newMachine(t)
			m.writeSettings(m.settings())
			p := m.start(program)
			p.awaitRecorded()
			p.limitFiles(0)
			require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
			assert.Equal(t, 0, p.awaitEnd())
			next := m.start(program)
			next.awaitListening()
			assert.Contains(t, next.previousEnd().Reason, "no end is recorded")
		})
	}
}

// A process that ends after its successor has started leaves the successor's record as it is.
func TestEnd_SuccessorHasStarted(t *testing.T) {
	for _, program := range programs {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			m := newMachine(t)
			m.writeSettings(m.settings())
			p := m.start(program)
			p.awaitRecorded()
			successor := m.start(program)
			successor.awaitLog(waitMessage)
			require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
			assert.Equal(t, 0, p.awaitEnd())
			successor.awaitRecorded()
			startedAt := successor.processStatus().StartedAt
			successor.kill()
			next := m.start(program)
			next.awaitListening()
			assert.WithinDuration(t, startedAt, next.previousEnd().StartedAt, 0)
			assert.Contains(t, next.previousEnd().Reason, "no end is recorded")
		})
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
