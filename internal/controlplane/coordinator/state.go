package coordinator

import (
	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/lifecycle"
	"pumiceline/internal/message"
)

// Kinds of records on disk. If a crash leaves only a part of the records that are written together, it leaves those
// of the higher kinds. The control state says that the chain state is complete, so it must never be kept without the
// chain state.
const (
	controlRecord storage.Kind = 1 // a message.ControlState
	chainRecord   storage.Kind = 2 // a message.ChainState, with message.ChangeRecords appended
)

// storedState is the state that a process finds on disk when it starts.
type storedState struct {
	ring    *storage.Ring // nil on a machine without a disk
	control message.ControlState
	chain   message.ChainState
}

// openState opens the state folder and reads the state. An empty dir stands for a machine without a disk, which has
// no state. It returns once the contents are durable: a member must not send messages about state that it could still
// lose in a power failure. The error is permanent if the records are not readable.
func openState(dir string) (*storedState, error) {
	if dir == "" {
		return &storedState{}, nil
	}
	ring, err := storage.Open(dir)
	if err != nil {
		return nil, errors.Wrap(err, "open the state folder")
	}
	if err := ring.SyncFound(); err != nil {
		ring.Close()
		return nil, errors.Wrap(err, "sync the state on disk")
	}
	stored := &storedState{ring: ring}
	if err := stored.readControl(); err != nil {
		return nil, lifecycle.Permanent(err)
	}
	if err := stored.readChain(); err != nil {
		return nil, lifecycle.Permanent(err)
	}
	return stored, nil
}

func (s *storedState) readControl() error {
	record := s.ring.Newest(controlRecord)
	if record == nil {
		return nil
	}
	return errors.Wrap(message.Decode(&s.control, record), "decode the control state on disk")
}

// readChain reads the chain state and applies the changes that were appended to it.
func (s *storedState) readChain() error {
	if record := s.ring.Newest(chainRecord); record != nil {
		if err := message.Decode(&s.chain, record); err != nil {
			return errors.Wrap(err, "decode the configuration on disk")
		}
	}
	for i, record := range s.ring.Appended(chainRecord) {
		var change message.ChangeRecord
		if err := message.Decode(&change, record); err != nil {
			return errors.Wrapf(err, "decode change %d after the configuration on disk", i+1)
		}
		next, err := replica.ApplyChange(&s.chain, &change)
		if err != nil {
			return errors.Wrapf(err, "apply change %d after the configuration on disk", i+1)
		}
		s.chain = next
	}
	return nil
}

func encodeChanges(changes []message.ChangeRecord) ([][]byte, error) {
	var records [][]byte
	for i := range changes {
		record, err := changes[i].MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "encode a change")
		}
		records = append(records, record)
	}
	return records, nil
}

// framesBytes returns how many bytes the records take in the ring.
func framesBytes(records [][]byte) int {
	size := 0
	for _, record := range records {
		size += storage.FrameBytes(record)
	}
	return size
}

// encodeRecords encodes the given states. It omits a state that is nil.
func encodeRecords(control *message.ControlState, chain *message.ChainState) (map[storage.Kind][]byte, error) {
	records := map[storage.Kind][]byte{}
	if control != nil {
		record, err := control.MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "encode the control state")
		}
		records[controlRecord] = record
	}
	if chain != nil {
		record, err := chain.MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "encode the chain state")
		}
		records[chainRecord] = record
	}
	return records, nil
}
