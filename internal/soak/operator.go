package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pumiceline/internal/ctxtime"
)

// Times of the operators' calls.
const (
	callTimeout          = time.Second // timeout of one call; the next call goes to another coordinator
	firstBackoff         = 50 * time.Millisecond
	maxBackoff           = 500 * time.Millisecond
	readInterval         = 150 * time.Millisecond
	maxConcurrentChanges = 8 // upper bound of changes in progress
)

// operators change and read the configuration. Changes are numbered in the order in which they begin.
type operators struct {
	coordinators *coordinatorList
	recorder     *recorder
	http         *http.Client
	slots        chan struct{} // semaphore; one element for each change in progress
	sequential   sync.Mutex    // held by a change that does not race; a racing change does not take it

	mu          sync.Mutex
	changeCount int    // changes begun so far
	callCount   int    // calls made so far; selects the next coordinator
	invalid     int    // invalid changes begun so far; selects the next of invalidChanges
	version     uint64 // newest version known to be in force
	marker      string // marker of that version
}

func newOperators(coordinators *coordinatorList, r *recorder) *operators {
	return &operators{
		coordinators: coordinators, recorder: r, slots: make(chan struct{}, maxConcurrentChanges),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxConcurrentChanges}},
	}
}

// change makes the change of a step. It returns after a clear answer, or when ctx ends.
func (o *operators) change(ctx context.Context, step Step) error {
	if !step.Racing {
		o.sequential.Lock()
		defer o.sequential.Unlock()
	}
	o.slots <- struct{}{}
	defer func() { <-o.slots }()
	c, err := o.begin(step)
	if err != nil {
		return err
	}
	o.sendUntilClear(ctx, c)
	if step.Resend && c.isAcknowledged {
		c.isAcknowledged = false
		o.sendUntilClear(ctx, c)
	}
	return nil
}

// changeCall is a change in progress.
type changeCall struct {
	index          int // in the history
	method         string
	base           uint64
	version        uint64
	marker         string
	body           []byte
	isAcknowledged bool
}

// begin creates and records the change of a step on top of the newest known version.
func (o *operators) begin(step Step) (*changeCall, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changeCount++
	c := &changeCall{method: http.MethodPut, base: o.version, version: o.version + step.VersionStep,
		marker: fmt.Sprintf("marker%d", o.changeCount)}
	invalid := ""
	var err error
	switch step.Action {
	case ActionPatch:
		c.method = http.MethodPatch
		c.body, err = patchBody(c.version, c.marker, o.marker)
	case ActionInvalid:
		kind := invalidChanges[o.invalid%len(invalidChanges)]
		o.invalid++
		c.method, invalid = kind.method, kind.name
		c.body, err = kind.body(c)
	default:
		c.body, err = putBody(c.version, c.marker, false)
	}
	if err != nil {
		return nil, err
	}
	o.recorder.edit(func(h *History) {
		c.index = len(h.Changes)
		h.Changes = append(h.Changes, Change{Marker: c.marker, Base: c.base, Version: c.version, IsInvalid: invalid != "", Fault: invalid})
	})
	return c, nil
}

// sendUntilClear sends the same change to the coordinators in turn until one gives a clear answer.
func (o *operators) sendUntilClear(ctx context.Context, c *changeCall) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		n := o.nextCoordinator()
		attempt := Attempt{Node: n.Name, SentAt: o.recorder.now()}
		index := o.recordAttempt(c, attempt)
		attempt.Status, _ = o.call(ctx, c.method, n, c.base, c.body)
		attempt.EndedAt = o.recorder.now()
		o.recorder.edit(func(h *History) { h.Changes[c.index].Attempts[index] = attempt })
		if attempt.Status == http.StatusOK {
			c.isAcknowledged = true
			o.updateNewest(c.version, c.marker)
			return
		}
		if isClearRejection(attempt.Status) {
			o.refresh(ctx)
			return
		}
		_ = ctxtime.Sleep(ctx, backoff) // the loop ends with ctx
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordAttempt records an attempt before it is sent, because the change may be in force from then on.
func (o *operators) recordAttempt(c *changeCall, attempt Attempt) (index int) {
	attempt.EndedAt = unendedAttempt
	o.recorder.edit(func(h *History) {
		index = len(h.Changes[c.index].Attempts)
		h.Changes[c.index].Attempts = append(h.Changes[c.index].Attempts, attempt)
	})
	return index
}

// unendedAttempt is the end time of an attempt in progress.
const unendedAttempt = Moment(1<<63 - 1)

// call makes one call of /config. The status is 0 if there is no complete response.
func (o *operators) call(ctx context.Context, method string, n *node, base uint64, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.ControlAddress()+"/config", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if method != http.MethodGet {
		request.Header.Set("If-Match", fmt.Sprint(base))
	}
	response, err := o.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

func (o *operators) nextCoordinator() *node {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.callCount++
	return o.coordinators.at(o.callCount)
}

func (o *operators) updateNewest(version uint64, marker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.version {
		o.version, o.marker = version, marker
	}
}

// refresh reads the configuration from the coordinators in turn until one answers or ctx ends.
func (o *operators) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		if o.read(ctx, o.nextCoordinator(), false) {
			return
		}
		_ = ctxtime.Sleep(ctx, firstBackoff) // the loop ends with ctx
	}
}

// read reads the configuration from a coordinator and records its version and marker. It reports whether it got a 200.
func (o *operators) read(ctx context.Context, n *node, isFinal bool) bool {
	read := Read{Node: n.Name, SentAt: o.recorder.now(), IsFinal: isFinal}
	status, document := o.call(ctx, http.MethodGet, n, 0, nil)
	if status != http.StatusOK {
		return false
	}
	version, marker, err := readMarker(document)
	if err != nil {
		marker = err.Error() // no change has this marker, so checkReads reports it
	}
	read.Version, read.Marker, read.EndedAt = version, marker, o.recorder.now()
	o.recorder.edit(func(h *History) { h.Reads = append(h.Reads, read) })
	o.updateNewest(version, marker)
	return true
}

// poll reads the configuration from the coordinators in turn, every readInterval, until ctx ends.
func (o *operators) poll(ctx context.Context) {
	for ctxtime.Sleep(ctx, readInterval) == nil {
		o.read(ctx, o.nextCoordinator(), false)
	}
}

// readAtEnd reads the configuration from every coordinator, for at most Bounds.Quiet in total. Operators use the same
// time at the end of a test day.
func (o *operators) readAtEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.recorder.history.Bounds.Quiet)
	defer cancel()
	for _, n := range o.coordinators.all() {
		for ctx.Err() == nil && !o.read(ctx, n, true) {
			_ = ctxtime.Sleep(ctx, firstBackoff) // the loop ends with ctx
		}
	}
}
