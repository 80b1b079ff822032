package process_test

import (
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pumiceline/internal/controlplane/storage"
)

// limitFiles sets the size up to which the process may write files (RLIMIT_FSIZE). A write beyond it fails, as on a full
// disk: with 0 each write does.
func (p *process) limitFiles(bytes uint64) {
	p.t.Helper()
	limit := &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	require.NoError(p.t, unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_FSIZE, limit, nil))
}

// putSecondConfiguration sends the configuration that follows the first, and returns the status code; 0: there is no
// response.
func (m *machine) putSecondConfiguration() int {
	m.t.Helper()
	document := strings.Replace(configuration, `"version":1`, `"version":2`, 1)
	request, err := http.NewRequest(http.MethodPut, "http://"+m.address(controlPort)+"/config", strings.NewReader(document))
	require.NoError(m.t, err)
	request.Header.Set("If-Match", "1")
	client := http.Client{Timeout: testTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// A disk that becomes full ends no process. The coordinator says that it waits, and serves when there is room again.
func TestDisk_BecomesFull(t *testing.T) {
	m, coordinator, proxy := startMachine(t)
	coordinator.limitFiles(0)
	proxy.limitFiles(0)
	assert.GreaterOrEqual(t, m.putSecondConfiguration(), http.StatusInternalServerError)
	coordinator.await("wait for the disk", func() bool { return strings.Contains(coordinator.status(), "a write to the state folder") })
	coordinator.limitFiles(unix.RLIM_INFINITY)
	coordinator.await("end of the wait", func() bool { return len(coordinator.processStatus().Waits) == 0 })
	coordinator.await("acknowledged configuration", func() bool { return m.putSecondConfiguration() == http.StatusOK })
	proxy.awaitListening()
}

// A process whose disk is full when it starts waits, and serves when there is room.
func TestStart_OutlastsFullDisk(t *testing.T) {
	for _, program := range programs {
		t.Run(program, func(t *testing.T) {
			t.Parallel()
			m := newMachine(t)
			m.writeSettings(m.settings())
			path := programPath(t, program)
			shell := filepath.Join(m.dir, "start")
			require.NoError(t, os.WriteFile(shell, []byte("#!/bin/sh\nulimit -S -f 0\nexec "+path+"\n"), 0o700))
			p := m.startCommand(program, exec.Command(shell), nil)
			p.await("status", func() bool { return p.status() != "" })
			if program == coordinatorProgram {
				p.await("wait", func() bool { return len(p.processStatus().Waits) > 0 })
			}
			p.limitFiles(unix.RLIM_INFINITY)
			p.awaitListening()
		})
	}
}

// damagedStarts is how many starts of a coordinator find damaged files, and as many damaged records.
const damagedStarts = 20

// A coordinator that finds any bytes in its files serves, or ends with an error that names the record. It neither ends
// by a fatal error nor takes more memory than the machine has.
func TestStart_DamagedState(t *testing.T) {
	for name, damage := range map[string]func(*rand.Rand, *machine){"files": damageFiles, "records": damageRecords} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const seed = 1
			random := rand.New(rand.NewPCG(seed, 0))
			m, coordinator, proxy := startMachine(t)
			coordinator.kill()
			proxy.kill()
			whole := m.readState()
			for i := range damagedStarts {
				m.writeState(whole)
				damage(random, m)
				m.checkStart(i)
			}
		})
	}
}

// checkStart starts a coordinator, which serves or ends with an error that names a record on disk.
func (m *machine) checkStart(number int) {
	m.t.Helper()
	p := m.start(coordinatorProgram)
	p.awaitEndOr("open state", func() bool {
		status := p.status()
		return status != "" && !strings.Contains(status, "its state folder") // it waits for that until the state is open
	})
	if p.hasEnded() {
		assert.Equal(m.t, 1, p.awaitEnd(), "start %d\n%s", number, p.output())
		assert.Contains(m.t, p.output(), "on disk", "start %d", number)
		return
	}
	assert.Less(m.t, p.peakMemoryMB(), machineMemoryMB, "start %d", number)
	require.NoError(m.t, p.command.Process.Signal(syscall.SIGTERM))
	assert.Equal(m.t, 0, p.awaitEnd(), "start %d\n%s", number, p.output())
}

// kill ends the process without notice.
func (p *process) kill() {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Kill())
	<-p.ended
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// awaitEndOr waits until a condition holds or the process has ended.
func (p *process) awaitEndOr(description string, condition func() bool) {
	p.t.Helper()
	assert.Eventually(p.t, func() bool { return p.hasEnded() || condition() }, testTimeout, testPoll, description)
}

// stateFiles returns the paths of the files in the state folder.
func (m *machine) stateFiles() []string {
	m.t.Helper()
	var files []string
	require.NoError(m.t, filepath.WalkDir(m.stateDir(), func(path string, entry os.DirEntry, err error) error {
		if err == nil && entry.Type().IsRegular() {
			files = append(files, path)
		}
		return err
	}))
	return files
}

func (m *machine) readState() map[string][]byte {
	m.t.Helper()
	contents := map[string][]byte{}
	for _, path := range m.stateFiles() {
		text, err := os.ReadFile(path)
		require.NoError(m.t, err)
		contents[path] = text
	}
	return contents
}

func (m *machine) writeState(contents map[string][]byte) {
	m.t.Helper()
	for path, text := range contents {
		require.NoError(m.t, os.WriteFile(path, text, 0o600))
	}
}

// damagedFirstBytes is how much of the beginning of a file is damaged: the records of a new state are there.
const damagedFirstBytes = 4096

// damageFiles changes bytes at the beginning of each file of the state, or its length.
func damageFiles(random *rand.Rand, m *machine) {
	for _, path := range m.stateFiles() {
		text, err := os.ReadFile(path)
		require.NoError(m.t, err)
		if random.IntN(4) == 0 {
			text = text[:random.IntN(len(text)+1)]
		}
		damageBytes(random, text[:min(len(text), damagedFirstBytes)])
		require.NoError(m.t, os.WriteFile(path, text, 0o600))
	}
}

// damageRecords changes bytes of each record of the state and of the coordination state, whose checksums are right.
func damageRecords(random *rand.Rand, m *machine) {
	const highestKind = 8
	for _, dir := range []string{m.stateDir(), filepath.Join(m.stateDir(), "coordination")} {
		ring, err := storage.Open(dir)
		require.NoError(m.t, err)
		records := map[storage.Kind][]byte{}
		for kind := range storage.Kind(highestKind) {
			if record := slices.Clone(ring.Newest(kind)); record != nil {
				damageBytes(random, record)
				records[kind] = record
			}
		}
		require.NoError(m.t, ring.Write(records))
		ring.Close()
	}
}

// damageBytes changes up to a few bytes.
func damageBytes(random *rand.Rand, bytes []byte) {
	const most = 4
	for range random.IntN(most + 1) {
		if len(bytes) > 0 {
			bytes[random.IntN(len(bytes))] = byte(random.Uint32())
		}
	}
}
