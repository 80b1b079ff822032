// Package relay forwards the calls of applications from the coordinator that received them to the issuer, which may
// be any coordinator, and returns the answers. It finds the issuer by sending the call to coordinators and following
// the issuer that they name, and sends again what is lost. For a call without an answer it reports whether the call
// was certainly not executed, or its outcome is unknown.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/coordinationapi"
	"pumiceline/internal/message"
)

const (
	// callTimeout is how long a call waits for its answer. A watch waits this long in addition to its own waiting
	// time. An application without a response fails over to another machine after a second.
	callTimeout = 850 * time.Millisecond
	// callRetryInterval is how long a call waits for a response of its last target before another target is asked.
	callRetryInterval = 120 * time.Millisecond
	// watchResendInterval is how often a watch is sent again. The issuer holds a watch without a response until there
	// is an event, so a lost request looks like one that is held.
	watchResendInterval = 300 * time.Millisecond
	// declinedDelay is the pause before a voter is asked, after a target that declined without naming another issuer
	// to ask.
	declinedDelay = 30 * time.Millisecond
	// minAnswerTime is the shortest time left for an answer with which a request is still sent.
	minAnswerTime = 50 * time.Millisecond
	// minRepeatInterval is the shortest time after which a target is asked again because another one names it as the
	// issuer.
	minRepeatInterval = 20 * time.Millisecond
)

// How many calls and watches may wait at a relay.
const (
	maxCalls   = 1024
	maxWatches = 512
)

// Options of a relay. All are required.
type Options struct {
	Self        message.Member
	Incarnation uint64 // request IDs count up from it, so that responses to an earlier process match no request
	// Send sends a message without a delivery guarantee. The address of Self is this process. Send is called from any
	// goroutine, and the message is not changed afterwards.
	Send func(address string, m *message.Message)
	// Candidates returns the coordinators that may be asked. It is called from any goroutine.
	Candidates func() Candidates
}

// Candidates are the coordinators that may be the issuer, or may name it.
type Candidates struct {
	Issuer      message.Member // without an identity: not known
	Voters      []message.Member
	IsConnected bool // this coordinator receives messages of the others; if not, calls fail at once and nothing is sent
}

// Relay is a coordinationapi.Caller. It is safe for concurrent use.
type Relay struct {
	options Options
	lastID  atomic.Uint64
	hint    issuerHint

	mutex   sync.Mutex
	waiting map[uint64]chan<- *message.Message // takes the responses to a request, by its ID
	calls   int                                // number of waiting calls, without watches
	watches int                                // number of waiting watches

	meter meter
}

var _ coordinationapi.Caller = (*Relay)(nil)

// New returns a relay.
func New(options Options) *Relay {
	r := &Relay{options: options, waiting: map[uint64]chan<- *message.Message{}, meter: newMeter()}
	r.hint.changed = make(chan struct{})
	r.lastID.Store(options.Incarnation)
	return r
}

// Call forwards a call and returns its answer. The error is coordinationapi.ErrNotExecuted, ErrTooManyCalls or
// ErrOutcomeUnknown. If ctx ends first, it is ErrOutcomeUnknown or, if every request was certainly not executed,
// ErrNotExecuted.
func (r *Relay) Call(ctx context.Context, call message.Call) (message.Answer, error) {
	start := time.Now()
	answer, err := r.carryOut(ctx, call)
	r.meter.record(call.Kind, answer, err, time.Since(start))
	return answer, err
}

func (r *Relay) carryOut(ctx context.Context, call message.Call) (message.Answer, error) {
	candidates := r.options.Candidates()
	if !candidates.IsConnected || len(candidates.Voters) == 0 {
		return message.Answer{}, coordinationapi.ErrNotExecuted
	}
	if !r.admit(call.Kind) {
		return message.Answer{}, coordinationapi.ErrTooManyCalls
	}
	defer r.leave(call.Kind)
	e := newExchange(r, call)
	defer e.close()
	return e.run(ctx)
}

// HandleResponse takes a message with a CallResponse. It is safe for concurrent use and never blocks. It drops
// responses to an earlier process, and to calls that have ended.
func (r *Relay) HandleResponse(m *message.Message) {
	if m.CallResponse == nil || m.To != r.options.Self.Identity {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if responses, ok := r.waiting[m.CallResponse.ID]; ok {
		select {
		case responses <- m:
		default: // the queue is full: the response is dropped, as if lost on the network
		}
	}
}

// Refresh makes waiting calls ask another issuer at once if Options.Candidates names a new one. Without it they
// notice the new issuer with their next request. It is safe for concurrent use and never blocks.
func (r *Relay) Refresh() { r.hint.newest(r.options.Candidates().Issuer) }

// admit adds a call to the waiting ones. It reports false if too many wait already.
func (r *Relay) admit(kind message.CallKind) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count, limit := &r.calls, maxCalls
	if kind == message.CallWatch {
		count, limit = &r.watches, maxWatches
	}
	if *count >= limit {
		return false
	}
	*count++
	return true
}

func (r *Relay) leave(kind message.CallKind) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if kind == message.CallWatch {
		r.watches--
	} else {
		r.calls--
	}
}

// register returns the ID of a new request whose responses go to the channel. The caller must unregister it.
func (r *Relay) register(responses chan<- *message.Message) uint64 {
	id := r.lastID.Add(1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.waiting[id] = responses
	return id
}

func (r *Relay) unregister(id uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.waiting, id)
}

// send sends a request to a target.
func (r *Relay) send(target message.Member, id uint64, call message.Call) {
	r.meter.requests.Add(1)
	self := r.options.Self
	r.options.Send(target.Address, &message.Message{
		From: self.Identity, FromAddress: self.Address, FromZone: self.Zone, To: target.Identity, ToAddress: target.Address,
		CallRequest: &message.CallRequest{ID: id, Call: call},
	})
}
