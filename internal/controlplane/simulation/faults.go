package simulation

import (
	"time"

	"github.com/samber/lo"
)

// strike does one kind of harm to a machine.
func (c *Cluster) strike(n *node, f Fault) {
	n.countLost(c.now + f.Span)
	if c.isDiskless() && f.Kind == Leave {
		n.countDiskLost(c.now + graceTime + f.Span) // it ends within the grace time
	}
	switch f.Kind {
	case Kill:
		c.restart(n, restartTime, false)
	case PowerLoss:
		c.restart(n, f.Span, false)
	case Freeze:
		c.freeze(n, f.Span)
	case DiskStall:
		n.stalledUntil = max(n.stalledUntil, c.now+f.Span)
	case Cut, LongCut:
		c.cutBothWays([]*node{n}, c.slots, f.Span)
	case OneWayCut:
		if f.Draw%2 == 0 {
			c.cutWays([]*node{n}, c.slots, f.Span)
		} else {
			c.cutWays(c.slots, []*node{n}, f.Span)
		}
	case Wipe:
		c.restart(n, f.Span, true)
	case Replacement:
		c.replace(n, f.Span/4)
	case PlannedReplacement:
		c.replacePlanned(n)
	case Leave:
		c.leave(n, func() { c.restart(n, restartTime+f.Span/4, false) })
	}
}

// countLost notes that the machine counts as lost until it has been back for the time that it needs.
func (n *node) countLost(back time.Duration) { n.lostUntil = max(n.lostUntil, back+syncTime) }

// countDiskLost notes the same of its disk.
func (n *node) countDiskLost(back time.Duration) {
	n.countLost(back)
	n.diskLostUntil = max(n.diskLostUntil, back+syncTime)
}

// strikeWide does the harm that concerns all machines.
func (c *Cluster) strikeWide(f Fault) {
	ordered := lo.Map(f.Slots, func(slot int, _ int) *node { return c.slots[slot] })
	switch f.Kind {
	case PowerOffAll:
		wiped := int(f.Draw % uint64(c.options.Tolerance+1))
		for i, n := range ordered {
			c.restart(n, f.Span+c.spread(startSpread), i < wiped)
		}
	case CutBehind:
		behind := ordered[:min(f.Count, (len(ordered)-1)/2)]
		c.cutBothWays(behind, c.slots, 2*f.Span)
		c.after(2*f.Span, func() {
			wipe := len(c.withoutDisk()) == 0 && c.options.Tolerance > 0
			for i, slot := range f.Slots[len(behind):] {
				c.restart(c.slots[slot], f.Span+c.spread(startSpread), i == 0 && wipe)
			}
			c.allLostUntil(c.now + f.Span)
		})
		c.allLostUntil(c.now + 3*f.Span)
	case Halves:
		c.cutBothWays(ordered[:len(ordered)/2], ordered[len(ordered)/2:], 2*f.Span)
		c.allLostUntil(c.now + 2*f.Span)
	case Darkness:
		for _, n := range ordered[:min(len(ordered), c.options.Tolerance+1+int(f.Draw%3))] {
			c.restart(n, f.Span, false)
		}
	case KindLoss:
		kind := messageKind(f.Draw % uint64(messageKinds))
		c.network.lost[kind]++
		c.after(f.Span, func() { c.network.lost[kind]-- })
		c.allLostUntil(c.now + f.Span)
	}
}

func (c *Cluster) allLostUntil(back time.Duration) {
	for _, n := range c.slots {
		n.lostUntil = max(n.lostUntil, back+recoverTime)
	}
}

// restart takes a machine down and starts it again after a span.
func (c *Cluster) restart(n *node, span time.Duration, wipe bool) {
	if n.replica == nil {
		return
	}
	n.stop()
	n.countLost(c.now + span)
	if wipe || c.isDiskless() {
		n.wipe()
		n.countDiskLost(c.now + span)
	}
	life := n.life
	c.after(span, func() {
		if n.life == life && c.slots[n.slot] == n {
			n.start(false)
		}
	})
}

// replace takes a machine away for good; an empty one comes in its place at another address.
func (c *Cluster) replace(n *node, after time.Duration) {
	if n.replica != nil {
		n.stop()
	}
	successor := c.addNode(n.slot)
	successor.wiped = c.now
	successor.countDiskLost(c.now + after)
	c.slots[n.slot] = successor
	n.life++
	c.after(after, func() {
		if c.slots[n.slot] == successor { // else it was taken away before it came
			successor.start(false)
		}
	})
}

// replacePlanned starts the successor first, and then tells the machine to stop.
func (c *Cluster) replacePlanned(n *node) {
	if n.replica == nil {
		return
	}
	successor := c.addNode(n.slot)
	successor.wiped = c.now
	successor.countDiskLost(c.now + graceTime)
	successor.start(false)
	c.slots[n.slot] = successor
	c.after(time.Second, func() {
		c.leave(n, func() {
			if n.replica != nil {
				n.stop()
			}
		})
	})
}

// leave tells a machine to stop, and calls gone when it has left the view or its time is over.
func (c *Cluster) leave(n *node, gone func()) {
	if n.replica == nil {
		return
	}
	n.replica.SetLeaving()
	life, deadline := n.life, c.now+graceTime
	n.countLost(deadline)
	var look func()
	look = func() {
		if n.life != life {
			return
		}
		if n.replica.CanStop() && !n.frozen || c.now >= deadline {
			gone()
			return
		}
		c.after(tickEvery, look)
	}
	look()
}

func (c *Cluster) freeze(n *node, span time.Duration) {
	n.frozen = true
	life := n.life
	c.after(span, func() { n.thaw(life) })
}

func (n *node) thaw(life int) {
	if life != n.life || n.replica == nil || !n.frozen {
		return
	}
	n.frozen = false
	queued := n.queued
	n.queued = nil
	for _, m := range queued {
		if n.life == life {
			n.receive(m)
		}
	}
}

// afterAcknowledgement strikes, now and then, in the moment in which something was acknowledged.
func (c *Cluster) afterAcknowledgement(relay *node) {
	if c.now >= c.options.Length || c.options.Script != nil || c.random.IntN(strikeAfterAck) > 0 {
		return
	}
	f := Fault{Place: -1, At: c.now, Kind: PowerLoss, Span: time.Second, Slots: []int{relay.slot}, Count: 1}
	if c.random.IntN(2) == 0 {
		f.Kind = Wipe
	}
	if c.random.IntN(2) == 0 {
		f.Kind, f.Slots, f.Draw = PowerOffAll, c.random.Perm(len(c.slots)), c.random.Uint64()
	}
	if c.isAllowed(f) {
		c.strikeWhenAllowed(f)
	}
}

// strikeAfterAck is how many acknowledgements there are to one such strike.
const strikeAfterAck = 40

// ackStrikeDelay is how long after an acknowledgement it strikes at the most.
const ackStrikeDelay = 2 * time.Millisecond

// heal ends all harm; machines that are dark come back at their time.
func (c *Cluster) heal() {
	clear(c.network.cut)
	clear(c.network.lost)
	for _, n := range c.slots {
		n.stalledUntil = 0
		if n.frozen {
			n.thaw(n.life)
		}
	}
}
