package demo

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/bootstrap"
)

// stopTimeout is the time between SIGTERM and SIGKILL.
const stopTimeout = 8 * time.Second

// process is a running process of a system program.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a program with a settings file. Its output goes to log.
func startProcess(program, settings string, log io.Writer) (*process, error) {
	command := exec.Command(program)
	command.Env = append(os.Environ(), bootstrap.EnvironmentVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", filepath.Base(program))
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // the exit status is not checked: Result judges the system by requests and changes
		close(p.ended)
	}()
	return p, nil
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // fails if the process has already ended
	<-p.ended
}

// stop sends SIGTERM to the process, waits for its end, and kills it after stopTimeout.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // fails if the process has already ended
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
}
