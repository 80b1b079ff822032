package faulttest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a process that the harness has started. Signals go to it alone, by its process ID.
type Process struct {
	name    string
	harness *Harness
	cmd     *exec.Cmd
	output  outputBuffer
	ended   chan struct{}
	err     error // of cmd.Wait; to be read once ended is closed
}

// StartProcess starts cmd and captures its output. The history shows the process under the name.
func (h *Harness) StartProcess(name string, cmd *exec.Cmd) (*Process, error) {
	p := &Process{name: name, harness: h, cmd: cmd, ended: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = &p.output, &p.output
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	h.Record(name, "starts, process %d", cmd.Process.Pid)
	go p.awaitEnd() // Kill, which Close calls, waits for it
	if !h.addCleanup(p.Kill) {
		p.Kill()
		return nil, fmt.Errorf("start %s: %w", name, ErrClosed)
	}
	return p, nil
}

// awaitEnd records how the process ended, with the last line of its output if the exit status is not 0.
func (p *Process) awaitEnd() {
	p.err = p.cmd.Wait()
	reason := ""
	if p.cmd.ProcessState.ExitCode() > 0 {
		lines := strings.Split(strings.TrimSpace(p.Log()), "\n")
		reason = ": " + lines[len(lines)-1]
	}
	p.harness.Record(p.name, "has ended: %v%s", p.cmd.ProcessState, reason)
	close(p.ended)
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitState returns how the process ended; the error is nil for exit status 0. It must be called after Ended is closed.
func (p *Process) ExitState() (state string, err error) { return p.cmd.ProcessState.String(), p.err }

// Log returns the latest 2 to 4 MiB of the process's output, or all if it is less.
func (p *Process) Log() string { return p.output.String() }

// Freeze suspends the process at an arbitrary point (SIGSTOP).
func (p *Process) Freeze() error { return p.signal("is frozen", syscall.SIGSTOP) }

// Thaw resumes a frozen process (SIGCONT).
func (p *Process) Thaw() error { return p.signal("is thawed", syscall.SIGCONT) }

// Stop asks the process to end (SIGTERM).
func (p *Process) Stop() error { return p.signal("is told to stop", syscall.SIGTERM) }

// Hangup sends the process SIGHUP.
func (p *Process) Hangup() error { return p.signal("is sent SIGHUP", syscall.SIGHUP) }

// signalHandlerPoll is how often AwaitSignalHandlers looks.
const signalHandlerPoll = time.Millisecond

// CatchesSignals reports whether the process has handlers for signals. The runtime of a Go program has them before any of
// its code runs.
func (p *Process) CatchesSignals() bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return false
	}
	_, caught, _ := strings.Cut(string(status), "SigCgt:\t")
	caught, _, _ = strings.Cut(caught, "\n")
	return strings.Trim(caught, "0") != ""
}

// AwaitSignalHandlers waits until the process has handlers for signals. It returns false if the process ends before.
func (p *Process) AwaitSignalHandlers() bool {
	for !p.CatchesSignals() {
		select {
		case <-p.ended:
			return false
		case <-time.After(signalHandlerPoll):
		}
	}
	return true
}

// fullDiskFileBytes is the size up to which a process may write files after FillDisk.
const fullDiskFileBytes = 4096

// FillDisk makes writes of the process fail as on a full disk: no file may grow beyond fullDiskFileBytes. The limit
// (RLIMIT_FSIZE) applies to this process only.
func (p *Process) FillDisk() error {
	return p.limitFiles("finds its disk full", fullDiskFileBytes)
}

// RefuseWrites makes each write of the process to a file fail, until AcceptWrites.
func (p *Process) RefuseWrites() error { return p.limitFiles("may not write files", 0) }

// AcceptWrites ends what RefuseWrites or FillDisk began.
func (p *Process) AcceptWrites() error {
	return p.limitFiles("may write files again", unix.RLIM_INFINITY)
}

// limitFiles sets the size beyond which the process may not write a file, in bytes. The error is os.ErrProcessDone if
// the process has ended.
func (p *Process) limitFiles(event string, bytes uint64) error {
	p.harness.Record(p.name, "%s", event)
	limit := &unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, limit, nil)
	if errors.Is(err, unix.ESRCH) {
		err = os.ErrProcessDone
	}
	if err != nil {
		return fmt.Errorf("limit file size of %s: %w", p.name, err)
	}
	return nil
}

func (p *Process) signal(event string, sig syscall.Signal) error {
	p.harness.Record(p.name, "%s", event)
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("%s %s: %w", p.name, event, err)
	}
	return nil
}

// Kill kills the process, if it has not ended, and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	if err := p.signal("is killed", syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.harness.Record(p.name, "%v", err)
	}
	<-p.ended
}

// Wait waits until the process ends, or until a deadline. It returns nil if the process ended with exit status 0 in
// time.
func (p *Process) Wait(deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("%s: %w", p.name, p.err)
		}
		return nil
	case <-timer.C:
		return fmt.Errorf("%s has not ended; its log:\n%s", p.name, p.Log())
	}
}

// Usage is the resource usage of a process, as the kernel counts it.
type Usage struct {
	ResidentBytes int64
	CPU           time.Duration // since its start, user and system
}

// userTick is the unit of times in /proc: USER_HZ is 100 for every program.
const userTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the name, from 0; proc(5) counts them from 3.
const (
	statUserTime   = 14 - 3
	statSystemTime = 15 - 3
)

// Usage reads the resource usage of the process. It fails once the process has ended.
func (p *Process) Usage() (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	memory, err := os.ReadFile(dir + "statm")
	if err != nil {
		return Usage{}, fmt.Errorf("memory of %s: %w", p.name, err)
	}
	var total, residentPages int64
	if _, err := fmt.Sscan(string(memory), &total, &residentPages); err != nil {
		return Usage{}, fmt.Errorf("memory of %s: %w", p.name, err)
	}
	times, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, fmt.Errorf("CPU time of %s: %w", p.name, err)
	}
	_, afterName, _ := bytes.Cut(times, []byte(") ")) // the name may contain spaces
	fields := bytes.Fields(afterName)
	if len(fields) <= statSystemTime {
		return Usage{}, fmt.Errorf("CPU time of %s is not readable: %s", p.name, times)
	}
	var user, system int64 // in user ticks
	if _, err := fmt.Sscan(string(fields[statUserTime])+" "+string(fields[statSystemTime]), &user, &system); err != nil {
		return Usage{}, fmt.Errorf("CPU time of %s: %w", p.name, err)
	}
	return Usage{ResidentBytes: residentPages * int64(os.Getpagesize()), CPU: time.Duration(user+system) * userTick}, nil
}
