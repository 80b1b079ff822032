package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is the kind of a step of a schedule.
type Action string

// The actions of a schedule. A change of their order in seriesActions changes the schedule of every seed.
const (
	ActionTerminate Action = "terminate"  // SIGTERM, SIGKILL after the grace time, and a restart after the end
	ActionKill      Action = "kill"       // SIGKILL, and a restart
	ActionHangup    Action = "hangup"     // SIGHUP
	ActionFreeze    Action = "freeze"     // SIGSTOP, and SIGCONT after a time
	ActionPowerLoss Action = "power loss" // SIGKILL of all processes of a machine, and their restart
	ActionOverlap   Action = "overlap"    // SIGTERM, and a start of the next process at once
	ActionFillDisk  Action = "fill disk"  // each write of a coordinator to a file fails for a time
	ActionAdd       Action = "add"        // a machine with both roles comes
	ActionPut       Action = "put"        // a PUT of a complete configuration
	ActionPatch     Action = "patch"      // a PATCH of the configuration in force
	ActionInvalid   Action = "invalid"    // a configuration that must be rejected
)

// The actions of counted losses; no schedule has them.
const (
	ActionLoseDisk Action = "lose disk" // SIGKILL, and a start with an empty disk
	ActionRemove   Action = "remove"    // SIGKILL, and no other start
	ActionRetire   Action = "retire"    // SIGTERM, SIGKILL after the grace time, and no other start
)

// IsChange reports whether the action is a change of the configuration, not a fault of a process.
func (a Action) IsChange() bool { return a == ActionPut || a == ActionPatch || a == ActionInvalid }

// seriesActions are the actions of successive series, in turn.
var seriesActions = []Action{
	ActionTerminate, ActionPut, ActionHangup, ActionKill, ActionPatch, ActionFreeze, ActionPowerLoss, ActionOverlap,
	ActionFillDisk,
}

// Shape is the size of a run.
type Shape struct {
	Coordinators int
	Proxies      int
	FaultPhase   time.Duration // time within which steps begin
}

// NewShape divides processes between the roles: one in four is a coordinator, within the limits of a shape.
func NewShape(processes int, faultPhase time.Duration) Shape {
	coordinators := min(maxCoordinators, max(minCoordinators, processes/4))
	return Shape{Coordinators: coordinators, Proxies: max(minProxies, processes-coordinators), FaultPhase: faultPhase}
}

// Limits of a shape.
const (
	minCoordinators = 3
	maxCoordinators = 8
	minProxies      = 3
)

// place returns the machine of a process, and its role. Coordinators come first; a machine has a coordinator, a proxy, or
// both.
func (s Shape) place(process int) (machine int, role Role) {
	if process < s.Coordinators {
		return process, RoleCoordinator
	}
	return process - s.Coordinators, RoleProxy
}

// Processes is the number of processes.
func (s Shape) Processes() int { return s.Coordinators + s.Proxies }

// Step is one action at a time of the schedule.
type Step struct {
	At          time.Duration // since the start of the fault phase
	Series      int           // number of the step's series
	Action      Action
	Node        int           // index of the process, coordinators first; 0 for a change
	For         time.Duration // freeze: time until the thaw; fill disk: until there is room; kill or terminate: time from the end to the restart
	Racing      bool          // change: does not wait for other changes, so that two may build on the same version
	VersionStep uint64        // change: increment of the version
	Resend      bool          // change: sent once more after its acknowledgement
}

// Schedule is the list of steps of a run, ordered by time. The same seed and shape give the same schedule.
type Schedule []Step

// Times and sizes of series.
const (
	timePerSeries         = 2 * time.Second // of the fault phase, on average
	minSeriesLength       = 2
	maxSeriesLength       = 6
	minInterval           = 20 * time.Millisecond // between the steps of a series
	maxInterval           = 1500 * time.Millisecond
	minFreeze             = 100 * time.Millisecond // of a freeze or a full disk
	maxFreeze             = 4 * time.Second
	maxRestartDelay       = 1500 * time.Millisecond
	maxVersionStep        = 4
	startShare            = 80 // percent of the fault phase within which series start
	processesPerExtraStep = 12 // a series has one more step per 12 processes
)

// DrawSchedule draws the schedule of a seed. Series start anywhere in the fault phase and overlap.
func DrawSchedule(seed uint64, shape Shape) Schedule {
	d := &drawer{random: rand.New(rand.NewPCG(seed, 1)), shape: shape}
	count := max(len(seriesActions), int(shape.FaultPhase/timePerSeries))
	for i := range count {
		d.addSeries(i, seriesActions[i%len(seriesActions)])
	}
	d.steps = append(d.steps, Step{At: d.duration(0, shape.FaultPhase*startShare/100), Series: count, Action: ActionAdd})
	slices.SortStableFunc(d.steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return d.steps
}

// drawer draws a schedule. A change of the order of its draws changes the schedule of every seed.
type drawer struct {
	random *rand.Rand
	shape  Shape
	steps  Schedule
}

func (d *drawer) addSeries(series int, action Action) {
	at := d.duration(0, d.shape.FaultPhase*startShare/100)
	interval := d.duration(minInterval, maxInterval)
	length := minSeriesLength + d.random.IntN(maxSeriesLength-minSeriesLength+1) + d.shape.Processes()/processesPerExtraStep
	first, count := d.target(action)
	node := d.random.IntN(count)
	isRolling := d.random.IntN(3) > 0 // otherwise all steps of the series are for the same node
	isRacing := d.random.IntN(2) == 0
	for i := range length {
		step := Step{At: at + time.Duration(i)*interval, Series: series, Action: action}
		if action.IsChange() {
			d.completeChange(&step, isRacing, i)
		} else {
			step.Node = first + node
			step.For = d.pause(action)
		}
		if isRolling {
			node = (node + 1) % count
		}
		if step.At < d.shape.FaultPhase {
			d.steps = append(d.steps, step)
		}
	}
}

// target draws the role that a series is for. It returns the index of the first process of the role, and their number.
// Only coordinators need their disks.
func (d *drawer) target(action Action) (first, count int) {
	if d.random.IntN(3) == 0 || action == ActionFillDisk {
		return 0, d.shape.Coordinators
	}
	return d.shape.Coordinators, d.shape.Proxies
}

func (d *drawer) completeChange(step *Step, isRacing bool, index int) {
	step.Racing = isRacing
	step.VersionStep = 1 + d.random.Uint64N(maxVersionStep)
	step.Resend = d.random.IntN(4) == 0
	if index > 0 && d.random.IntN(8) == 0 {
		step.Action = ActionInvalid
	}
}

// pause draws the duration of a freeze, or the time between an end and the restart.
func (d *drawer) pause(action Action) time.Duration {
	switch action {
	case ActionFreeze, ActionFillDisk:
		return d.duration(minFreeze, maxFreeze)
	case ActionTerminate, ActionKill, ActionPowerLoss:
		return d.duration(0, maxRestartDelay)
	default:
		return 0
	}
}

func (d *drawer) duration(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Int64N(int64(to-from)))
}
