// Package simulation runs coordinators in one process over a network, disks and clocks that a seed drives, and checks
// what the operators saw. The replicas are the real ones; only what surrounds them is simulated. A run is a function
// of its options alone, so a seed that breaks a rule replays.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

// Defect is a fault of the program that can be planted to show that a checker finds it.
type Defect int

// The defects that can be planted.
const (
	NoDefect            Defect = iota
	AcknowledgeUnsynced        // messages that wait for a sync go out before it
	KeepIdentityOnWipe         // a member whose disk was lost comes back under its old identity, and votes
	ReadUnconfirmed            // a tail answers reads without asking a majority
	GrantTwice                 // a refused lease is taken for a granted one
	RefuseUnconfirmed          // a head refuses without asking a majority
	MinorityView               // one vote is enough for a view
	SkipMember                 // the head acknowledges without the rest of the chain
	IgnoreLeaseEnd             // a holder acts on after its lease
	defectCount
)

// Options of a run.
type Options struct {
	Seed      uint64
	Members   int
	Tolerance int
	Length    time.Duration // of the part with faults
	Sync      time.Duration // what a sync takes at most; 0: usualSync
	Defect    Defect
	Volatile  int  // so many of the members, the first ones, have no disk
	Wild      bool // faults beyond the tolerance, but no lost disks
}

// Violation is a broken rule.
type Violation struct {
	At   time.Duration
	Rule string
	Text string
}

func (v Violation) String() string { return fmt.Sprintf("%s at %v: %s", v.Rule, v.At, v.Text) }

// Result is what a run came to.
type Result struct {
	Violations   []Violation
	Acknowledged int
	Refused      int
	Reads        int
	Views        uint64
	Leases       int
	Faults       int
	Members      int // of the last view
}

// Cluster is one run.
type Cluster struct {
	options   Options
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	sequence  uint64
	nodes     []*node
	cut       map[[2]int]bool
	operators []*operator
	history   *history
	leases    leaseCheck
	faults    int
	faulty    map[int]bool
	busyUntil time.Duration // a fault within the tolerance counts until then
}

const (
	tickEvery   = 50 * time.Millisecond
	settleTime  = 12 * time.Second
	startSpread = 300 * time.Millisecond
	usualSync   = 2 * time.Millisecond
	leaseLength = 2 * time.Second
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
		options: options, random: rand.New(rand.NewPCG(options.Seed, 0x70756d69)),
		cut: map[[2]int]bool{}, faulty: map[int]bool{}, history: newHistory(),
	}
	for i := range options.Members {
		c.nodes = append(c.nodes, newNode(c, i))
	}
	for i := range c.nodes {
		n := c.nodes[i]
		c.after(c.spread(startSpread), func() { n.start(true) })
	}
	for i := range 2 {
		c.operators = append(c.operators, newOperator(c, i))
	}
	c.after(time.Second, c.nextFault)
	c.runUntil(options.Length)
	c.heal()
	c.runUntil(options.Length + settleTime)
	for _, o := range c.operators {
		o.stop()
	}
	c.runUntil(options.Length + settleTime + 3*time.Second)
	c.finalRead()
	return c.result()
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

// node is a coordinator's machine.
type node struct {
	cluster *Cluster
	index   int
	address string

	replica *replica.Replica
	life    int           // counts starts; what belongs to an earlier one is void
	started time.Duration // of this life
	frozen  bool
	queued  []message.Message // arrived while frozen

	control, chain *diskRecord // synced
	writing        bool
	pending        []replica.Output
	stalledUntil   time.Duration
	writeBegan     time.Duration
	identities     int
	lastLease      leaseHold
}

type diskRecord struct {
	control message.ControlState
	chain   message.ChainState
}

func newNode(c *Cluster, index int) *node {
	return &node{cluster: c, index: index, address: fmt.Sprintf("10.0.0.%d:7000", index+1)}
}

// clock is the steady clock of the process.
func (n *node) clock() time.Duration { return n.cluster.now - n.started }

func (n *node) start(first bool) {
	n.life++
	n.started = n.cluster.now
	n.frozen, n.queued, n.pending, n.writing = false, nil, nil, false
	n.identities++
	var seeds []string
	for _, other := range n.cluster.nodes[:min(3, len(n.cluster.nodes))] {
		seeds = append(seeds, other.address)
	}
	options := replica.Options{
		Self:  message.Member{Address: n.address, Identity: fmt.Sprintf("node-%d-%d", n.index, n.identities)},
		Seeds: seeds, Tolerance: n.cluster.options.Tolerance, Lease: leaseLength, FirstStart: first,
		Volatile: n.isVolatile(),
	}
	var control message.ControlState
	var chain message.ChainState
	if n.control != nil {
		control = n.control.control
	}
	if n.chain != nil {
		chain = n.chain.chain
	}
	n.replica = replica.New(options, configuration.Judge, 0, control, chain)
	n.tick(n.life)
}

func (n *node) tick(life int) {
	if life != n.life {
		return
	}
	if !n.frozen {
		n.replica.SetDiskStalled(n.writing && n.cluster.now-n.writeBegan > 600*time.Millisecond)
		n.act(n.replica.Tick(n.clock()))
		n.watchLease()
	}
	n.cluster.after(tickEvery, func() { n.tick(life) })
}

// act carries an output out as the real owner does.
func (n *node) act(out replica.Output) {
	for _, m := range out.Immediate {
		n.send(m)
	}
	if n.cluster.options.Defect == AcknowledgeUnsynced {
		for _, m := range out.AfterSync {
			n.send(m)
		}
		out.AfterSync = nil
	}
	if out.Control == nil && out.Chain == nil && len(out.AfterSync) == 0 {
		return
	}
	n.pending = append(n.pending, out)
	if !n.writing {
		n.write()
	}
}

// write syncs all that is pending, then lets its messages out.
func (n *node) write() {
	batch := n.pending
	n.pending = nil
	n.writing, n.writeBegan = true, n.cluster.now
	span := time.Millisecond + n.cluster.spread(max(usualSync, n.cluster.options.Sync))
	if n.stalledUntil > n.cluster.now {
		span += n.stalledUntil - n.cluster.now
	}
	life := n.life
	n.cluster.after(span, func() {
		if life != n.life {
			return
		}
		n.keep(batch)
		n.writing = false
		for _, out := range batch {
			for _, m := range out.AfterSync {
				n.send(m)
			}
		}
		if len(n.pending) > 0 {
			n.write()
		}
	})
}

func (n *node) isVolatile() bool { return n.index < n.cluster.options.Volatile }

func (n *node) keep(batch []replica.Output) {
	if n.isVolatile() {
		return
	}
	for _, out := range batch {
		if out.Control != nil {
			n.control = &diskRecord{control: *out.Control}
		}
		if out.Chain != nil {
			n.chain = &diskRecord{chain: *out.Chain}
		}
	}
}

// stop ends the process; what was not synced may be kept or lost.
func (n *node) stop() {
	if n.writing && n.cluster.random.IntN(2) == 0 {
		n.keep(n.pending)
	}
	n.life++
	n.replica = nil
}

func (n *node) wipe() {
	if n.cluster.options.Defect == KeepIdentityOnWipe {
		n.chain = nil
		return
	}
	n.control, n.chain = nil, nil
}

func (n *node) send(m message.Message) {
	c := n.cluster
	if m.ConfigResult != nil && m.ToAddress == n.address {
		c.deliverResult(n, m.ConfigResult)
		return
	}
	if m.ToAddress == n.address {
		n.receiveSoon(m, 10*time.Microsecond)
		return
	}
	target := c.nodeAt(m.ToAddress)
	if target == nil || c.isCut(n.index, target.index) {
		return
	}
	delay := 500*time.Microsecond + c.spread(2*time.Millisecond)
	if c.random.IntN(200) == 0 {
		return // lost with its connection
	}
	if c.random.IntN(100) == 0 {
		delay += c.spread(300 * time.Millisecond) // held up
	}
	target.receiveSoon(m, delay)
}

func (n *node) receiveSoon(m message.Message, delay time.Duration) {
	n.cluster.after(delay, func() { n.receive(m) })
}

func (n *node) receive(m message.Message) {
	if n.replica == nil {
		return
	}
	if n.frozen {
		n.queued = append(n.queued, m)
		return
	}
	if m.ConfigResult != nil {
		n.cluster.deliverResult(n, m.ConfigResult)
		return
	}
	n.plantReplies(&m)
	n.act(n.replica.Step(n.clock(), &m))
	n.watchLease()
}

func (c *Cluster) nodeAt(address string) *node {
	for _, n := range c.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

func (c *Cluster) isCut(a, b int) bool { return c.cut[[2]int{a, b}] || c.cut[[2]int{b, a}] }
