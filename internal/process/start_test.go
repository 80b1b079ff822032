package process_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// waitMessage is the log message of a process that waits for a condition to pass.
const waitMessage = "waiting for a condition to pass"

// programs are the programs that run on each machine.
var programs = []string{coordinatorProgram, proxyProgram}

// startCondition is a condition of a machine that passes while its processes start.
type startCondition struct {
	name     string
	programs []string
	// begin makes the machine have the condition, and returns what ends it.
	begin func(m *machine) (end func())
}

// heldPort returns a condition in which another process listens at a port of the machine.
func heldPort(name string, port int, program string) startCondition {
	return startCondition{name: name, programs: []string{program}, begin: func(m *machine) func() {
		holder := m.hold(port)
		return func() { holder.Close() }
	}}
}

// settingsAre returns a condition in which the settings file has another text, or is missing if there is none.
func settingsAre(name string, text func(whole string) (string, bool)) startCondition {
	return startCondition{name: name, programs: programs, begin: func(m *machine) func() {
		whole := m.settings()
		if present, ok := text(whole); ok {
			m.writeSettings(present)
		} else {
			require.NoError(m.t, os.Remove(m.settingsPath()))
		}
		return func() { m.writeSettings(whole) }
	}}
}

func startConditions() []startCondition {
	return []startCondition{
		heldPort("front port held", frontPort, proxyProgram),
		heldPort("ready port held", readyPort, proxyProgram),
		heldPort("control port held", controlPort, coordinatorProgram),
		heldPort("internal port held", internalPort, coordinatorProgram),
		settingsAre("settings missing", func(string) (string, bool) { return "", false }),
		settingsAre("settings empty", func(string) (string, bool) { return "", true }),
		settingsAre("settings half written", func(whole string) (string, bool) { return whole[:400], true }),
		settingsAre("settings without their last sections", func(whole string) (string, bool) {
			before, _, _ := strings.Cut(whole, "tolerance:")
			return before, true
		}),
		settingsAre("settings without their last line", func(whole string) (string, bool) {
			before, _, _ := strings.Cut(whole, "cloud:")
			return before, true
		}),
		stateRefuses("state folder refuses", "state"),
		stateRefuses("folder of the coordination state refuses", "state/coordination"),
	}
}

// stateRefuses returns a condition in which a folder cannot be made, as a file has its place.
func stateRefuses(name, folder string) startCondition {
	return startCondition{name: name, programs: []string{coordinatorProgram}, begin: func(m *machine) func() {
		path := filepath.Join(m.dir, folder)
		require.NoError(m.t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(m.t, os.WriteFile(path, nil, 0o600))
		return func() { require.NoError(m.t, os.Remove(path)) }
	}}
}

// A process waits for a condition that passes, says so, and serves afterwards.
func TestStart_OutlastsPassingCondition(t *testing.T) {
	for _, condition := range startConditions() {
		for _, program := range condition.programs {
			t.Run(condition.name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m := newMachine(t)
				m.writeSettings(m.settings())
				end := condition.begin(m)
				p := m.start(program)
				p.awaitLog(waitMessage)
				end()
				p.awaitListening()
				assert.Equal(t, 1, strings.Count(p.output(), waitMessage), "one line for the whole wait:\n%s", p.output())
			})
		}
	}
}

// A process whose log nobody reads serves as any other: the reader has gone, or has stopped.
func TestStart_OutlastsUnreadLog(t *testing.T) {
	outputs := map[string]func(t *testing.T) *os.File{"reader gone": pipeWithoutReader, "reader stopped": fullPipe}
	for name, output := range outputs {
		for _, program := range programs {
			t.Run(name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m := newMachine(t)
				m.writeSettings(m.settings())
				p := m.startWithOutput(program, output(t), "--log-level", "debug")
				p.awaitListening()
				require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
				assert.Equal(t, 0, p.awaitEnd())
			})
		}
	}
}

// pipeWithoutReader returns the writing end of a pipe whose reading end is closed.
func pipeWithoutReader(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, reader.Close())
	t.Cleanup(func() { writer.Close() })
	return writer
}

// pipeBytes is the smallest capacity of a pipe.
const pipeBytes = 4096

// fullPipe returns the writing end of a pipe that is full. Its descriptor blocks, as that of an inherited output does.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	var ends [2]int
	require.NoError(t, unix.Pipe2(ends[:], unix.O_CLOEXEC))
	t.Cleanup(func() { unix.Close(ends[0]) })
	_, err := unix.FcntlInt(uintptr(ends[1]), unix.F_SETPIPE_SZ, pipeBytes)
	require.NoError(t, err)
	_, err = unix.Write(ends[1], make([]byte, pipeBytes))
	require.NoError(t, err)
	writer := os.NewFile(uintptr(ends[1]), "full pipe")
	t.Cleanup(func() { writer.Close() })
	return writer
}

// hangupStarts is how many starts get a SIGHUP.
const hangupStarts = 20

// SIGHUP does not end a process, however early after its start it arrives: the platform sends it when it has changed the
// settings file. Before the runtime has its signal handlers no code of the process runs.
func TestStart_OutlastsEarlyHangup(t *testing.T) {
	for _, program := range programs {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			m := newMachine(t)
			m.writeSettings(m.settings())
			for range hangupStarts {
				p := m.start(program)
				p.await("signal handlers", p.hasSignalHandlers)
				require.NoError(t, p.command.Process.Signal(syscall.SIGHUP))
				p.awaitListening()
				require.NoError(t, p.command.Process.Kill())
				<-p.ended
			}
		})
	}
}

// hasSignalHandlers reports whether the process catches signals, as the Go runtime does from its start on.
func (p *process) hasSignalHandlers() bool {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/status")
	if err != nil {
		return false
	}
	_, caught, _ := strings.Cut(string(status), "SigCgt:\t")
	caught, _, _ = strings.Cut(caught, "\n")
	return strings.Trim(caught, "0") != ""
}

// wrongSettings are settings that no waiting makes right, and what the error names.
var wrongSettings = []struct{ name, right, wrong, fault string }{
	{"ports in falling order", "portRange: [7660", "portRange: [9660", "portRange: two ports in rising order are wanted"},
	{"port out of range", ":8140", ":98140", "98140"}, // of the proxy
	{"port out of range", ":8146\"}", ":98146\"}", "98146"},
}

// Settings that stay wrong end a process, with an error that names the fault as its last line.
func TestStart_EndsWithWrongSettings(t *testing.T) {
	for _, c := range wrongSettings {
		for _, program := range programs {
			m := newMachine(t)
			text := strings.Replace(m.settings(), c.right, c.wrong, 1)
			if usesOnlyOtherProgram(program, c.fault) {
				continue
			}
			t.Run(c.name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m.writeSettings(text)
				started := time.Now()
				p := m.start(program, "--settings-wait", "300ms")
				assert.Equal(t, 1, p.awaitEnd())
				lines := strings.Split(strings.TrimSpace(p.output()), "\n")
				last := lines[len(lines)-1]
				assert.Contains(t, last, c.fault)
				if strings.Contains(c.fault, "portRange") {
					assert.GreaterOrEqual(t, time.Since(started), 300*time.Millisecond)
					assert.Contains(t, last, m.settingsPath())
				}
			})
		}
	}
}

// usesOnlyOtherProgram reports whether a fault is in an address that the program does not serve.
func usesOnlyOtherProgram(program, fault string) bool {
	return program == coordinatorProgram && fault == "98140" || program == proxyProgram && fault == "98146"
}

// A process that waits ends in order on SIGTERM.
func TestStart_StopsWhileWaiting(t *testing.T) {
	for _, condition := range startConditions() {
		for _, program := range condition.programs {
			t.Run(condition.name+"/"+program, func(t *testing.T) {
				t.Parallel()
				m := newMachine(t)
				m.writeSettings(m.settings())
				condition.begin(m)
				p := m.start(program)
				p.awaitLog(waitMessage)
				require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
				assert.Equal(t, 0, p.awaitEnd(), p.output())
			})
		}
	}
}
