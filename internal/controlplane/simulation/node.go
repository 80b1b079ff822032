package simulation

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

const (
	leaseDuration = 2 * time.Second
	// diskStallThreshold is how long a write takes before the process counts its disk as stalled.
	diskStallThreshold = 600 * time.Millisecond
	// seedCount is how many machines are on the configured list of seeds.
	seedCount = 3
	// zoneCount is how many zones the machines are spread over.
	zoneCount = 4
	// machinesPerSubnet is how many machines have addresses with the same third number.
	machinesPerSubnet = 200
)

// node is a coordinator's machine with its process and its disk.
type node struct {
	cluster *Cluster
	index   int // among all machines that ever were
	slot    int
	address string

	replica       *replica.Replica // nil while the process is down
	generation    int              // counts starts and stops of the process: events of an earlier one are void
	startedAt     time.Duration
	identityCount int    // counts starts; names the identity that a process takes where the disk is empty
	incarnation   uint64 // of the process; it numbers its requests from here
	requestCount  uint64 // clients' requests received by the process

	frozen              bool
	receivedWhileFrozen []message.Message

	disk

	heldLease         heldLease // that the process had when it was observed last
	lastGrant         grant
	ignoresStateUntil time.Duration // by a planted defect

	lostUntil     time.Duration // the machine counts as lost
	diskLostUntil time.Duration // the slot's disk counts as lost
	diskLostAt    time.Duration // when its disk was lost last
}

func newNode(c *Cluster, index, slot int) *node {
	address := fmt.Sprintf("10.0.%d.%d:7000", index/machinesPerSubnet, index%machinesPerSubnet+1)
	return &node{cluster: c, index: index, slot: slot, address: address}
}

// clock is the monotonic clock of the process.
func (n *node) clock() time.Duration { return n.cluster.now - n.startedAt }

func (n *node) zone() string { return fmt.Sprintf("zone-%d", n.slot%zoneCount) }

func (n *node) isDiskless() bool { return n.slot < n.cluster.options.Diskless }

// hasNoDisks reports whether no machine has a disk: a process that ends has lost all its state.
func (c *Cluster) hasNoDisks() bool { return c.options.Diskless >= c.options.Members }

// seedAddresses returns the addresses of the machines in the first slots.
func (c *Cluster) seedAddresses() []string {
	var seeds []string
	for _, n := range c.slots[:min(seedCount, len(c.slots))] {
		seeds = append(seeds, n.address)
	}
	return seeds
}

// startKind says whether a process starts with the whole cluster or later.
type startKind bool

const (
	firstStart startKind = true
	laterStart startKind = false
)

// start starts the process from what is on the disk.
func (n *node) start(kind startKind) {
	n.generation++
	n.startedAt = n.cluster.now
	n.frozen, n.receivedWhileFrozen, n.pendingOutputs, n.isWriting = false, nil, nil, false
	n.identityCount++
	n.incarnation, n.requestCount = n.cluster.random.Uint64(), 0
	if n.cluster.options.Defect == RepeatIncarnation {
		n.incarnation = 0
	}
	identity := message.MemberID(fmt.Sprintf("node-%d-%d", n.index, n.identityCount))
	options := replica.Options{
		Self:  message.Member{Address: n.address, Identity: identity, Zone: n.zone()},
		Seeds: n.cluster.seedAddresses(), Tolerance: n.cluster.options.Tolerance, LeaseDuration: leaseDuration,
		FirstStart: kind == firstStart, Diskless: n.isDiskless(), Incarnation: n.incarnation,
	}
	control, chain := n.load()
	n.corruptControlState(&control)
	n.replica = replica.New(options, n.validator(configuration.Validate), 0, control, chain)
	n.tick(n.generation)
}

// stop ends the process. What it was writing may be on the disk or not.
func (n *node) stop() {
	if n.isWriting && n.cluster.random.IntN(2) == 0 {
		n.persist(n.pendingOutputs)
	}
	n.generation++
	n.replica = nil
}

func (n *node) tick(generation int) {
	if generation != n.generation {
		return
	}
	if !n.frozen {
		n.replica.SetDiskStalled(n.isWriting && n.cluster.now-n.writeStart > diskStallThreshold)
		n.applyOutput(n.replica.Tick(n.clock()))
		n.observe()
		n.restartOnAdmission()
	}
	n.cluster.after(tickInterval, func() { n.tick(generation) })
}

// receive hands a message to the process, which gets it when it resumes where it is frozen.
func (n *node) receive(m message.Message) {
	if n.replica == nil {
		return
	}
	if n.frozen {
		n.receivedWhileFrozen = append(n.receivedWhileFrozen, m)
		return
	}
	if m.ConfigResponse != nil {
		if m.To == n.replica.Identity() {
			n.cluster.deliverResponse(n, m.ConfigResponse)
		}
		return
	}
	if n.ignoresState(&m) {
		return
	}
	n.forgeReplies(&m)
	n.applyOutput(n.replica.Step(n.clock(), &m))
	n.releaseGrantEarly(&m)
	n.observe()
}

// applyOutput sends the replica's messages and writes its state, as the coordinator does.
func (n *node) applyOutput(out replica.Output) {
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
	n.pendingOutputs = append(n.pendingOutputs, out)
	if !n.isWriting {
		n.write()
	}
}

// observe checks what may change with each step of the replica.
func (n *node) observe() {
	n.recordViewChange()
	n.observeLease()
}

// nextRequestID numbers a client's request as the process does: from its incarnation on.
func (n *node) nextRequestID() uint64 {
	n.requestCount++
	return n.incarnation + n.requestCount
}
