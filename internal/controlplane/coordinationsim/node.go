package coordinationsim

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

const (
	tickInterval = 50 * time.Millisecond
	// zoneCount is how many zones the machines are spread over.
	zoneCount = 4
)

// node is a coordinator's machine with its process and its disk.
type node struct {
	cluster *Cluster
	index   int // among all machines of the run
	slot    int
	address string
	disk

	member        *epoch.Member // nil while the process is down
	generation    int           // counts starts and stops of the process; events of earlier generations are ignored
	startedAt     time.Duration
	identityCount int // number in the identity that a process gets where its disk is empty
	relay         *relay

	leaving          bool // the process was asked to stop
	frozen           bool
	waiting          []func()      // events that reached the process while it was frozen, in order
	freezeBeforeSend time.Duration // how long the process freezes before it sends the next messages; 0: not at all

	wasIssuer      bool          // at the last observation
	viewReceivedAt time.Duration // when the process received its newest view
	ignoresWrites  bool          // for AcceptWithoutState: the process started with an empty disk
}

func newNode(c *Cluster, index, slot int) *node {
	return &node{cluster: c, index: index, slot: slot, address: fmt.Sprintf("10.0.0.%d:7000", index+1)}
}

// clock returns the process's monotonic clock.
func (n *node) clock() time.Duration { return n.cluster.now - n.startedAt }

// self returns the machine as a member.
func (n *node) self() message.Member {
	return message.Member{Identity: n.identity, Address: n.address, Zone: fmt.Sprintf("zone-%d", n.slot%zoneCount)}
}

// isUp reports whether the process runs, frozen or not.
func (n *node) isUp() bool { return n.member != nil }

// start starts the process from its disk. initial is the acceptor group that a seed machine is configured with at its
// first start, nil otherwise.
func (n *node) start(initial *message.AcceptorGroup) {
	c := n.cluster
	n.generation++
	n.startedAt = c.now
	n.leaving, n.frozen, n.waiting, n.freezeBeforeSend, n.wasIssuer = false, false, nil, 0, false
	n.ignoresWrites = n.identity == ""
	if n.identity == "" {
		n.identityCount++
		n.identity = message.MemberID(fmt.Sprintf("node-%d-%d", n.index, n.identityCount))
	}
	n.relay = newRelay(n)
	options := epoch.Options{
		Self: n.self(), Incarnation: c.random.Uint64(), Tolerance: c.options.Tolerance, InitialGroup: initial,
		History: c.options.History,
	}
	found := n.load()
	n.corruptStored(&found)
	n.member = epoch.New(options, 0, found)
	if n.voters.number > 0 {
		n.member.SetVoters(n.voters.number, n.voters.voters)
	}
	n.receiveViewLater(c.membership.newest)
	n.tick(n.generation)
}

// stop ends the process. Its relay's connections break, and a random prefix of the write in progress is on the disk.
func (n *node) stop() {
	if !n.isUp() {
		return
	}
	n.interruptWrite()
	n.generation++
	n.member = nil
	n.frozen, n.waiting = false, nil
	n.relay.breakConnections()
}

// run delivers an event to the process: now, or when it is no longer frozen. A process that is down never gets it.
func (n *node) run(event func()) {
	switch {
	case !n.isUp():
	case n.frozen:
		n.waiting = append(n.waiting, event)
	default:
		event()
	}
}

func (n *node) tick(generation int) {
	if generation != n.generation {
		return
	}
	if !n.frozen {
		n.applyOutput(n.member.Tick(n.clock()))
		n.observe()
	}
	n.cluster.after(tickInterval, func() { n.tick(generation) })
}

// receive hands a message to the process.
func (n *node) receive(m message.Message) {
	if m.CallResponse != nil {
		n.relay.onResponse(&m)
		return
	}
	if n.cluster.options.Defect != NoDefect && n.alterReceived(&m) == dropMessage {
		return
	}
	n.applyOutput(n.member.Step(n.clock(), &m))
	n.observe()
}

// applyOutput sends the member's messages and writes its state, as the coordinator does. With freezeBeforeSend set the
// process freezes before that.
func (n *node) applyOutput(out epoch.Output) {
	if n.freezeBeforeSend > 0 && len(out.Immediate)+len(out.AfterSync) > 0 {
		duration := n.freezeBeforeSend
		n.freezeBeforeSend = 0
		n.freeze(duration)
		n.waiting = append([]func(){func() { n.carryOut(out) }}, n.waiting...)
		return
	}
	n.carryOut(out)
}

func (n *node) carryOut(out epoch.Output) {
	if n.cluster.options.Defect != NoDefect {
		n.alterOutput(&out)
	}
	if n.cluster.isTraced {
		n.noteWrites(&out)
	}
	n.sendAll(out.Immediate)
	if out.Record == nil && out.State == nil && len(out.Writes) == 0 && len(out.AfterSync) == 0 {
		return
	}
	n.pendingOutputs = append(n.pendingOutputs, out)
	if !n.isWriting {
		n.write()
	}
}

// observe records when the process becomes the issuer.
func (n *node) observe() {
	if n.frozen || !n.isUp() {
		return
	}
	status := n.member.Status()
	if status.IsIssuer && !n.wasIssuer {
		n.cluster.recordIssuer(n, status)
	}
	n.wasIssuer = status.IsIssuer
}

// freeze pauses the process for a time. Its clock continues.
func (n *node) freeze(duration time.Duration) {
	n.frozen = true
	generation := n.generation
	n.cluster.after(duration, func() { n.resume(generation) })
}

// resume ends a freeze and runs the waiting events in order.
func (n *node) resume(generation int) {
	if generation != n.generation || !n.frozen {
		return
	}
	n.frozen = false
	for len(n.waiting) > 0 && !n.frozen && n.generation == generation {
		next := n.waiting[0]
		n.waiting = n.waiting[1:]
		next()
	}
}
