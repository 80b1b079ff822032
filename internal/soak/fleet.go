package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/faulttest"
)

// Times of the fleet's supervision.
const (
	settlePoll      = 50 * time.Millisecond
	settleExtra     = 30 * time.Second       // beyond the grace time, until all processes run again
	ownEndRestart   = 500 * time.Millisecond // after a process has ended by itself
	endReasonLength = 300                    // bytes of a process's last output that its end is recorded with
)

// fleet is the processes of a run. It carries out steps and starts each process again after its end, as the platform does.
type fleet struct {
	dir      string // of settings and state
	harness  *faulttest.Harness
	recorder *recorder
	nodes    []*node // coordinators first

	mu         sync.Mutex
	isStopping bool           // no process is started again
	running    sync.WaitGroup // watchers of processes
}

// newFleet makes the nodes of a shape. None is started.
func newFleet(shape Shape, programs, dir, platform string, r *recorder) *fleet {
	f := &fleet{dir: dir, harness: faulttest.New(), recorder: r}
	var seeds []string
	for i := range shape.Coordinators {
		seeds = append(seeds, fmt.Sprintf("%s:%d", nodeIP(i), controlPort))
	}
	for i := range shape.Processes() {
		n := &node{IP: nodeIP(i), Zone: zoneOf(i), SeedNodes: seeds, PlatformAddress: platform,
			Tolerance: min(maxTolerance, (shape.Coordinators-1)/2), Bounds: r.history.Bounds}
		if i < shape.Coordinators {
			n.Name, n.role = fmt.Sprintf("coordinator-%d", i), RoleCoordinator
			n.StateDir = filepath.Join(dir, n.Name)
		} else {
			n.Name, n.role = fmt.Sprintf("proxy-%d", i-shape.Coordinators), RoleProxy
		}
		n.program = filepath.Join(programs, "pumiceline-"+string(n.role))
		f.nodes = append(f.nodes, n)
		r.history.Roles[n.Name] = n.role
	}
	return f
}

func (f *fleet) ofRole(role Role) []*node {
	var nodes []*node
	for _, n := range f.nodes {
		if n.role == role {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// startAll starts the processes of all nodes.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if _, err := os.Stat(n.program); err != nil {
			return fmt.Errorf("locate the program of %s: %w", n.Name, err)
		}
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}

// start starts a node's process and a watcher for its end. Nothing is started once the fleet is stopping.
func (f *fleet) start(n *node) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStopping {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	command, err := n.command(f.dir)
	if err != nil {
		return err
	}
	f.recorder.fault(n.Name, FaultStart)
	process, err := f.harness.StartProcess(n.Name, command)
	if err != nil {
		return err
	}
	n.process, n.hasStarted, n.isTerminated, n.isFrozen, n.restartDelay = process, true, false, false, ownEndRestart
	f.running.Go(func() { f.watch(n, process) })
	return nil
}

// watch waits for the end of a process, records it and starts the next.
func (f *fleet) watch(n *node, process *faulttest.Process) {
	<-process.Ended()
	state, err := process.ExitState()
	if err != nil {
		output := strings.TrimSpace(process.Log())
		state += "; " + output[max(0, len(output)-endReasonLength):]
	}
	f.recorder.edit(func(h *History) {
		h.Faults = append(h.Faults, Fault{Node: n.Name, Kind: FaultEnd, At: f.recorder.now(), ExitState: state, IsFailure: err != nil})
	})
	n.mu.Lock()
	n.process = nil
	delay := n.restartDelay
	n.mu.Unlock()
	if f.stopping() {
		return
	}
	time.Sleep(delay)
	if err := f.start(n); err != nil {
		f.harness.Record(n.Name, "is not started again: %v", err) // awaitSettled reports it
	}
}

func (f *fleet) stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isStopping
}

// apply carries out a step on a process. A step on a node without a process does nothing.
func (f *fleet) apply(step Step) {
	n := f.nodes[step.Node]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	switch step.Action {
	case ActionTerminate:
		n.restartDelay = step.For
		f.terminate(n)
	case ActionKill:
		n.restartDelay = step.For
		f.recorder.fault(n.Name, FaultKill)
		n.process.Kill()
		n.process = nil // so that nobody takes it for one that runs; its watcher starts the next
	case ActionHangup:
		f.signal(n, FaultHangup, n.process.Hangup)
	case ActionFreeze:
		f.freeze(n, step.For)
	}
}

// signal records a fault and sends the signal. A process that has just ended gets none.
func (f *fleet) signal(n *node, kind FaultKind, send func() error) {
	f.recorder.fault(n.Name, kind)
	if err := send(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.harness.Record(n.Name, "%v", err)
	}
}

// terminate sends SIGTERM and has the process killed after the grace time. The caller holds n.mu.
func (f *fleet) terminate(n *node) {
	f.signal(n, FaultTerminate, n.process.Stop)
	if n.isTerminated {
		return
	}
	n.isTerminated = true
	process := n.process
	delayBefore, err := process.RunDelay()
	if err != nil {
		return // it has just ended
	}
	time.AfterFunc(n.Bounds.Grace, func() {
		delay, err := process.RunDelay()
		if err != nil {
			return // it has ended
		}
		f.killAfter(n, process, delay-delayBefore)
	})
}

// killAfter kills a process whose grace time is over, once it has had the time that the machine held it up meanwhile.
func (f *fleet) killAfter(n *node, process *faulttest.Process, heldUp time.Duration) {
	timer := time.NewTimer(heldUp)
	defer timer.Stop()
	select {
	case <-process.Ended():
	case <-timer.C:
		f.recorder.fault(n.Name, FaultGraceKill)
		process.Kill()
	}
}

// freeze stops a process for a time. The caller holds n.mu.
func (f *fleet) freeze(n *node, duration time.Duration) {
	if n.isFrozen {
		return
	}
	n.isFrozen = true
	f.signal(n, FaultFreeze, n.process.Freeze)
	process := n.process
	time.AfterFunc(duration, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.process != process {
			return
		}
		n.isFrozen = false
		_ = process.Thaw() // it may have ended
		f.recorder.fault(n.Name, FaultThaw)
	})
}

// awaitSettled waits until every process runs, not frozen and not told to stop.
func (f *fleet) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.recorder.history.Bounds.Grace+settleExtra)
	defer cancel()
	for _, n := range f.nodes {
		for !n.isSettled() {
			if err := ctxtime.Sleep(ctx, settlePoll); err != nil {
				return fmt.Errorf("%s does not run again: %w", n.Name, err)
			}
		}
	}
	return nil
}

func (n *node) isSettled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && !n.isTerminated && !n.isFrozen
}

// stopAll tells all processes to stop and waits for their ends.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.isStopping = true
	f.mu.Unlock()
	for _, n := range f.nodes {
		n.mu.Lock()
		if n.process != nil {
			f.terminate(n)
		}
		n.mu.Unlock()
	}
	f.running.Wait()
}

// close kills what still runs and waits for it.
func (f *fleet) close() {
	f.mu.Lock()
	f.isStopping = true
	f.mu.Unlock()
	f.harness.Close()
	f.running.Wait()
}
