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
	// diskStallThreshold is how long a write may take before the process regards its disk as stalled.
	diskStallThreshold = 600 * time.Millisecond
	// seedCount is the length of the configured list of seeds.
	seedCount = 3
	// zoneCount is how many zones the machines are spread over, unless Options.Zones says otherwise.
	zoneCount = 4
	// machinesPerSubnet is how many machines have addresses with the same third octet.
	machinesPerSubnet = 200
)

// node is a coordinator's machine with its process and its disk.
type node struct {
	cluster *Cluster
	index   int // among all machines of the run
	slot    int
	address string

	replica       *replica.Replica // nil while the process is down
	generation    int              // counts starts and stops of the process; events of earlier generations are ignored
	startedAt     time.Duration
	identityCount int    // counts starts; number in the identity that a process gets where its disk is empty
	incarnation   uint64 // of the process; its request IDs follow this number
	requestCount  uint64 // number of clients' requests that the process received

	list listState // of the process

	frozen              bool
	receivedWhileFrozen []message.Message

	disk

	heldLease         heldLease // of the process at the last observation
	lastGrant         grant
	ignoresStateUntil time.Duration // for ClaimComplete

	lostUntil     time.Duration // until then the machine counts as lost
	diskLostUntil time.Duration // until then the slot's disk counts as lost
	diskLostAt    time.Duration // when the disk was last lost
	removableAt   time.Duration // with CountedLosses: when a replaced machine may be removed
}

func newNode(c *Cluster, index, slot int) *node {
	address := fmt.Sprintf("10.0.%d.%d:7000", index/machinesPerSubnet, index%machinesPerSubnet+1)
	return &node{cluster: c, index: index, slot: slot, address: address}
}

// clock returns the process's monotonic clock.
func (n *node) clock() time.Duration { return n.cluster.now - n.startedAt }

// zone returns the machine's zone, empty where the machines do not know their zones.
func (n *node) zone() string { return n.cluster.options.ZoneOf(n.slot) }

func (n *node) isDiskless() bool { return n.slot < n.cluster.options.Diskless }

// hasNoDisks reports whether no machine has a disk, so that a process loses all its state when it ends.
func (c *Cluster) hasNoDisks() bool { return c.options.Diskless >= c.options.Members }

// seedAddresses returns the addresses of the machines in the first slots.
func (c *Cluster) seedAddresses() []string {
	var seeds []string
	for _, n := range c.slots[:min(seedCount, len(c.slots))] {
		seeds = append(seeds, n.address)
	}
	return seeds
}

// startKind says whether a process starts together with the whole cluster or later.
type startKind bool

const (
	firstStart startKind = true
	laterStart startKind = false
)

// start starts the process from its disk.
func (n *node) start(kind startKind) {
	n.generation++
	n.startedAt = n.cluster.now
	n.list = listState{observedAt: unreadList}
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
	n.replica = replica.New(options, n.validator(configuration.NewValidator().Validate), 0, control, chain)
	n.tick(n.generation)
}

// stop ends the process. A write in progress is lost. In half of these cases the outputs that wait for the next write
// reach the disk.
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

// receive hands a message to the process. A frozen process receives it when it resumes.
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

// observe checks the view and the lease, which may change with each step of the replica.
func (n *node) observe() {
	n.recordViewChange()
	n.observeLease()
}

// nextRequestID returns the ID of a client's request, counted from the incarnation as the process does it.
func (n *node) nextRequestID() uint64 {
	n.requestCount++
	return n.incarnation + n.requestCount
}
