package coordinator

import (
	"path/filepath"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/epoch"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/message"
)

// The coordination state of applications has a ring of its own, so that neither its syncs nor its size delay the
// control state.
const (
	coordinationDir          = "coordination"
	coordinationSegmentBytes = 4 << 20
	// maxAppendedWrites is how many writes are appended before the state is written in full again. It bounds how much
	// is read at a start.
	maxAppendedWrites = 2048
)

// Kinds of records in the ring of the coordination state. If a crash leaves only a part of the records that are
// written together, it leaves those of the higher kinds: an epoch record is never kept without the state that was
// written with it.
const (
	epochRecord             storage.Kind = 1 // a message.CoordinationRecord
	coordinationStateRecord storage.Kind = 2 // a message.CoordinationState, with message.CoordinationWrites appended
)

// storedCoordination is the coordination state that a process finds on disk when it starts.
type storedCoordination struct {
	epoch.Stored
	ring *storage.Ring // nil on a machine without a disk
}

// openCoordinationState opens the ring of the coordination state in the state folder, and reads the state. An empty
// dir stands for a machine without a disk. The error is permanent if the records are not readable.
func openCoordinationState(dir string) (*storedCoordination, error) {
	if dir == "" {
		return &storedCoordination{}, nil
	}
	ring, err := storage.OpenSized(filepath.Join(dir, coordinationDir), coordinationSegmentBytes)
	if err != nil {
		return nil, errors.Wrap(err, "open the folder of the coordination state")
	}
	if err := ring.SyncFound(); err != nil {
		ring.Close()
		return nil, errors.Wrap(err, "sync the coordination state on disk")
	}
	stored, err := readCoordinationState(ring)
	return &storedCoordination{Stored: stored, ring: ring}, lifecycle.Permanent(err)
}

// readCoordinationState decodes the state in a ring.
func readCoordinationState(ring *storage.Ring) (stored epoch.Stored, err error) {
	if record := ring.Newest(epochRecord); record != nil {
		if err := message.Decode(&stored.Record, record); err != nil {
			return stored, errors.Wrap(err, "decode the epoch record on disk")
		}
	}
	if record := ring.Newest(coordinationStateRecord); record != nil {
		if err := message.Decode(&stored.State, record); err != nil {
			return stored, errors.Wrap(err, "decode the coordination state on disk")
		}
	}
	for i, record := range ring.Appended(coordinationStateRecord) {
		var write message.CoordinationWrite
		if err := message.Decode(&write, record); err != nil {
			return stored, errors.Wrapf(err, "decode write %d after the coordination state on disk", i+1)
		}
		stored.Writes = append(stored.Writes, write)
	}
	return stored, nil
}

// coordinationWriter syncs the records of the coordination state in order, and sends the messages that wait for them.
type coordinationWriter struct {
	*syncQueue[epoch.Output]
	ring *storage.Ring // nil on a machine without a disk

	appended int // writes appended since the state was written in full; owned by the goroutine of run
}

// newCoordinationWriter makes a writer. It calls send with messages once their records are synced.
func newCoordinationWriter(ring *storage.Ring, send func([]message.Message)) *coordinationWriter {
	w := &coordinationWriter{ring: ring}
	w.syncQueue = newSyncQueue(w.write, func(out *epoch.Output) { send(out.AfterSync) })
	return w
}

// coordinationBatch is the records of several outputs, to be written together. Only the newest epoch record is written.
type coordinationBatch struct {
	record *message.CoordinationRecord
	state  *message.CoordinationState // nil: the writes extend the stored state
	writes []message.CoordinationWrite
}

func newCoordinationBatch(outputs []epoch.Output) *coordinationBatch {
	batch := &coordinationBatch{}
	for i := range outputs {
		out := &outputs[i]
		if out.Record != nil {
			batch.record = out.Record
		}
		if out.State != nil {
			batch.state, batch.writes = out.State, nil
		}
		batch.writes = append(batch.writes, out.Writes...)
	}
	return batch
}

// write syncs the records of some outputs.
func (w *coordinationWriter) write(outputs []epoch.Output) {
	batch := newCoordinationBatch(outputs)
	isEmpty := batch.record == nil && batch.state == nil && len(batch.writes) == 0
	if w.ring == nil || isEmpty {
		return
	}
	retryUntilSynced(func() error { return w.tryWrite(batch) })
}

// tryWrite appends the batch's writes to the state on disk where possible, else it writes the state in full.
func (w *coordinationWriter) tryWrite(batch *coordinationBatch) error {
	records := map[storage.Kind][]byte{}
	if batch.record != nil {
		encoded, err := batch.record.MarshalMsg(nil)
		if err != nil {
			return errors.Wrap(err, "encode the epoch record")
		}
		records[epochRecord] = encoded
	}
	writes, err := encodeWrites(batch.writes)
	if err != nil {
		return err
	}
	canAppend := batch.state == nil && w.ring.Newest(coordinationStateRecord) != nil &&
		w.appended+len(writes) <= maxAppendedWrites && w.ring.CanAppend(framesBytes(writes), records)
	switch {
	case canAppend && len(writes) > 0:
		w.appended += len(writes)
		return w.ring.Append(coordinationStateRecord, writes, records)
	case canAppend:
		return w.ring.Write(records)
	}
	return w.writeComplete(batch, records)
}

// writeComplete writes the state in full, together with other records. If the batch has no complete state, the state
// on disk is extended by the writes that were appended to it and by those of the batch.
func (w *coordinationWriter) writeComplete(batch *coordinationBatch, records map[storage.Kind][]byte) error {
	var stored epoch.Stored
	if batch.state != nil {
		stored.State = *batch.state
	} else {
		var err error
		if stored, err = readCoordinationState(w.ring); err != nil {
			return err
		}
	}
	stored.Writes = append(stored.Writes, batch.writes...)
	state := epoch.Replay(stored)
	encoded, err := state.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "encode the coordination state")
	}
	records[coordinationStateRecord] = encoded
	w.appended = 0
	return w.ring.Write(records)
}

func encodeWrites(writes []message.CoordinationWrite) ([][]byte, error) {
	var records [][]byte
	for i := range writes {
		record, err := writes[i].MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "encode a write of the coordination state")
		}
		records = append(records, record)
	}
	return records, nil
}
