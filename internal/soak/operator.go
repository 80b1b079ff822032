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
	callTimeout     = time.Second // after which another coordinator is asked
	firstBackoff    = 50 * time.Millisecond
	maxBackoff      = 500 * time.Millisecond
	readInterval    = 150 * time.Millisecond
	maxChangesAtOne = 8 // changes that are under way at once
)

// operators change and read the configuration. Their changes are numbered in the order in which they begin.
type operators struct {
	coordinators []*node
	recorder     *recorder
	http         *http.Client
	slots        chan struct{} // one for each change under way
	sequence     sync.Mutex    // held by the change that waits for no other

	mu      sync.Mutex
	begun   int    // changes
	asked   int    // calls
	version uint64 // the newest that is known to be in force
	marker  string // of that version
}

func newOperators(coordinators []*node, r *recorder) *operators {
	return &operators{
		coordinators: coordinators, recorder: r, slots: make(chan struct{}, maxChangesAtOne),
		http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxChangesAtOne}},
	}
}

// change makes the change of a step, and returns when there is a clear answer or ctx has ended.
func (o *operators) change(ctx context.Context, step Step) error {
	if !step.Racing {
		o.sequence.Lock()
		defer o.sequence.Unlock()
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

// changeCall is a change under way.
type changeCall struct {
	index          int // in the history
	method         string
	base           uint64
	version        uint64
	marker         string
	body           []byte
	isAcknowledged bool
}

// begin draws up the change of a step on top of the newest known version.
func (o *operators) begin(step Step) (*changeCall, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun++
	c := &changeCall{method: http.MethodPut, base: o.version, version: o.version + step.VersionStep,
		marker: fmt.Sprintf("marker%d", o.begun)}
	isInvalid := step.Action == ActionInvalid
	var err error
	if step.Action == ActionPatch {
		c.method = http.MethodPatch
		c.body, err = patchBody(c.version, c.marker, o.marker)
	} else {
		c.body, err = putBody(c.version, c.marker, isInvalid)
	}
	if err != nil {
		return nil, err
	}
	o.recorder.edit(func(h *History) {
		c.index = len(h.Changes)
		h.Changes = append(h.Changes, Change{Marker: c.marker, Base: c.base, Version: c.version, IsInvalid: isInvalid})
	})
	return c, nil
}

// sendUntilClear sends a change to one coordinator after the other, unchanged, until one gives a clear answer.
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
			o.learn(c.version, c.marker)
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

// recordAttempt records an attempt before it is sent: from then on the change may be in force.
func (o *operators) recordAttempt(c *changeCall, attempt Attempt) (index int) {
	attempt.EndedAt = unendedAttempt
	o.recorder.edit(func(h *History) {
		index = len(h.Changes[c.index].Attempts)
		h.Changes[c.index].Attempts = append(h.Changes[c.index].Attempts, attempt)
	})
	return index
}

// unendedAttempt is the end of an attempt that is under way.
const unendedAttempt = Moment(1<<63 - 1)

// call makes one call of /config. The status is 0 where no response came.
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
	o.asked++
	return o.coordinators[o.asked%len(o.coordinators)]
}

func (o *operators) learn(version uint64, marker string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.version {
		o.version, o.marker = version, marker
	}
}

// refresh reads the configuration, at one coordinator after the other, until one answers or ctx ends.
func (o *operators) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		if o.read(ctx, o.nextCoordinator(), false) {
			return
		}
		_ = ctxtime.Sleep(ctx, firstBackoff) // the loop ends with ctx
	}
}

// read reads the configuration at a coordinator and records what it shows. It says whether there was an answer.
func (o *operators) read(ctx context.Context, n *node, isFinal bool) bool {
	read := Read{Node: n.Name, SentAt: o.recorder.now(), IsFinal: isFinal}
	status, document := o.call(ctx, http.MethodGet, n, 0, nil)
	if status != http.StatusOK {
		return false
	}
	version, marker, err := readMarker(document)
	if err != nil {
		marker = err.Error() // no change has it, which the checker reports
	}
	read.Version, read.Marker, read.EndedAt = version, marker, o.recorder.now()
	o.recorder.edit(func(h *History) { h.Reads = append(h.Reads, read) })
	o.learn(version, marker)
	return true
}

// watch reads the configuration again and again, at one coordinator after the other, until ctx ends.
func (o *operators) watch(ctx context.Context) {
	for ctxtime.Sleep(ctx, readInterval) == nil {
		o.read(ctx, o.nextCoordinator(), false)
	}
}

// readFinally reads the configuration at every coordinator, for as long as the operators do at the end of a day.
func (o *operators) readFinally(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, o.recorder.history.Bounds.Quiet)
	defer cancel()
	for _, n := range o.coordinators {
		for ctx.Err() == nil && !o.read(ctx, n, true) {
			_ = ctxtime.Sleep(ctx, firstBackoff) // the loop ends with ctx
		}
	}
}
