package hotrestart

import (
	"bytes"
	"errors"
	"time"
)

const (
	// learnedStateFile is the file to which the serving process writes its policy's learned state while another one
	// starts.
	learnedStateFile = "learnt.json"
	// learnedStateHeader is the file's first line; it names the version of the format.
	learnedStateHeader = "pumiceline learnt 1\n"
	// learnedStateMaxAge is the maximum age of a state that is adopted. The serving process rewrites it every
	// PollInterval.
	learnedStateMaxAge = 2 * time.Second
)

// errUnknownFormat is the error for a file that does not begin with learnedStateHeader.
var errUnknownFormat = errors.New("written in the format of another version")

// Policy exports and imports the learned state of a process's policy. It is an *engine.Engine, except in tests.
type Policy interface {
	Snapshot() ([]byte, error) // nil: this policy has no learned state
	Restore(state []byte, maxAge time.Duration) error
}

// publishLearnedState writes what this process's policy has learned to the shared folder.
func (p *Process) publishLearnedState() error {
	state, err := p.hooks.Policy.Snapshot()
	if err != nil || state == nil {
		return err
	}
	return p.folder.Update(learnedStateFile, func([]byte) ([]byte, error) {
		return append([]byte(learnedStateHeader), state...), nil
	})
}

// AdoptLearnedState restores the policy from the state that the serving process has published. If there is none, the
// policy starts cold. A state that is too old or invalid is logged and ignored, so the policy starts cold too.
func (p *Process) AdoptLearnedState() {
	if p.presence == nil {
		return
	}
	content, err := p.folder.Read(learnedStateFile)
	if err == nil && content == nil {
		return
	}
	if err == nil {
		err = p.adopt(content)
	}
	if err != nil {
		p.log.Info("cold start: learned state not adopted", "reason", err)
		return
	}
	p.log.Info("warm start: learned state adopted")
}

// adopt restores the policy from the content of learnedStateFile.
func (p *Process) adopt(content []byte) error {
	state, ok := bytes.CutPrefix(content, []byte(learnedStateHeader))
	if !ok {
		return errUnknownFormat
	}
	return p.hooks.Policy.Restore(state, learnedStateMaxAge)
}
