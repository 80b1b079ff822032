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

// endWithin is how long a process may take to end after it was told to.
const endWithin = 8 * time.Second

// process is a real process of the system.
type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// launch starts a program of the folder with a settings file.
func launch(folder, program, settings string, log io.Writer) (*process, error) {
	command := exec.Command(filepath.Join(folder, program))
	command.Env = append(os.Environ(), bootstrap.EnvironmentVariable+"="+settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "starting %s", program)
	}
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait() // how it ended is seen by what the system does
		close(p.ended)
	}()
	return p, nil
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.command.Process.Kill() // it may have ended by itself
	<-p.ended
}

// stop tells the process to end in order.
func (p *process) stop() {
	_ = p.command.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-p.ended:
	case <-time.After(endWithin):
		p.kill()
	}
}
