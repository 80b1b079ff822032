// Package simulation runs coordinators in one process over a network, disks and clocks that are simulated from a seed.
// It injects faults and checks what clients observe. The replicas run the production code; only their environment is
// simulated. A run depends on its options alone: a seed that violates a rule violates it in every run.
//
// A run has three phases. In the fault phase faults are injected while clients send changes and reads. Then all faults
// end, and the cluster has recoveryBound to commit changes again. At the end the clients stop, and a last read is
// compared with the state of the members. The rules (result.go) are checked during the run in checks.go, client.go,
// history.go, lease_checker.go and proxy.go, and at the end in final_checks.go.
//
// All random draws of a run come from one generator in the order of events, so an added draw, or another order of
// draws, changes every run.
package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// Cluster is one run: the machines, the network between them, the clients, and what was observed. It has one goroutine.
type Cluster struct {
	options Options
	random  *rand.Rand
	scheduler

	slots []*node // the current machine of each slot
	nodes []*node // all machines of the run, also those that were replaced
	// replaced are, with CountedLosses, the machines that were replaced. They may still run.
	replaced []*node
	network  network
	clients  []*client
	proxies  []*proxy
	lists    *lists

	history        *history
	leases         leaseChecker
	injected       []Fault // faults, in order
	viewChanges    []string
	newestViewSeen message.ViewNumber
}

const (
	tickInterval = 50 * time.Millisecond
	// startSpread bounds the random delay of a machine's start, so that machines do not start at the same time.
	startSpread = 300 * time.Millisecond
	// recoveryBound is how long after the last fault the cluster may take to commit changes again.
	recoveryBound = 12 * time.Second
	// drainTime is the time that requests in progress get to end when the clients stop.
	drainTime = 3 * time.Second
	// finalReadBound is how long the last read may take.
	finalReadBound = 60 * time.Second

	clientCount = 3
	proxyCount  = 2
)

// The streams of the generators keep the draws of the run apart from those of the fault plan.
const (
	runStream  = 0x70756d69
	planStream = 0x706c616e
)

// Run simulates one run and returns its result.
func Run(options Options) *Result {
	c := &Cluster{
		options: options, random: rand.New(rand.NewPCG(options.Seed, runStream)),
		network: newNetwork(), history: newHistory(),
	}
	c.startMachines()
	c.startClients()
	c.scheduleFaults()
	c.runUntil(options.FaultPhase)
	if options.CountedLosses {
		c.endWithLosses()
	}
	c.heal()
	c.runUntil(c.now + recoveryBound)
	c.checkRecovery()
	for _, client := range c.clients {
		client.stop()
	}
	c.runUntil(c.now + drainTime)
	c.checkVoters()
	c.finalRead()
	return c.result()
}

func (c *Cluster) startMachines() {
	for slot := range c.options.Members {
		c.slots = append(c.slots, c.addNode(slot))
	}
	for _, n := range c.slots {
		c.after(c.randomDuration(startSpread), func() { n.start(firstStart) })
	}
}

func (c *Cluster) startClients() {
	for i := range clientCount {
		c.clients = append(c.clients, newClient(c, i))
	}
	for i := range proxyCount {
		c.proxies = append(c.proxies, newProxy(c, i))
	}
	c.lists = newLists(c)
}

func (c *Cluster) scheduleFaults() {
	plan := lo.Reject(c.FaultPlan(), func(_ Fault, i int) bool { return slices.Contains(c.options.OmittedFaults, i) })
	if c.options.CountedLosses {
		c.injectLosses(plan)
		return
	}
	for _, fault := range plan {
		c.after(fault.At, func() { c.injectWhenAllowed(fault) })
	}
}

// addNode makes a machine with an empty disk for a slot. It does not start the machine.
func (c *Cluster) addNode(slot int) *node {
	n := newNode(c, len(c.nodes), slot)
	c.nodes = append(c.nodes, n)
	return n
}

// randomDuration draws a duration below limit.
func (c *Cluster) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(limit)))
}
