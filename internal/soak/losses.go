package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/controlplane/simulation"
	"pumiceline/internal/ctxtime"
)

// Times of a run with counted losses.
const (
	lossPoll           = 20 * time.Millisecond // interval of the runner's decisions
	maxFinalMargin     = 3 * time.Second       // between the end of all losses and the final ones
	maxFinalDowntime   = time.Second           // of machines that lose their disks at the end
	maxChangeInterval  = 900 * time.Millisecond
	minChangeInterval  = 200 * time.Millisecond
	finalStepsTimeout  = 60 * time.Second // all losses must have stopped counting within this time
	noFinalMarginOneIn = 3                // one in so many margins before the final losses is 0
	lossRunStream      = 0x736f616b       // stream of the random numbers of the runner
)

// lossRunner injects a plan of counted losses into a fleet of coordinators: at every moment no more machines are lost
// than the tolerance, counted as the operators' documentation counts them (see simulation.DrawCountedLosses). A machine
// counts as lost while its process is down or frozen, and for Bounds.Sync after that; a new one for Bounds.Sync after its
// start. A replaced one does not count once its successor has run for that time, whether it still runs or not.
//
// The plans are those of the simulation. Losses of the network or of a stalled disk, which signals cannot bring about,
// become freezes.
type lossRunner struct {
	fleet        *fleet
	coordinators *coordinatorList
	operators    *operators
	options      simulation.Options
	random       *rand.Rand
	startedAt    Moment // of the fault phase

	slots    []*node // the current machine of each slot
	replaced []*replacement
	starts   []dueStart
	injected map[string]int // losses by kind
}

// replacement is a planned replacement: both machines run until the old one is removed.
type replacement struct {
	old, successor *node
	margin         time.Duration // from the moment at which the old machine may be removed to its removal
	isDeferred     bool          // the old machine is removed together with a later one, or at the end
	isAnnounced    bool
	uncertainUntil Moment // the old machine counts as lost until then, as nothing told which one was removed
}

// dueStart is the start of a machine in place of one that is gone.
type dueStart struct {
	slot int
	at   Moment
}

func newLossRunner(r *run, coordinators *coordinatorList, options simulation.Options) *lossRunner {
	return &lossRunner{
		fleet: r.fleet, coordinators: coordinators, operators: r.operators, options: options,
		random: rand.New(rand.NewPCG(options.Seed, lossRunStream)), slots: coordinators.all(), injected: map[string]int{},
	}
}

// run injects the losses of the plan, one after the other, until the fault phase ends or ctx does.
func (l *lossRunner) run(ctx context.Context) error {
	l.startedAt = l.now()
	phase, cancel := context.WithTimeout(ctx, l.options.FaultPhase)
	defer cancel()
	for _, f := range l.options.CountedLossPlan() {
		isDue := func() bool { return l.now()-l.startedAt >= f.At && l.isAllowed(f) }
		if !l.waitUntil(phase, isDue) || !l.wait(phase, f.Margin) || !l.waitUntil(phase, isDue) {
			break
		}
		if err := l.inject(f); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (l *lossRunner) now() Moment { return l.fleet.recorder.now() }

// wait waits for a time and goes on with what is due meanwhile. It reports whether ctx outlasted the wait.
func (l *lossRunner) wait(ctx context.Context, d time.Duration) bool {
	until := l.now() + d
	return l.waitUntil(ctx, func() bool { return l.now() >= until })
}

// waitUntil polls until a condition holds, and meanwhile starts and removes the machines that are due. It returns false
// if ctx ends first.
func (l *lossRunner) waitUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if ctxtime.Sleep(ctx, lossPoll) != nil {
			return false
		}
		l.startDue()
		l.removeDue()
	}
	return true
}

// inject injects a loss.
func (l *lossRunner) inject(f simulation.Fault) error {
	l.injected[f.Kind.String()]++
	for _, target := range l.targets(f) {
		switch f.Kind {
		case simulation.Kill:
			l.fleet.applyTo(target, Step{Action: ActionKill})
		case simulation.PowerLoss:
			l.fleet.applyTo(target, Step{Action: ActionKill, For: f.Duration})
		case simulation.GracefulRestart:
			l.fleet.applyTo(target, Step{Action: ActionTerminate, For: f.Duration})
		case simulation.DiskLoss:
			l.fleet.applyTo(target, Step{Action: ActionLoseDisk, For: f.Duration})
		case simulation.Replacement:
			l.replaceLost(target, f.Duration)
		case simulation.OverlappingReplacement:
			if err := l.replaceWithOverlap(target, f); err != nil {
				return err
			}
		default:
			l.fleet.applyTo(target, Step{Action: ActionFreeze, For: f.Duration})
		}
	}
	return nil
}

// targets returns the machines that a loss hits: the current ones of its slots. In some freezes a replaced machine that
// still runs takes the place of the first one.
func (l *lossRunner) targets(f simulation.Fault) []*node {
	targets := lo.Map(f.Slots[:f.Count], func(slot int, _ int) *node { return l.slots[slot] })
	running := lo.Filter(l.replaced, func(r *replacement, _ int) bool { return r.old.isRunning() })
	if index, ok := f.ReplacedTarget(len(running)); ok {
		targets[0] = running[index].old
	}
	return targets
}

// isAllowed reports whether the tolerance allows a loss now. A machine that is lost already gets no successor beside it.
func (l *lossRunner) isAllowed(f simulation.Fault) bool {
	targets := l.targets(f)
	hasLost := lo.SomeBy(targets, func(n *node) bool { return l.isLost(n) })
	return l.toleratesLossOf(targets) && (f.Kind != simulation.OverlappingReplacement || !hasLost)
}

// toleratesLossOf reports whether the number of lost machines stays within the tolerance if some more are lost.
func (l *lossRunner) toleratesLossOf(targets []*node) bool {
	lost := lo.Filter(l.slots, func(n *node, _ int) bool { return l.isLost(n) })
	for _, r := range l.replaced {
		if l.countsAsLost(r) {
			lost = append(lost, r.old)
		}
	}
	return len(lo.Union(lost, targets)) <= l.options.Tolerance
}

// isLost reports whether a machine counts as lost.
func (l *lossRunner) isLost(n *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isDisturbed := n.process == nil || n.isFrozen || n.isTerminated
	return isDisturbed || l.now() < n.backAt+n.Bounds.Sync
}

// countsAsLost reports whether a replaced machine counts as lost: it was lost while it still runs, or was removed where
// nothing tells that it was the one that its successor replaced.
func (l *lossRunner) countsAsLost(r *replacement) bool {
	if r.old.isGone() {
		return l.now() < r.uncertainUntil
	}
	return l.isLost(r.old)
}

// isEverythingBack reports whether no machine counts as lost and every replaced machine is removed, or may be.
func (l *lossRunner) isEverythingBack() bool {
	return len(l.starts) == 0 &&
		lo.NoneBy(l.slots, func(n *node) bool { return l.isLost(n) }) &&
		lo.NoneBy(l.replaced, func(r *replacement) bool {
			return l.countsAsLost(r) || !r.old.isGone() && !(l.mayBeRemoved(r) && l.isCertain(r))
		})
}

// changeContinually makes changes of the configuration, one after the other, until ctx ends.
func (l *lossRunner) changeContinually(ctx context.Context) error {
	random := rand.New(rand.NewPCG(l.options.Seed, lossRunStream+1))
	for ctx.Err() == nil {
		if err := l.operators.change(ctx, Step{Action: ActionPut, VersionStep: firstChangeStep}); err != nil {
			return fmt.Errorf("change the configuration: %w", err)
		}
		pause := minChangeInterval + time.Duration(random.Int64N(int64(maxChangeInterval-minChangeInterval)))
		_ = ctxtime.Sleep(ctx, pause) // the loop ends with ctx
	}
	return nil
}
