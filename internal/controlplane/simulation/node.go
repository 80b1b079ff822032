package simulation

import (
	"fmt"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

// node is a coordinator's machine.
type node struct {
	cluster *Cluster
	index   int
	slot    int
	address string

	replica     *replica.Replica
	life        int           // counts starts; what belongs to an earlier one is void
	started     time.Duration // of this life
	incarnation uint64        // of this life
	calls       uint64        // operators' calls taken in this life
	frozen      bool
	queued      []message.Message // arrived while frozen

	control, chain *diskRecord // synced
	writing        bool
	pending        []replica.Output
	stalledUntil   time.Duration
	writeBegan     time.Duration
	identities     int
	lastLease      leaseHold
	lastGrant      grantHold
	deafUntil      time.Duration // it takes no state until then, by a planted defect

	lostUntil     time.Duration // it counts as lost until then
	diskLostUntil time.Duration // its place counts as one whose disk is lost until then
	wiped         time.Duration // when its disk was lost last
}

type diskRecord struct {
	control message.ControlState
	chain   message.ChainState
}

// stallNotice is how long a write takes before the process takes its disk for stalled.
const stallNotice = 600 * time.Millisecond

func newNode(c *Cluster, index, slot int) *node {
	return &node{cluster: c, index: index, slot: slot, address: fmt.Sprintf("10.0.%d.%d:7000", index/200, index%200+1)}
}

// clock is the steady clock of the process.
func (n *node) clock() time.Duration { return n.cluster.now - n.started }

// zone names the zone of the machine's place: most have one coordinator, some two.
func (n *node) zone() string { return fmt.Sprintf("zone-%d", n.slot%zonesIn) }

const zonesIn = 4

// isDiskless reports whether no machine has a disk: whoever ends has lost all.
func (c *Cluster) isDiskless() bool { return c.options.Volatile >= c.options.Members }

func (n *node) isVolatile() bool { return n.slot < n.cluster.options.Volatile }

// seeds are the addresses of the first machines on the operator's list.
func (c *Cluster) seeds() []string {
	var seeds []string
	for _, n := range c.slots[:min(seedCount, len(c.slots))] {
		seeds = append(seeds, n.address)
	}
	return seeds
}

func (n *node) start(first bool) {
	n.life++
	n.started = n.cluster.now
	n.frozen, n.queued, n.pending, n.writing = false, nil, nil, false
	n.identities++
	n.incarnation, n.calls = n.cluster.random.Uint64(), 0
	if n.cluster.options.Defect == RepeatIncarnation {
		n.incarnation = 0
	}
	options := replica.Options{
		Self:  message.Member{Address: n.address, Identity: message.MemberID(fmt.Sprintf("node-%d-%d", n.index, n.identities)), Zone: n.zone()},
		Seeds: n.cluster.seeds(), Tolerance: n.cluster.options.Tolerance, LeaseDuration: leaseLength, FirstStart: first,
		Diskless: n.isVolatile(), Incarnation: n.incarnation,
	}
	var control message.ControlState
	var chain message.ChainState
	if n.control != nil {
		control = n.control.control
	}
	if n.chain != nil {
		chain = n.chain.chain
	}
	n.plantOnDisk(&control)
	n.replica = replica.New(options, n.judge(configuration.Validate), 0, control, chain)
	n.tick(n.life)
}

func (n *node) tick(life int) {
	if life != n.life {
		return
	}
	if !n.frozen {
		n.replica.SetDiskStalled(n.writing && n.cluster.now-n.writeBegan > stallNotice)
		n.act(n.replica.Tick(n.clock()))
		n.watchLease()
		n.claimComplete()
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
	n.wiped = n.cluster.now
	if n.cluster.options.Defect == KeepIdentityOnWipe {
		n.chain = nil
		return
	}
	n.control, n.chain = nil, nil
}

func (n *node) receive(m message.Message) {
	if n.replica == nil {
		return
	}
	if n.frozen {
		n.queued = append(n.queued, m)
		return
	}
	if m.ConfigResponse != nil {
		if m.To == n.replica.Identity() {
			n.cluster.deliverResult(n, m.ConfigResponse)
		}
		return
	}
	if n.refusesState(&m) {
		return
	}
	n.plantReplies(&m)
	n.act(n.replica.Step(n.clock(), &m))
	n.forgetGrant(&m)
	n.watchLease()
}

// nextCall numbers an operator's call as the process does: after its incarnation.
func (n *node) nextCall() uint64 {
	n.calls++
	return n.incarnation + n.calls
}
