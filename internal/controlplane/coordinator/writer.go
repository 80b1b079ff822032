package coordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/replica"
	"pumiceline/internal/controlplane/storage"
	"pumiceline/internal/message"
)

// Kinds of records on disk.
const (
	controlRecord storage.Kind = 1
	chainRecord   storage.Kind = 2
)

const (
	rewriteAfter = 50 * time.Millisecond  // pause after a refused write
	stalledAfter = 600 * time.Millisecond // a write that takes longer makes the disk count as stalled
)

// writer syncs the replica's records in order and lets the messages out that wait for them.
type writer struct {
	ring      *storage.Ring
	deliver   func([]message.Message)
	mutex     sync.Mutex
	pending   []replica.Output
	signal    chan struct{}
	busySince atomic.Int64 // nanoseconds since the start of the process; 0: idle
	started   time.Time
}

func newWriter(ring *storage.Ring, deliver func([]message.Message)) *writer {
	return &writer{ring: ring, deliver: deliver, signal: make(chan struct{}, 1), started: time.Now()}
}

// enqueue adds an output; the writer carries outputs out in order.
func (w *writer) enqueue(out replica.Output) {
	w.mutex.Lock()
	w.pending = append(w.pending, out)
	w.mutex.Unlock()
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// isStalled reports whether the running write has taken too long.
func (w *writer) isStalled() bool {
	since := w.busySince.Load()
	return since != 0 && time.Since(w.started)-time.Duration(since) > stalledAfter
}

func (w *writer) run() {
	for range w.signal {
		w.mutex.Lock()
		batch := w.pending
		w.pending = nil
		w.mutex.Unlock()
		w.write(batch)
		for _, out := range batch {
			w.deliver(out.AfterSync)
		}
	}
}

// write syncs the newest records of a batch; it returns only when they are kept.
func (w *writer) write(batch []replica.Output) {
	if w.ring == nil {
		return // a machine without a disk keeps what it has in memory
	}
	var control *message.ControlState
	var chain *message.ChainState
	for _, out := range batch {
		if out.Control != nil {
			control = out.Control
		}
		if out.Chain != nil {
			chain = out.Chain
		}
	}
	records, err := encodeRecords(control, chain)
	if err != nil {
		logrus.WithError(err).Error("a record cannot be encoded")
	}
	if len(records) == 0 {
		return
	}
	w.busySince.Store(int64(time.Since(w.started)) + 1)
	defer w.busySince.Store(0)
	for attempt := 0; ; attempt++ {
		if err = w.ring.Write(records); err == nil {
			return
		}
		if attempt == 0 {
			logrus.WithError(err).Warn("the disk refuses a write; trying again")
		}
		time.Sleep(rewriteAfter)
	}
}

func encodeRecords(control *message.ControlState, chain *message.ChainState) (map[storage.Kind][]byte, error) {
	records := map[storage.Kind][]byte{}
	if control != nil {
		text, err := control.MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "the control state")
		}
		records[controlRecord] = text
	}
	if chain != nil {
		text, err := chain.MarshalMsg(nil)
		if err != nil {
			return nil, errors.Wrap(err, "the configuration")
		}
		records[chainRecord] = text
	}
	return records, nil
}

// openState opens the state folder and reads it; on a machine without a disk there is neither ring nor state.
func openState(dir string) (ring *storage.Ring, control message.ControlState, chain message.ChainState, err error) {
	if dir == "" {
		return nil, control, chain, nil
	}
	if ring, err = storage.Open(dir); err != nil {
		return nil, control, chain, err
	}
	control, chain, err = load(ring)
	return ring, control, chain, err
}

// load reads what the disk holds.
func load(ring *storage.Ring) (control message.ControlState, chain message.ChainState, err error) {
	if text := ring.Newest(controlRecord); text != nil {
		if _, err = control.UnmarshalMsg(text); err != nil {
			return control, chain, errors.Wrap(err, "the control state on disk")
		}
	}
	if text := ring.Newest(chainRecord); text != nil {
		if _, err = chain.UnmarshalMsg(text); err != nil {
			return control, chain, errors.Wrap(err, "the configuration on disk")
		}
	}
	return control, chain, nil
}
