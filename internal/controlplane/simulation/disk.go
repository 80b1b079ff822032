package simulation

import (
	"time"

	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/message"
)

const (
	// minSyncTime is the shortest time that a sync takes. A random time is added, which is below defaultSyncTime or
	// Options.MaxSyncTime, whichever is longer.
	minSyncTime     = time.Millisecond
	defaultSyncTime = 2 * time.Millisecond
)

// disk is a machine's disk, with the outputs that wait to be written to it.
type disk struct {
	controlState *message.ControlState // synced; nil: none
	chainState   *message.ChainState   // synced; nil: none

	isWriting      bool
	writeStart     time.Duration
	pendingOutputs []replica.Output // for the next write
	stalledUntil   time.Duration
}

// load returns the states on the disk, zero values where there are none.
func (d *disk) load() (control message.ControlState, chain message.ChainState) {
	if d.controlState != nil {
		control = *d.controlState
	}
	if d.chainState != nil {
		chain = *d.chainState
	}
	return control, chain
}

// write syncs all pending outputs in one batch, then sends the messages that waited for the sync.
func (n *node) write() {
	batch := n.pendingOutputs
	n.pendingOutputs = nil
	n.isWriting, n.writeStart = true, n.cluster.now
	duration := minSyncTime + n.cluster.randomDuration(max(defaultSyncTime, n.cluster.options.MaxSyncTime))
	if n.stalledUntil > n.cluster.now {
		duration += n.stalledUntil - n.cluster.now
	}
	generation := n.generation
	n.cluster.after(duration, func() {
		if generation != n.generation {
			return
		}
		n.persist(batch)
		n.isWriting = false
		for _, out := range batch {
			for _, m := range out.AfterSync {
				n.send(m)
			}
		}
		if len(n.pendingOutputs) > 0 {
			n.write()
		}
	})
}

func (n *node) persist(batch []replica.Output) {
	if n.isDiskless() {
		return
	}
	for _, out := range batch {
		if out.Control != nil {
			control := *out.Control
			n.controlState = &control
		}
		if out.Chain != nil {
			chain := *out.Chain
			n.chainState = &chain
		}
	}
}

func (n *node) loseDisk() {
	n.diskLostAt = n.cluster.now
	n.chainState = nil
	if n.cluster.options.Defect != KeepIdentityOnDiskLoss {
		n.controlState = nil
	}
}
