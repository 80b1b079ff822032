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

// stopTimeout is how long a process may take to end in order before it is killed.
const stopTimeout = 8 * time.Second

// process is a process of one of the system's programs.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// startProcess starts a program with a settings file.
func startProcess(program, settings string, log io.Writer) (*process, error) {
	command := exec.Command(program)
	command.Env = append(os.Environ(), bootstrap.EnvironmentVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", filepath.Base(program))
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // the result shows what the system did; how a process ended does not matter
		close(p.ended)
	}()
	return p, nil
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.ended
}

// stop has the process end in order, and kills it if it does not.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-p.ended:
	case <-time.After(stopTimeout):
		p.kill()
	}
}
