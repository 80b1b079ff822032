// Package faulttest is a harness that runs real processes on loopback and injects faults: relays between processes
// delay, throttle, hold and reset connections, and processes are frozen, thawed and killed. One history records all
// these events. The simulators test decisions with many seeds, but without processes and sockets; the harness tests real
// processes and the kernel's sockets between them. It signals and ends only processes that it has started.
package faulttest

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Harness owns the relays and processes that were started with it, until Close. It is safe for concurrent use.
type Harness struct {
	startedAt time.Time

	mu       sync.Mutex
	closed   bool
	cleanups []func() // of relays and processes, in the order of their starts
	events   []Event
}

// Event is an entry of the history. Its JSON form is stored.
type Event struct {
	At      time.Duration `json:"At"`  // since the harness was created
	Subject string        `json:"Who"` // name of a process or relay
	Text    string        `json:"What"`
}

// ErrClosed is the error of a start after Close.
var ErrClosed = errors.New("the harness is closed")

// New returns a harness with an empty history that starts now.
func New() *Harness { return &Harness{startedAt: time.Now()} }

// Record adds an event to the history.
func (h *Harness) Record(subject, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, Event{time.Since(h.startedAt), subject, fmt.Sprintf(format, args...)})
}

// History returns the events so far, in their order.
func (h *Harness) History() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// String returns the history as text, one line per event.
func (h *Harness) String() string {
	var text strings.Builder
	for _, e := range h.History() {
		fmt.Fprintf(&text, "%9.3f s  %-16s %s\n", e.At.Seconds(), e.Subject, e.Text)
	}
	return text.String()
}

// addCleanup makes Close call cleanup. It returns false if the harness is closed: then the caller must call cleanup.
func (h *Harness) addCleanup(cleanup func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.cleanups = append(h.cleanups, cleanup)
	return true
}

// Close ends all relays and processes, in the reverse order of their starts, and waits for their end.
func (h *Harness) Close() {
	h.mu.Lock()
	cleanups := h.cleanups
	h.closed, h.cleanups = true, nil
	h.mu.Unlock()
	for _, cleanup := range slices.Backward(cleanups) {
		cleanup()
	}
}
