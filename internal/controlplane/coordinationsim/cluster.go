// Package coordinationsim runs the coordination of applications (packages epoch and coordination) in one process over a
// network, disks and clocks that are simulated from a seed. It injects faults and checks what applications observe. The
// members run the production code; only their environment is simulated. A run depends on its options alone: a seed that
// violates a rule violates it in every run.
//
// A run has four phases. In the fault phase faults are injected while applications call. Then all faults end, and calls
// must be answered within recoveryBound. After a quiet time all machines lose power, and some of them their disks. At
// the end each lock, number, key and watch must be answered within finalBound, consistently with what was acknowledged.
//
// All random draws of a run come from one generator in the order of events, so an added draw, or another order of
// draws, changes every run.
package coordinationsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

const (
	// seedCount is how many machines vote when the cluster starts.
	seedCount = 3
	// growthDelay is the time from the start of the run until all machines get votes.
	growthDelay = time.Second
	// applicationStart is when applications begin to call.
	applicationStart = 2 * time.Second
	// recoveryBound is how long after the last fault calls may remain unanswered.
	recoveryBound = 3 * time.Second
	// quietTime is the time between the recovery and the loss of all power. Meanwhile, votes move to the machines
	// that lost their disks.
	quietTime = 5 * time.Second
	// finalBound is how long after the loss of all power each call must be answered.
	finalBound = 12 * time.Second
	// drainTime is the time that calls in progress get to end when the applications stop.
	drainTime = putRetryTime + callTimeout
	// maxDowntime bounds the power loss at the end: it lasts minFaultTime and a random time below this.
	maxDowntime = 1500 * time.Millisecond
)

// The streams of the generators keep the draws of the run apart from those of the fault plan.
const (
	runStream  = 0x63736d69
	planStream = 0x63736d70
)

// Cluster is one run: the machines, the network between them, the applications, and what was observed. It has one
// goroutine.
type Cluster struct {
	options Options
	random  *rand.Rand
	scheduler

	slots      []*node // the current machine of each slot
	nodes      []*node // all machines of the run, also those that were replaced
	network    network
	membership membership

	injected    []Fault       // in order
	faultsUntil time.Duration // end of the last injected fault
	isHealing   bool          // no faults are injected any more
	isStopping  bool          // applications start nothing new
	isTraced    bool          // writes of issuers are recorded for the trace

	locks   *lockChecker
	numbers *numberChecker
	keys    *keyChecker
	log     observations
	callers int
}

// Run runs a simulation.
func Run(options Options) *Result { return newCluster(options).run() }

func (c *Cluster) run() *Result {
	options := c.options
	c.startMachines()
	c.after(applicationStart, c.startApplications)
	c.scheduleFaults()
	c.runUntil(options.FaultPhase)
	c.heal()
	c.runUntil(options.FaultPhase + recoveryBound)
	c.checkRecovery()
	c.runUntil(options.FaultPhase + recoveryBound + quietTime)
	c.isStopping = true
	if !options.WithoutFinalFault {
		c.losePowerEverywhere()
		c.runFinalCalls()
	}
	c.runUntil(c.now + drainTime)
	c.keys.checkHistory()
	return c.result()
}

func newCluster(options Options) *Cluster {
	c := &Cluster{options: options, random: rand.New(rand.NewPCG(options.Seed, runStream)), network: newNetwork()}
	c.locks, c.numbers, c.keys = newLockChecker(c), newNumberChecker(c), newKeyChecker(c)
	return c
}

// startMachines starts the machines of the first slots as the initial acceptor group, and the others without a group.
func (c *Cluster) startMachines() {
	var voters []message.Member
	for slot := range c.options.Members {
		n := newNode(c, slot, slot)
		c.slots, c.nodes = append(c.slots, n), append(c.nodes, n)
		if slot < seedCount {
			n.identity = message.MemberID("seed-" + n.address)
			voters = append(voters, n.self())
		}
	}
	c.membership.newest = membershipView{number: 1, voters: voters}
	for slot, n := range c.slots {
		var initial *message.AcceptorGroup
		if slot < seedCount {
			initial = &message.AcceptorGroup{Number: 1, View: 1, Acceptors: voters}
		}
		c.after(c.randomDuration(startSpread), func() { n.start(initial) })
	}
	if len(c.slots) > seedCount {
		c.after(growthDelay, c.growToAll)
	}
}

// growToAll makes every machine a voter.
func (c *Cluster) growToAll() {
	var voters []message.Member
	for _, n := range c.slots {
		voters = append(voters, n.self())
	}
	c.decide(voters)
}

// losePowerEverywhere injects the final fault: all machines lose power.
func (c *Cluster) losePowerEverywhere() {
	f := Fault{
		Index: -1, Kind: ClusterPowerLoss, Duration: minFaultTime + c.randomDuration(maxDowntime),
		Slots: c.random.Perm(len(c.slots)), Count: c.options.Tolerance, Draw: c.random.Uint64(),
	}
	if !c.isSettled(settledTime) {
		f.Draw = 0 // no disk may be lost
	}
	c.inject(f)
	c.runUntil(c.now + f.Duration + startSpread)
}

// issuer returns the machine that is the issuer with the highest promised epoch, nil where there is none.
func (c *Cluster) issuer() *node {
	var newest *node
	var status epoch.Status
	for _, n := range c.slots {
		if !n.isUp() {
			continue
		}
		if s := n.member.Status(); s.IsIssuer && (newest == nil || status.Promised.Less(s.Promised)) {
			newest, status = n, s
		}
	}
	return newest
}

// randomDuration draws a duration below limit.
func (c *Cluster) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(max(1, limit))))
}

// note adds a line to the trace of the run.
func (c *Cluster) note(format string, arguments ...any) {
	line := fmt.Sprintf("%8.4fs ", c.now.Seconds()) + fmt.Sprintf(format, arguments...)
	c.log.notes = append(c.log.notes, note{at: c.now, text: line})
}
