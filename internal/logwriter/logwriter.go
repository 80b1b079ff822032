// Package logwriter writes a process's log so that nobody who reads it, or does not, can delay or end the process.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"pumiceline/internal/logkey"
)

// maxQueuedBytes bounds the log records that wait for the reader of the log.
const maxQueuedBytes = 256 << 10

// Writer passes log records on to an output in the background, so that an output that blocks or fails neither delays
// nor ends the process. Records that do not fit into the queue, and records that the output does not take, are dropped
// and counted.
type Writer struct {
	output io.Writer

	mutex       sync.Mutex
	changed     *sync.Cond // signalled after each change of what follows
	queue       [][]byte
	queuedBytes int // of queue, and of the record that is being written
	dropped     int64
	reported    int64 // of dropped: a record told of them
}

// New makes a writer, whose goroutine runs until the process ends.
func New(output io.Writer) *Writer {
	w := &Writer{output: output}
	w.changed = sync.NewCond(&w.mutex)
	go w.run()
	return w
}

// Write queues a record. It never waits for the output, and never fails.
func (w *Writer) Write(record []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.queuedBytes+len(record) > maxQueuedBytes {
		w.dropped++
		return len(record), nil
	}
	w.queue = append(w.queue, append([]byte(nil), record...)) // the logger uses its buffer again
	w.queuedBytes += len(record)
	w.changed.Broadcast()
	return len(record), nil
}

// Dropped returns the number of records that were dropped.
func (w *Writer) Dropped() int64 {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.dropped
}

func (w *Writer) run() {
	for {
		record := w.next()
		_, err := w.output.Write(record)
		w.finish(record, err)
	}
}

// next waits for a record. Before it, the output gets the number of records that were dropped since it last did.
func (w *Writer) next() []byte {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for len(w.queue) == 0 {
		w.changed.Wait()
	}
	record := w.queue[0]
	w.queue = w.queue[1:]
	if w.dropped > w.reported {
		notice := fmt.Sprintf("time=%q level=warning msg=\"log records were dropped\" %s=%d\n",
			time.Now().Format(time.RFC3339), logkey.DroppedRecords, w.dropped-w.reported)
		w.reported = w.dropped
		w.queuedBytes += len(notice)
		record = append([]byte(notice), record...)
	}
	return record
}

func (w *Writer) finish(record []byte, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queuedBytes -= len(record)
	if err != nil {
		w.dropped++
	}
	w.changed.Broadcast()
}

// Flush waits until all records are written, for at most a time.
func (w *Writer) Flush(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	wake := time.AfterFunc(timeout, w.changed.Broadcast)
	defer wake.Stop()
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for w.queuedBytes > 0 && time.Now().Before(deadline) {
		w.changed.Wait()
	}
}
