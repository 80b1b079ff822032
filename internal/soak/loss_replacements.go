package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/simulation"
)

// sharedZone is the zone of all coordinators where the simulated ones have none: settings must name a zone.
const sharedZone = "shared"

// setLossOptions sets the tolerance and the zones of the coordinators before they start.
func (f *fleet) setLossOptions(options simulation.Options) {
	for i, n := range f.all() {
		n.Tolerance, n.Zone = options.Tolerance, cmp.Or(options.ZoneOf(i), sharedZone)
		if i < options.Diskless {
			n.StateDir = "" // the machine does not count
		}
	}
}

// addCoordinator makes a machine with a new address and an empty disk in the zone of another one, and starts it.
func (f *fleet) addCoordinator(zone string, seeds []string) (*node, error) {
	n := f.addNode(f.all()[0], len(f.all()), zone, seeds)
	return n, f.start(n)
}

// addMachine makes a machine with both roles, a new address and an empty disk, as a spare comes, and starts its processes.
func (f *fleet) addMachine() error {
	nodes := f.all()
	machine := len(nodes)
	for _, template := range []*node{f.ofRole(RoleCoordinator)[0], f.ofRole(RoleProxy)[0]} {
		if err := f.start(f.addNode(template, machine, zoneOf(machine), template.SeedNodes)); err != nil {
			return err
		}
	}
	return nil
}

// addNode adds a role of a machine that was not there at the first start. The role and the settings are those of another
// node.
func (f *fleet) addNode(template *node, machine int, zone string, seeds []string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := &node{
		Name: fmt.Sprintf("%s-%d", template.role, machine), IP: f.net.address(machine), Zone: zone, SeedNodes: seeds,
		PlatformAddress: template.PlatformAddress, PlatformRate: template.PlatformRate, Tolerance: template.Tolerance,
		Bounds: template.Bounds, role: template.role, program: template.program, isAdded: true, addedAt: f.recorder.now(),
	}
	n.StateDir = filepath.Join(f.dir, n.Name)
	f.nodes = append(f.nodes, n)
	f.recorder.edit(func(h *History) { h.Roles[n.Name] = n.role })
	return n
}

// isRunning reports whether a process of the machine runs and is not about to end.
func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && !n.isTerminated && !n.isRemoved
}

// isGone reports whether the machine was removed. It may still be stopping.
func (n *node) isGone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isRemoved
}

// seedNodes returns the control addresses of up to three machines on the operators' list.
func (l *lossRunner) seedNodes() []string {
	seeds := lo.Map(l.coordinators.all(), func(n *node, _ int) string { return n.ControlAddress() })
	return seeds[:min(maxSeeds, len(seeds))]
}

// addSuccessor starts a machine in a slot, in place of its current one.
func (l *lossRunner) addSuccessor(slot int) (*node, error) {
	successor, err := l.fleet.addCoordinator(l.slots[slot].Zone, l.seedNodes())
	l.slots[slot] = successor
	l.coordinators.add(successor)
	return successor, err
}

// replaceLost removes a machine without notice. Another one starts after a time.
func (l *lossRunner) replaceLost(target *node, downtime time.Duration) {
	slot := lo.IndexOf(l.slots, target)
	if slot < 0 || target.isGone() {
		return // a start in its place is due already
	}
	l.fleet.applyTo(target, Step{Action: ActionRemove})
	l.coordinators.remove(target)
	l.starts = append(l.starts, dueStart{slot: slot, at: l.now() + downtime})
}

// startDue starts the machines whose start is due.
func (l *lossRunner) startDue() {
	due, later := lo.FilterReject(l.starts, func(s dueStart, _ int) bool { return l.now() >= s.at })
	l.starts = later
	for _, s := range due {
		if _, err := l.addSuccessor(s.slot); err != nil {
			l.fleet.harness.Record(l.slots[s.slot].Name, "is not started: %v", err) // awaitSettled reports it
		}
	}
}

// replaceWithOverlap starts the successor of a machine, which goes on running and is removed later.
func (l *lossRunner) replaceWithOverlap(target *node, f simulation.Fault) error {
	slot := lo.IndexOf(l.slots, target)
	if slot < 0 || !target.isRunning() {
		return nil
	}
	successor, err := l.addSuccessor(slot)
	if err != nil {
		return err
	}
	l.replaced = append(l.replaced, &replacement{
		old: target, successor: successor, margin: f.RemovalMargin(), isDeferred: f.KeepsReplaced(),
		isAnnounced: f.IsRemovalAnnounced(),
	})
	return nil
}

// mayBeRemoved reports whether a replaced machine no longer counts: its successor has run for Bounds.Sync.
func (l *lossRunner) mayBeRemoved(r *replacement) bool {
	return l.now() >= r.removableAt()
}

// removableAt returns when the first run of the successor had lasted for Bounds.Sync. A later loss of the successor
// counts by itself.
func (r *replacement) removableAt() Moment { return r.successor.addedAt + r.successor.Bounds.Sync }

// removeDue removes the replaced machines whose time has come, and together with one of them those whose removal was deferred.
func (l *lossRunner) removeDue() {
	isDue := func(r *replacement) bool {
		return !r.old.isGone() && !r.isDeferred && l.now() >= r.removableAt()+r.margin
	}
	if !lo.SomeBy(l.replaced, isDue) {
		return
	}
	for _, r := range l.replaced {
		if !r.old.isGone() && l.mayBeRemoved(r) && (r.isDeferred || isDue(r)) && (l.isCertain(r) || l.toleratesLossOf([]*node{r.old})) {
			l.remove(r)
		}
	}
}

// remove removes a replaced machine. Where nothing tells which machine its successor replaced, it counts as lost for
// Bounds.Sync more: until then the others cannot know whose vote to move (docs/design/control-state.md, V7).
func (l *lossRunner) remove(r *replacement) {
	action := ActionRemove
	if r.isAnnounced {
		action = ActionRetire
	}
	if !l.isCertain(r) {
		r.uncertainUntil = l.now() + r.old.Bounds.Sync
	}
	l.coordinators.remove(r.old)
	l.fleet.applyTo(r.old, Step{Action: action})
}

// isCertain reports whether the zones tell that the successor replaced the machine.
func (l *lossRunner) isCertain(r *replacement) bool {
	return lo.CountBy(l.slots, func(n *node) bool { return n.Zone == r.old.Zone }) == 1
}

// errStillLost is the error of a run whose machines do not stop counting as lost.
var errStillLost = errors.New("machines still count as lost")

// end waits until no machine counts as lost. After a drawn margin, and directly after the next acknowledgement, it
// removes all replaced machines, and as many machines as the tolerance allows lose their disks. In half of the runs all
// others are killed at the same time.
func (l *lossRunner) end(ctx context.Context) error {
	waiting, cancel := context.WithTimeout(ctx, finalStepsTimeout)
	defer cancel()
	for _, r := range l.replaced {
		r.isDeferred = r.isDeferred && l.isCertain(r) // those are removed together with the final losses
	}
	if !l.waitUntil(waiting, l.isEverythingBack) {
		return errStillLost
	}
	if l.random.IntN(noFinalMarginOneIn) > 0 && !l.wait(waiting, time.Duration(l.random.Int64N(int64(maxFinalMargin)))) {
		return errStillLost
	}
	acknowledging, cancelChange := context.WithTimeout(ctx, l.fleet.recorder.history.Bounds.Recovery)
	defer cancelChange()
	if err := l.operators.change(acknowledging, Step{Action: ActionPut, VersionStep: firstChangeStep}); err != nil {
		return err
	}
	for _, r := range l.replaced {
		if !r.old.isGone() && l.isCertain(r) {
			r.isAnnounced = false
			l.remove(r)
		}
	}
	l.injectFinalLosses()
	return nil
}

// injectFinalLosses makes as many machines lose their disks as the tolerance allows. In half of the runs all others are
// killed too, also those that do not count.
func (l *lossRunner) injectFinalLosses() {
	isPowerLoss := l.random.IntN(2) == 0
	downtime := time.Duration(l.random.Int64N(int64(maxFinalDowntime)))
	for i, slot := range l.options.FinalSlots(l.random) {
		switch {
		case i < l.options.Tolerance:
			l.injected["final lost disk"]++
			l.fleet.applyTo(l.slots[slot], Step{Action: ActionLoseDisk, For: downtime})
		case isPowerLoss:
			l.injected["final power loss"]++
			l.fleet.applyTo(l.slots[slot], Step{Action: ActionKill, For: downtime})
		}
	}
}
