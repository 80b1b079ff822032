package coordinationsim

import (
	"time"

	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/message"
)

const (
	minSyncTime    = time.Millisecond
	syncTimeSpread = 2 * time.Millisecond
	// fullDiskRetryInterval is the pause before a write that a full disk refused is retried.
	fullDiskRetryInterval = 100 * time.Millisecond
)

// disk is a machine's disk, with the outputs that wait to be written to it. Its stored part survives a restart of the
// process.
type disk struct {
	identity message.MemberID // of the coordinator, drawn when the disk is first written
	voters   membershipView   // the newest membership that the process has received
	stored   epoch.Stored     // synced

	isWriting      bool
	inProgress     []epoch.Output // being written, not synced yet
	pendingOutputs []epoch.Output // for the next write
	stalledUntil   time.Duration
	fullUntil      time.Duration
}

// diskRecord is one record of a write. Exactly one field is set. An interrupted write leaves any prefix of its records.
type diskRecord struct {
	state  *message.CoordinationState
	write  *message.CoordinationWrite
	record *message.CoordinationRecord
}

// recordsOf returns the records of outputs in the order in which they are stored.
func recordsOf(outputs []epoch.Output) (records []diskRecord) {
	for _, out := range outputs {
		if out.State != nil {
			records = append(records, diskRecord{state: out.State})
		}
		for i := range out.Writes {
			records = append(records, diskRecord{write: &out.Writes[i]})
		}
		if out.Record != nil {
			records = append(records, diskRecord{record: out.Record})
		}
	}
	return records
}

// persist adds records to the state that a restarted process loads.
func (d *disk) persist(records []diskRecord) {
	for _, r := range records {
		switch {
		case r.state != nil:
			d.stored.State, d.stored.Writes = copyState(r.state), nil
		case r.write != nil:
			d.stored.Writes = append(d.stored.Writes, *r.write)
		default:
			d.stored.Record = *r.record
		}
	}
}

// load returns a copy of the stored state for a starting process, which may change it.
func (d *disk) load() epoch.Stored {
	found := d.stored
	found.State = copyState(&d.stored.State)
	found.Writes = append([]message.CoordinationWrite(nil), d.stored.Writes...)
	return found
}

// erase empties the disk.
func (d *disk) erase() { *d = disk{} }

// copyState encodes and decodes a state, as a write and a read of a disk do, so the copy shares no memory with the
// original.
func copyState(state *message.CoordinationState) message.CoordinationState {
	encoded, err := state.MarshalMsg(nil)
	if err != nil {
		panic(err) // cannot fail: the state is valid and is encoded into memory
	}
	var copied message.CoordinationState
	if _, err := copied.UnmarshalMsg(encoded); err != nil {
		panic(err)
	}
	return copied
}

// write starts one write of all pending outputs.
func (n *node) write() {
	n.inProgress, n.pendingOutputs = n.pendingOutputs, nil
	n.isWriting = true
	n.sync(n.generation)
}

// sync ends the write after a random time. While the disk is full the write is refused and retried.
func (n *node) sync(generation int) {
	c := n.cluster
	if n.generation != generation {
		return
	}
	if c.now < n.fullUntil {
		c.after(fullDiskRetryInterval, func() { n.sync(generation) })
		return
	}
	duration := minSyncTime + c.randomDuration(syncTimeSpread) + max(0, n.stalledUntil-c.now)
	c.after(duration, func() {
		if n.generation != generation {
			return
		}
		n.persist(recordsOf(n.inProgress))
		n.run(n.finishWrite)
	})
}

// finishWrite starts the next write and sends the messages that waited for the finished one.
func (n *node) finishWrite() {
	written, generation := n.inProgress, n.generation
	n.inProgress, n.isWriting = nil, false
	if len(n.pendingOutputs) > 0 {
		n.write()
	}
	for _, out := range written {
		n.sendAll(out.AfterSync)
		if n.cluster.options.Defect == LosePromise {
			n.restartAfterPromise(out.AfterSync)
		}
		if n.generation != generation {
			return
		}
	}
}

// interruptWrite ends a write in progress and leaves a random prefix of its records on the disk, as a crash of the
// process or a power loss does.
func (n *node) interruptWrite() {
	if n.isWriting && n.cluster.now >= n.fullUntil {
		records := recordsOf(n.inProgress)
		n.persist(records[:n.cluster.random.IntN(len(records)+1)])
	}
	n.inProgress, n.pendingOutputs, n.isWriting = nil, nil, false
}
