package coordinator

import (
	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/message"
)

// maxAppendedChanges is how many changes are appended before the chain state is written in full again. It bounds how
// much is read at a start.
const maxAppendedChanges = 256

// stateWriter syncs the replica's records in order, and sends the messages that wait for them.
type stateWriter struct {
	*syncQueue[replica.Output]
	ring *storage.Ring // nil on a machine without a disk

	// Owned by the goroutine of run.
	chain    *message.ChainState // as of the newest output taken from the queue
	appended int                 // changes appended since the chain state was written in full
}

// newStateWriter makes a writer for a ring that holds chain. It calls send with messages once their records are synced.
func newStateWriter(ring *storage.Ring, chain *message.ChainState, send func([]message.Message)) *stateWriter {
	w := &stateWriter{ring: ring, chain: chain}
	w.syncQueue = newSyncQueue(w.write, func(out *replica.Output) { send(out.AfterSync) })
	return w
}

// write syncs the records of several outputs. It retries until they are synced, as no output may be skipped.
func (w *stateWriter) write(outputs []replica.Output) {
	if w.ring == nil {
		return
	}
	batch := w.newBatch(outputs)
	if batch.isEmpty() {
		return
	}
	retryUntilSynced(func() error { return w.tryWrite(batch) })
}

// writeBatch is the records of several outputs, to be written together. Only the newest control state is written.
type writeBatch struct {
	control       *message.ControlState // nil: unchanged
	changes       []message.ChangeRecord
	replacesChain bool // the chain state was replaced, for example by a snapshot, and not only extended by changes
}

func (b *writeBatch) isEmpty() bool {
	return b.control == nil && !b.replacesChain && len(b.changes) == 0
}

func (w *stateWriter) newBatch(outputs []replica.Output) *writeBatch {
	batch := &writeBatch{}
	for i := range outputs {
		out := &outputs[i]
		if out.Control != nil {
			batch.control = out.Control
		}
		if out.Chain != nil {
			w.chain = out.Chain
			batch.changes = append(batch.changes, out.AppendedRecords...)
			batch.replacesChain = batch.replacesChain || len(out.AppendedRecords) == 0
		}
	}
	return batch
}

// tryWrite appends the batch's changes to the chain state on disk where possible, else it writes the chain state in full.
func (w *stateWriter) tryWrite(batch *writeBatch) error {
	records, err := encodeRecords(batch.control, nil)
	if err != nil {
		return err
	}
	changes, err := encodeChanges(batch.changes)
	if err != nil {
		return err
	}
	canAppend := !batch.replacesChain && w.appended+len(changes) <= maxAppendedChanges &&
		w.ring.CanAppend(framesBytes(changes), records)
	if canAppend && len(changes) > 0 {
		w.appended += len(changes)
		return w.ring.Append(chainRecord, changes, records)
	}
	if canAppend {
		return w.ring.Write(records)
	}
	w.appended = 0
	if records, err = encodeRecords(batch.control, w.chain); err != nil {
		return err
	}
	return w.ring.Write(records)
}
