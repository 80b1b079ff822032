package soak

import (
	"context"
	"os"
	"time"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/faulttest"
)

// sampleInterval is the time between two samples of a process.
const sampleInterval = 500 * time.Millisecond

// runnerNode is the node name of the runner process, which runs the clients and the fakes.
const runnerNode = "runner"

// sampler records the memory of the fleet's processes, and the time that they waited for a processor.
type sampler struct {
	fleet      *fleet
	recorder   *recorder
	delays     map[string]processDelay // values at the previous sample, by node
	previousAt Moment                  // time of the previous sample
}

// processDelay is the total time that one process of a node has waited for a processor.
type processDelay struct {
	process *faulttest.Process // nil: the runner
	delay   time.Duration
}

func newSampler(f *fleet, r *recorder) *sampler {
	return &sampler{fleet: f, recorder: r, delays: map[string]processDelay{}, previousAt: r.now()}
}

// run samples until ctx ends.
func (s *sampler) run(ctx context.Context) {
	for ctxtime.Sleep(ctx, sampleInterval) == nil {
		s.sample()
	}
}

func (s *sampler) sample() {
	now := s.recorder.now()
	if delay, err := faulttest.RunDelay(os.Getpid()); err == nil {
		s.recordDelay(runnerNode, processDelay{delay: delay}, now)
	}
	for _, n := range s.fleet.all() {
		n.mu.Lock()
		process := n.process
		n.mu.Unlock()
		if process == nil {
			continue
		}
		if usage, err := process.Usage(); err == nil { // else it has just ended
			sample := MemorySample{Node: n.Name, At: now, ResidentBytes: usage.ResidentBytes}
			s.recorder.edit(func(h *History) { h.Memory = append(h.Memory, sample) })
		}
		if delay, err := process.RunDelay(); err == nil {
			s.recordDelay(n.Name, processDelay{process: process, delay: delay}, now)
		}
	}
	s.previousAt = now
}

// recordDelay records how long a process waited for a processor since the previous sample, or since its start.
func (s *sampler) recordDelay(node string, d processDelay, now Moment) {
	waited := d.delay
	if before := s.delays[node]; before.process == d.process {
		waited -= before.delay
	}
	s.delays[node] = d
	sample := DelaySample{Node: node, From: s.previousAt, To: now, Waited: waited}
	s.recorder.edit(func(h *History) { h.Delays = append(h.Delays, sample) })
}
