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
	chain     *message.ChainState // the newest
	added     int                 // changes since it was written whole
}

// newWriter makes a writer for a ring that holds chain.
func newWriter(ring *storage.Ring, chain *message.ChainState, deliver func([]message.Message)) *writer {
	return &writer{ring: ring, chain: chain, deliver: deliver, signal: make(chan struct{}, 1), started: time.Now()}
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

// maxAdditions is after how many changes the state is written whole again: that bounds what a start has to read.
const maxAdditions = 256

// write syncs a batch; it returns only when it is kept.
func (w *writer) write(batch []replica.Output) {
	if w.ring == nil {
		return // a machine without a disk keeps what it has in memory
	}
	wanted := w.gather(batch)
	if wanted.isEmpty() {
		return
	}
	w.busySince.Store(int64(time.Since(w.started)) + 1)
	defer w.busySince.Store(0)
	for attempt := 0; ; attempt++ {
		err := w.writeOnce(wanted)
		if err == nil {
			return
		}
		if attempt == 0 {
			logrus.WithError(err).Warn("the disk refuses a write; trying again")
		}
		time.Sleep(rewriteAfter)
	}
}

// gathered is what a batch comes to.
type gathered struct {
	control   *message.ControlState
	additions []message.ChangeRecord
	whole     bool // the configuration was replaced, not added to
}

func (g *gathered) isEmpty() bool { return g.control == nil && !g.whole && len(g.additions) == 0 }

func (w *writer) gather(batch []replica.Output) *gathered {
	g := &gathered{}
	for i := range batch {
		out := &batch[i]
		if out.Control != nil {
			g.control = out.Control
		}
		if out.Chain != nil {
			w.chain = out.Chain
			g.additions = append(g.additions, out.Additions...)
			g.whole = g.whole || len(out.Additions) == 0
		}
	}
	return g
}

// writeOnce adds the changes to the configuration on disk where that will do, else it writes the configuration whole.
func (w *writer) writeOnce(wanted *gathered) error {
	records, err := encodeRecords(wanted.control, nil)
	if err != nil {
		return err
	}
	additions, size, err := encodeAdditions(wanted.additions)
	if err != nil {
		return err
	}
	mayAdd := !wanted.whole && w.ring.CanAdd(size, records) && w.added+len(additions) <= maxAdditions
	if mayAdd && len(additions) > 0 {
		w.added += len(additions)
		return w.ring.Add(chainRecord, additions, records)
	}
	if mayAdd {
		return w.ring.Write(records)
	}
	w.added = 0
	if records, err = encodeRecords(wanted.control, w.chain); err != nil {
		return err
	}
	return w.ring.Write(records)
}

func encodeAdditions(changes []message.ChangeRecord) (texts [][]byte, size int, err error) {
	for i := range changes {
		text, err := changes[i].MarshalMsg(nil)
		if err != nil {
			return nil, 0, errors.Wrap(err, "a change")
		}
		texts = append(texts, text)
		size += storage.AdditionBytes(text)
	}
	return texts, size, nil
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
	for i, text := range ring.Added(chainRecord) {
		var change message.ChangeRecord
		if _, err = change.UnmarshalMsg(text); err != nil {
			return control, chain, errors.Wrapf(err, "change %d after the configuration on disk", i+1)
		}
		if chain, err = replica.Extend(&chain, &change); err != nil {
			return control, chain, errors.Wrapf(err, "change %d after the configuration on disk", i+1)
		}
	}
	return control, chain, nil
}
