// Package simulation runs coordinators in one process over a network, disks and clocks that a seed drives, and checks
// what the operators saw. The replicas are the real ones; only what surrounds them is simulated. A run is a function
// of its options alone, so a seed that breaks a rule replays.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pumiceline/internal/message"
)

// Options of a run.
type Options struct {
	Seed      uint64
	Members   int
	Tolerance int
	Length    time.Duration // of the part with faults
	Sync      time.Duration // what a sync takes at most; 0: usualSync
	Defect    Defect
	Volatile  int     // so many of the members, the first ones, have no disk
	Wild      bool    // losses overlap beyond the tolerance, but no more disks are lost at a time than it allows
	Without   []int   // planned faults that are left out, by their place in the plan
	Script    []Fault // the faults, in place of those drawn from the seed
	Storm     bool    // operators send one valid change after the other, without a pause
}

// Violation is a broken rule.
type Violation struct {
	At   time.Duration `json:"At"`
	Rule string        `json:"Rule"`
	Text string        `json:"Text"`
}

func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// Result is what a run came to.
type Result struct {
	Violations   []Violation     `json:"Violations"`
	Acknowledged int             `json:"Acknowledged"`
	Refused      int             `json:"Refused"`
	Reads        int             `json:"Reads"`
	Views        uint64          `json:"Views"`
	Leases       int             `json:"Leases"`
	Faults       int             `json:"Faults"`
	Members      int             `json:"Members"` // of the last view
	Struck       []Fault         `json:"Struck"`
	Moves        []string        `json:"Moves"` // view changes, in order
	Ends         []string        `json:"Ends"`  // how each machine stands at the end
	Waits        []time.Duration `json:"Waits"` // of each acknowledged change, from its first try
	Pause        time.Duration   `json:"Pause"` // the longest span between two acknowledgements, while faults strike
}

// Cluster is one run.
type Cluster struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	sequence  uint64
	slots     []*node // the machine that stands in each place now
	nodes     []*node // all machines that ever were, those that are gone too
	network   network
	operators []*operator
	proxies   []*proxy
	history   *history
	leases    leaseCheck
	faults    int
	struck    []Fault // what struck, in order
	moves     []string
	seenView  message.ViewNumber
}

const (
	tickEvery   = 50 * time.Millisecond
	settleTime  = 12 * time.Second // the bound on recovery after the last harm
	lastCalls   = 3 * time.Second  // at the end, for calls that are under way
	finalReads  = 60 * time.Second
	startSpread = 300 * time.Millisecond
	usualSync   = 2 * time.Millisecond
	leaseLength = 2 * time.Second
	seedCount   = 3
	operatorsIn = 3
	proxiesIn   = 2
)

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Run plays one run and returns what it came to.
func Run(options Options) *Result {
	c := &Cluster{
		options: options, random: rand.New(rand.NewPCG(options.Seed, networkStream)),
		network: newNetwork(), history: newHistory(),
	}
	for slot := range options.Members {
		c.slots = append(c.slots, c.addNode(slot))
	}
	for _, n := range c.slots {
		c.after(c.spread(startSpread), func() { n.start(true) })
	}
	for i := range operatorsIn {
		c.operators = append(c.operators, newOperator(c, i))
	}
	for i := range proxiesIn {
		c.proxies = append(c.proxies, newProxy(c, i))
	}
	for i, fault := range c.Plan() {
		if !slices.Contains(options.Without, i) {
			c.after(fault.At, func() { c.strikeWhenAllowed(fault) })
		}
	}
	c.runUntil(options.Length)
	c.heal()
	c.runUntil(options.Length + settleTime)
	c.checkRecovery()
	for _, o := range c.operators {
		o.stop()
	}
	c.runUntil(options.Length + settleTime + lastCalls)
	c.checkVoters()
	c.finalRead()
	return c.result()
}

// networkStream and planStream keep the draws of the network apart from those of the faults.
const (
	networkStream = 0x70756d69
	planStream    = 0x706c616e
)

// addNode makes a machine with an empty disk for a slot; it is not started.
func (c *Cluster) addNode(slot int) *node {
	n := newNode(c, len(c.nodes), slot)
	c.nodes = append(c.nodes, n)
	return n
}

func (c *Cluster) spread(most time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(most)))
}

func (c *Cluster) after(span time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: c.now + span, sequence: c.sequence, run: run})
}

func (c *Cluster) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = end
}
