package coordinator

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	writeRetryDelay = 50 * time.Millisecond
	// diskStallThreshold is how long a write may take before the disk counts as stalled, and the member as unhealthy.
	diskStallThreshold = 600 * time.Millisecond
)

// syncQueue carries out the outputs of a state machine in order: it syncs their records, and then sends the messages
// that wait for them. One goroutine (run) writes. Outputs that are enqueued during a write are written together as
// the next batch.
type syncQueue[O any] struct {
	write  func([]O)     // returns once the records of the outputs are synced
	send   func(*O)      // sends the messages that wait for an output's records
	signal chan struct{} // has a signal when the queue may be non-empty; capacity 1

	mutex  sync.Mutex // guards what follows
	queue  []O
	isBusy bool // outputs that were taken from the queue are being carried out

	started   time.Time
	busySince atomic.Int64 // start of the write in progress, in nanoseconds after started; 0: none
}

func newSyncQueue[O any](write func([]O), send func(*O)) *syncQueue[O] {
	return &syncQueue[O]{write: write, send: send, signal: make(chan struct{}, 1), started: time.Now()}
}

// enqueue adds an output, which is written after all earlier ones.
func (q *syncQueue[O]) enqueue(out O) {
	q.mutex.Lock()
	q.queue = append(q.queue, out)
	q.mutex.Unlock()
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// isIdle reports whether every output has been carried out. Only the goroutine that calls enqueue may rely on the
// result: in any other, an output may be enqueued right after the call.
func (q *syncQueue[O]) isIdle() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.queue) == 0 && !q.isBusy
}

// isStalled reports whether the write in progress has taken longer than diskStallThreshold. It is safe for concurrent
// use.
func (q *syncQueue[O]) isStalled() bool {
	since := q.busySince.Load()
	return since != 0 && time.Since(q.started)-time.Duration(since) > diskStallThreshold
}

// run writes until the process ends.
func (q *syncQueue[O]) run() {
	for range q.signal {
		q.mutex.Lock()
		outputs := q.queue
		q.queue = nil
		q.isBusy = true
		q.mutex.Unlock()
		q.busySince.Store(int64(time.Since(q.started)) + 1) // never 0, which stands for no write
		q.write(outputs)
		q.busySince.Store(0)
		for i := range outputs {
			q.send(&outputs[i])
		}
		q.mutex.Lock()
		q.isBusy = false
		q.mutex.Unlock()
	}
}

// retryUntilSynced repeats a write until it succeeds, as no output may be skipped.
func retryUntilSynced(write func() error) {
	for attempt := 1; ; attempt++ {
		err := write()
		if err == nil {
			return
		}
		if attempt == 1 {
			logrus.WithError(err).Warn("state write failed, retrying")
		}
		time.Sleep(writeRetryDelay)
	}
}
