package coordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/message"
)

const (
	writeRetryDelay = 50 * time.Millisecond
	// diskStallThreshold is how long a write may take until the disk counts as stalled, and the member as unhealthy.
	diskStallThreshold = 600 * time.Millisecond
	// maxAppendedChanges is how many changes are appended until the chain state is written in full again. It bounds how
	// much a start has to read.
	maxAppendedChanges = 256
)

// stateWriter syncs the replica's records in order, and sends the messages that wait for them. One goroutine (run)
// writes; outputs that come meanwhile are written together as the next batch.
type stateWriter struct {
	ring   *storage.Ring // nil on a machine without a disk
	send   func([]message.Message)
	signal chan struct{} // holds one signal: the queue is not empty

	mutex sync.Mutex // guards queue
	queue []replica.Output

	started   time.Time
	busySince atomic.Int64 // start of the present write, in nanoseconds after started; 0: idle

	// Of the goroutine that runs run.
	chain    *message.ChainState // as of the newest output that was taken from the queue
	appended int                 // changes appended since the chain state was written in full
}

// newStateWriter makes a writer for a ring that holds chain. It hands messages to send once their records are synced.
func newStateWriter(ring *storage.Ring, chain *message.ChainState, send func([]message.Message)) *stateWriter {
	return &stateWriter{ring: ring, chain: chain, send: send, signal: make(chan struct{}, 1), started: time.Now()}
}

// enqueue adds an output, which is written after all earlier ones.
func (w *stateWriter) enqueue(out replica.Output) {
	w.mutex.Lock()
	w.queue = append(w.queue, out)
	w.mutex.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// isStalled reports whether the present write has taken longer than diskStallThreshold. Any goroutine may call it.
func (w *stateWriter) isStalled() bool {
	since := w.busySince.Load()
	return since != 0 && time.Since(w.started)-time.Duration(since) > diskStallThreshold
}

// run writes until the process ends.
func (w *stateWriter) run() {
	for range w.signal {
		w.mutex.Lock()
		outputs := w.queue
		w.queue = nil
		w.mutex.Unlock()
		w.write(outputs)
		for _, out := range outputs {
			w.send(out.AfterSync)
		}
	}
}

// write syncs the records of some outputs. It retries until they are synced: no output may be skipped.
func (w *stateWriter) write(outputs []replica.Output) {
	if w.ring == nil {
		return
	}
	batch := w.newBatch(outputs)
	if batch.isEmpty() {
		return
	}
	w.busySince.Store(int64(time.Since(w.started)) + 1) // never 0, which stands for idle
	defer w.busySince.Store(0)
	for attempt := 1; ; attempt++ {
		err := w.tryWrite(batch)
		if err == nil {
			return
		}
		if attempt == 1 {
			logrus.WithError(err).Warn("state write failed, retrying")
		}
		time.Sleep(writeRetryDelay)
	}
}

// writeBatch is the records of some outputs, to be written together. Of the control state only the newest counts.
type writeBatch struct {
	control       *message.ControlState // nil: unchanged
	changes       []message.ChangeRecord
	replacesChain bool // the chain state was replaced, as by a snapshot, not only extended by changes
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
