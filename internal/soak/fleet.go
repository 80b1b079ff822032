package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/fake/fakesystem"
	"pumiceline/internal/faulttest"
)

// Times of the fleet's supervision.
const (
	settlePoll           = 50 * time.Millisecond
	settleExtra          = 30 * time.Second       // all processes must run again within the grace time plus this
	selfExitRestartDelay = 500 * time.Millisecond // delay of the restart of a process that ended by itself
	endReasonLength      = 300                    // bytes of the last output that are recorded with the end of a process
)

// maxSeeds is how many control addresses the settings of a machine have.
const maxSeeds = 3

// fleet supervises the processes of a run. It carries out steps, and restarts each process after its end, as the
// platform does.
type fleet struct {
	dir      string // folder of settings and state
	net      *loopbackNet
	harness  *faulttest.Harness
	recorder *recorder

	mu         sync.Mutex
	nodes      []*node        // coordinators first, then proxies, then machines that were added
	isStopping bool           // no process is restarted
	running    sync.WaitGroup // goroutines that run awaitEnd
}

// newFleet returns the nodes of a shape, with no process started. The caller closes it.
func newFleet(shape Shape, programs, dir string, platform *fakesystem.Platform, r *recorder) (*fleet, error) {
	loopback, err := claimLoopbackNet()
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, net: loopback, harness: faulttest.New(), recorder: r}
	var seeds []string
	for i := range min(maxSeeds, shape.Coordinators) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", f.net.address(i), controlPort))
	}
	for i := range shape.Processes() {
		entrance, err := platform.Listen()
		if err != nil {
			return nil, err
		}
		machine, role := shape.place(i)
		n := &node{IP: f.net.address(machine), Zone: zoneOf(machine), SeedNodes: seeds, PlatformAddress: entrance.Address,
			entrance: entrance, PlatformRate: platformRate, Tolerance: min(maxTolerance, (shape.Coordinators-1)/2), Bounds: r.history.Bounds}
		n.Name, n.role = fmt.Sprintf("%s-%d", role, machine), role
		if machine < shape.Coordinators {
			n.StateDir = filepath.Join(dir, n.Name)
		}
		n.program = filepath.Join(programs, "pumiceline-"+string(n.role))
		f.nodes = append(f.nodes, n)
		r.history.Roles[n.Name] = n.role
	}
	return f, nil
}

// all returns the nodes that were made so far.
func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

func (f *fleet) ofRole(role Role) []*node {
	var nodes []*node
	for _, n := range f.all() {
		if n.role == role {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// setPlatformRate sets the rate of calls to the platform that the settings of all nodes state.
func (f *fleet) setPlatformRate(perSecond float64) {
	for _, n := range f.all() {
		n.PlatformRate = perSecond
	}
}

// startAll starts the processes of all nodes.
func (f *fleet) startAll() error {
	for _, n := range f.all() {
		if _, err := os.Stat(n.program); err != nil {
			return fmt.Errorf("locate the program of %s: %w", n.Name, err)
		}
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a node and a goroutine that waits for its end. It does nothing once the fleet is
// stopping.
func (f *fleet) start(n *node) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isStopping {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRemoved {
		return nil
	}
	if err := n.emptyLostDisk(); err != nil {
		return err
	}
	command, err := n.command(f.dir)
	if err != nil {
		return err
	}
	n.instance++
	if n.replacedBy != n.instance {
		f.recorder.fault(n.Name, n.instance, FaultStart)
	}
	process, err := f.harness.StartProcess(n.Name, command)
	if err != nil {
		return err
	}
	n.process, n.restartDelay = process, selfExitRestartDelay
	n.isTerminated, n.isFrozen, n.isDiskFull = false, false, false
	n.backAt = f.recorder.now()
	instance, startedAt := n.instance, n.backAt
	f.running.Go(func() { f.awaitEnd(n, process, instance, startedAt) })
	return nil
}

// awaitEnd waits for the end of a process, records it, and restarts the process after the node's restart delay, unless
// another process of the node was started before the end.
func (f *fleet) awaitEnd(n *node, process *faulttest.Process, instance int, startedAt Moment) {
	<-process.Ended()
	f.recordEnd(n, process, instance, startedAt)
	n.mu.Lock()
	if n.replacedBy > instance {
		if n.replacedBy == instance+1 && n.instance <= n.replacedBy {
			f.recorder.fault(n.Name, n.replacedBy, FaultStart) // from now on the next process can listen
		}
		n.mu.Unlock()
		return
	}
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

// recordEnd records how a process ended.
func (f *fleet) recordEnd(n *node, process *faulttest.Process, instance int, startedAt Moment) {
	state, err := process.ExitState()
	output := strings.TrimSpace(process.Log())
	state += "; " + output[max(0, len(output)-endReasonLength):]
	f.recorder.edit(func(h *History) {
		now := f.recorder.now()
		h.Faults = append(h.Faults, Fault{
			Node: n.Name, Instance: instance, Kind: FaultEnd, At: now, ExitState: state, Lived: now - startedAt, IsFailure: err != nil,
		})
	})
}

func (f *fleet) stopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isStopping
}

// lastOutputs returns the end of the output of each process that runs.
func (f *fleet) lastOutputs() string {
	var outputs strings.Builder
	for _, n := range f.all() {
		n.mu.Lock()
		if n.process != nil {
			output := strings.TrimSpace(n.process.Log())
			fmt.Fprintf(&outputs, "%s: %s\n", n.Name, output[max(0, len(output)-endReasonLength):])
		}
		n.mu.Unlock()
	}
	return outputs.String()
}

// apply carries out a step on the process of the step's node, or on all processes of its machine.
func (f *fleet) apply(step Step) {
	nodes := f.all()
	target := nodes[step.Node]
	if step.Action != ActionPowerLoss {
		f.applyTo(target, step)
		return
	}
	for _, n := range nodes {
		if n.IP == target.IP {
			f.applyTo(n, step)
		}
	}
}

// applyTo carries out a step on a process. A step on a node without a process does nothing, but for what becomes of the
// node afterwards.
func (f *fleet) applyTo(n *node, step Step) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isRemoved = n.isRemoved || step.Action == ActionRemove || step.Action == ActionRetire
	n.hasLostDisk = n.hasLostDisk || step.Action == ActionLoseDisk
	if n.process == nil {
		return
	}
	switch step.Action {
	case ActionTerminate, ActionRetire:
		n.restartDelay = step.For
		f.terminate(n)
	case ActionOverlap:
		f.replaceProcess(n)
	case ActionKill, ActionPowerLoss, ActionLoseDisk, ActionRemove:
		n.restartDelay = step.For
		f.recorder.fault(n.Name, n.instance, FaultKill)
		n.process.Kill()
		n.process = nil // so that later steps do not treat it as running; awaitEnd restarts it
	case ActionHangup:
		f.hangUp(n)
	case ActionFreeze:
		f.freeze(n, step.For)
	case ActionFillDisk:
		f.fillDisk(n, step.For)
	}
}

// replaceProcess terminates a process and starts the next one at once, while the ports and the state are still in use. The
// caller holds n.mu.
func (f *fleet) replaceProcess(n *node) {
	if n.isTerminated {
		return
	}
	f.terminate(n)
	n.replacedBy = n.instance + 1
	n.process = nil // the next process is not there yet
	go func() {
		if err := f.start(n); err != nil {
			f.harness.Record(n.Name, "is not started: %v", err) // awaitSettled reports it
		}
	}()
}

// hangUp sends SIGHUP, in the first moments of a process as soon as it catches signals: until then no code of it runs.
// The caller holds n.mu.
func (f *fleet) hangUp(n *node) {
	process, instance := n.process, n.instance
	send := func() {
		f.recorder.fault(n.Name, instance, FaultHangup)
		if err := process.Hangup(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			f.harness.Record(n.Name, "%v", err)
		}
	}
	if process.CatchesSignals() {
		send()
		return
	}
	go func() {
		if process.AwaitSignalHandlers() {
			send()
		}
	}()
}

// signal records a fault and sends the signal. An error because the process has just ended is ignored.
func (f *fleet) signal(n *node, kind FaultKind, send func() error) {
	f.recorder.fault(n.Name, n.instance, kind)
	if err := send(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		f.harness.Record(n.Name, "%v", err)
	}
}

// terminate sends SIGTERM, and schedules SIGKILL after the grace time. The caller holds n.mu.
func (f *fleet) terminate(n *node) {
	f.signal(n, FaultTerminate, n.process.Stop)
	if n.isTerminated {
		return
	}
	n.isTerminated = true
	process, instance := n.process, n.instance
	delayBefore, err := process.RunDelay()
	if err != nil {
		return // it has just ended
	}
	time.AfterFunc(n.Bounds.Grace, func() {
		delay, err := process.RunDelay()
		if err != nil {
			return // it has ended
		}
		f.killAfter(n, process, instance, delay-delayBefore)
	})
}

// killAfter kills a process after its grace time plus the time that the machine held it up within the grace time.
func (f *fleet) killAfter(n *node, process *faulttest.Process, instance int, heldUp time.Duration) {
	timer := time.NewTimer(heldUp)
	defer timer.Stop()
	select {
	case <-process.Ended():
	case <-timer.C:
		f.recorder.fault(n.Name, instance, FaultGraceKill)
		process.Kill()
	}
}

// freeze suspends a process by SIGSTOP for a time. The caller holds n.mu.
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
		n.backAt = f.recorder.now()
		_ = process.Thaw() // it may have ended
		f.recorder.fault(n.Name, n.instance, FaultThaw)
	})
}

// awaitSettled waits until every process runs, is not frozen, has room on its disk and has no SIGTERM pending.
func (f *fleet) awaitSettled(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.recorder.history.Bounds.Grace+settleExtra)
	defer cancel()
	for _, n := range f.all() {
		for !n.isSettled() {
			if err := ctxtime.Sleep(ctx, settlePoll); err != nil {
				return fmt.Errorf("%s does not run again: %w", n.Name, err)
			}
		}
	}
	return nil
}

// isSettled reports whether the node's process runs undisturbed, or has ended for good.
func (n *node) isSettled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isRemoved {
		return n.process == nil
	}
	return n.process != nil && !n.isTerminated && !n.isFrozen && !n.isDiskFull
}

// stopAll terminates all processes and waits for their ends.
func (f *fleet) stopAll() {
	f.mu.Lock()
	f.isStopping = true
	f.mu.Unlock()
	for _, n := range f.all() {
		n.mu.Lock()
		if n.process != nil {
			f.terminate(n)
		}
		n.mu.Unlock()
	}
	f.running.Wait()
}

// close kills all processes that still run and waits for their ends.
func (f *fleet) close() {
	f.mu.Lock()
	f.isStopping = true
	f.mu.Unlock()
	f.harness.Close()
	f.running.Wait()
	f.net.close()
}
