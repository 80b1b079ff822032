package faulttest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a process that the stage has started. Signals go to it alone, by its id.
type Process struct {
	name  string
	stage *Stage
	cmd   *exec.Cmd
	log   output
	ended chan struct{}
	err   error // once ended is closed
}

// output is what a process says, with a bound: the latest is kept.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
	lost int
}

// mostOutput is how much of a process's output is kept.
const mostOutput = 4 << 20

// Write implements io.Writer. It never fails: a process must not stand still for it.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.text.Len()+len(b) > mostOutput {
		o.lost += o.text.Len() / 2
		o.text.Next(o.text.Len() / 2)
	}
	o.text.Write(b[max(0, len(b)-mostOutput/2):])
	return len(b), nil
}

// Start starts cmd, whose output the stage takes. The name is the history's.
func (s *Stage) Start(name string, cmd *exec.Cmd) (*Process, error) {
	p := &Process{name: name, stage: s, cmd: cmd, ended: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = &p.log, &p.log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("stage: %s: %w", name, err)
	}
	s.Say(name, "starts, process %d", cmd.Process.Pid)
	go func() {
		p.err = cmd.Wait()
		why := ""
		if cmd.ProcessState.ExitCode() > 0 { // by itself, and not in order: what it said last tells why
			lines := strings.Split(strings.TrimSpace(p.Log()), "\n")
			why = ": " + lines[len(lines)-1]
		}
		s.Say(name, "has ended: %v%s", cmd.ProcessState, why)
		close(p.ended)
	}()
	if !s.owe(p.Kill) {
		p.Kill()
		return nil, fmt.Errorf("stage: %s: the stage is closed", name)
	}
	return p, nil
}

// Log is what the process has said, in its last 2 to 4 MB.
func (p *Process) Log() string {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	if p.log.lost > 0 {
		return fmt.Sprintf("(%d bytes before)\n%s", p.log.lost, p.log.text.String())
	}
	return p.log.text.String()
}

// Freeze stops the process in the middle of whatever it does, Thaw lets it go on, Stop asks it to end, Hangup sends SIGHUP.
func (p *Process) Freeze() error { return p.signal("is frozen", syscall.SIGSTOP) }
func (p *Process) Thaw() error   { return p.signal("is thawed", syscall.SIGCONT) }
func (p *Process) Stop() error   { return p.signal("is told to stop", syscall.SIGTERM) }
func (p *Process) Hangup() error { return p.signal("is sent SIGHUP", syscall.SIGHUP) }

// Fill has no file of the process grow or be written behind its first page, as on a disk that is full; the process's limits are its own.
func (p *Process) Fill() error {
	p.stage.Say(p.name, "finds its disk full")
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: 4096, Max: unix.RLIM_INFINITY}, nil); err != nil {
		return fmt.Errorf("stage: %s: %w", p.name, err)
	}
	return nil
}

func (p *Process) signal(what string, sig syscall.Signal) error {
	p.stage.Say(p.name, "%s", what)
	if err := p.cmd.Process.Signal(sig); err != nil {
		return fmt.Errorf("stage: %s %s: %w", p.name, what, err)
	}
	return nil
}

// Kill ends the process, if it has not ended, and waits for that.
func (p *Process) Kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	if err := p.signal("is killed", syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.stage.Say(p.name, "%v", err)
	}
	<-p.ended
}

// Wait waits for the process's end until by, and returns how it ended.
func (p *Process) Wait(by time.Time) error {
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("stage: %s: %w", p.name, p.err)
		}
		return nil
	case <-late.C:
		return fmt.Errorf("stage: %s has not ended; its log:\n%s", p.name, p.Log())
	}
}

// Usage is what the process holds in memory, in bytes, and what it has used of processors so far, as the kernel tells.
func (p *Process) Usage() (resident int64, cpu time.Duration, err error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	memory, err := os.ReadFile(dir + "statm")
	if err != nil {
		return 0, 0, fmt.Errorf("stage: %s: %w", p.name, err)
	}
	times, err := os.ReadFile(dir + "stat")
	if err != nil {
		return 0, 0, fmt.Errorf("stage: %s: %w", p.name, err)
	}
	var pages, user, system int64
	_, inner, _ := bytes.Cut(times, []byte(") ")) // behind the name, which may hold anything
	fields := bytes.Fields(inner)
	if len(fields) < 13 {
		return 0, 0, fmt.Errorf("stage: %s: its times can't be read: %s", p.name, times)
	}
	if _, err := fmt.Sscan(string(memory), new(int64), &pages); err != nil {
		return 0, 0, fmt.Errorf("stage: %s: %w", p.name, err)
	}
	if _, err := fmt.Sscan(string(fields[11])+" "+string(fields[12]), &user, &system); err != nil {
		return 0, 0, fmt.Errorf("stage: %s: %w", p.name, err)
	}
	const tick = 10 * time.Millisecond // USER_HZ is 100 to every program
	return pages * int64(os.Getpagesize()), time.Duration(user+system) * tick, nil
}
