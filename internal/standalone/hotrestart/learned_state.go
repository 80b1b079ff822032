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
	// learnedStateMaxAge is how old the state may be to be adopted.
	learnedStateMaxAge = 2 * time.Second
)

// errForeignLearnedState is the reason why a file of another format is not adopted.
var errForeignLearnedState = errors.New("written in the format of another version")

// LearnedState is a policy whose learned state can be passed on.
type LearnedState interface {
	Snapshot() ([]byte, error) // nil: this policy has no such state
	Restore(state []byte, maxAge time.Duration) error
}

func (p *Process) publishLearnedState() error {
	state, err := p.hooks.Policy.Snapshot()
	if err != nil || state == nil {
		return err
	}
	return p.folder.Update(learnedStateFile, func([]byte) ([]byte, error) {
		return append([]byte(learnedStateHeader), state...), nil
	})
}

// AdoptLearnedState takes over what the process that has served so far has learned. Without such a state, or with one that is
// too old or invalid, the policy starts cold, which is only logged.
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

func (p *Process) adopt(content []byte) error {
	state, ok := bytes.CutPrefix(content, []byte(learnedStateHeader))
	if !ok {
		return errForeignLearnedState
	}
	return p.hooks.Policy.Restore(state, learnedStateMaxAge)
}
