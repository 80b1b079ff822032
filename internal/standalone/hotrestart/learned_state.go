package hotrestart

import (
	"bytes"
	"errors"
	"time"
)

const (
	// learnedStateFile is where the process that serves writes what its policy has learned while another one starts.
	learnedStateFile = "learnt.json"
	// learnedStateHeader is the file's first line; it names the version of the format.
	learnedStateHeader = "pumiceline learnt 1\n"
	// learnedStateMaxAge is how old the state may be to be adopted. The serving process renews it every PollInterval.
	learnedStateMaxAge = 2 * time.Second
)

// errUnknownFormat is the error of a file with another header.
var errUnknownFormat = errors.New("written in the format of another version")

// Policy is the policy of a process, whose learned state another process can adopt: an *engine.Engine, except in tests.
type Policy interface {
	Snapshot() ([]byte, error) // nil: this policy has no such state
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

// AdoptLearnedState restores the policy from what the serving process has published. Without such a state, or with one that
// is too old or invalid, the policy starts cold, which is only logged.
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
