// Package relay brings the calls of applications from the coordinator that received them to the issuer, which may be
// any coordinator, and brings the answers back. It finds the issuer by asking, follows what those asked know of it, and
// repeats what is lost. For a call that got no answer it knows whether nothing was done or the outcome is open.
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
	// callTimeout is how long a call waits for its answer, and a watch beyond its own waiting time. An application turns
	// to another machine after a second of silence.
	callTimeout = 850 * time.Millisecond
	// callSilence is how long a target of a call may be silent before another one is asked.
	callSilence = 120 * time.Millisecond
	// watchResendInterval is how often a watch is sent again. The issuer keeps one without an event: it is silent.
	watchResendInterval = 300 * time.Millisecond
	// declinedDelay is how long a call rests after a target that does not know the issuer.
	declinedDelay = 30 * time.Millisecond
	// minAnswerTime is how long before its end a call asks for the last time.
	minAnswerTime = 50 * time.Millisecond
	// minRepeatInterval is how soon a target is asked again because another one names it as the issuer.
	minRepeatInterval = 20 * time.Millisecond
)

// How many calls and watches may wait at a relay.
const (
	maxCalls   = 1024
	maxWatches = 512
)

// Options of a relay. All are needed.
type Options struct {
	Self        message.Member
	Incarnation uint64 // IDs of requests are counted from it, so that a response to an earlier process matches none of this
	// Send sends a message and forgets it. The address of Self leads to this process. Any goroutine calls it, and the
	// message is not changed afterwards.
	Send func(address string, m *message.Message)
	// Candidates returns whom to ask. Any goroutine calls it.
	Candidates func() Candidates
}

// Candidates are the coordinators that may be the issuer, or know it.
type Candidates struct {
	Issuer  message.Member // without an identity: not known
	Voters  []message.Member
	InTouch bool // this coordinator hears the others; without it nothing is sent
}

// Relay is a coordinationapi.Caller. Several goroutines may use it.
type Relay struct {
	options Options
	lastID  atomic.Uint64
	hint    issuerHint

	mutex   sync.Mutex
	waiting map[uint64]chan<- *message.Message // where responses go, by the ID of the request
	calls   int                                // that wait, watches excepted
	watches int                                // that wait

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

// Call carries out a call. The error is coordinationapi.ErrNotExecuted, ErrTooManyCalls or ErrOutcomeUnknown; the last one
// also where ctx ends first.
func (r *Relay) Call(ctx context.Context, call message.Call) (message.Answer, error) {
	start := time.Now()
	answer, err := r.carryOut(ctx, call)
	r.meter.record(call.Kind, answer, err, time.Since(start))
	return answer, err
}

func (r *Relay) carryOut(ctx context.Context, call message.Call) (message.Answer, error) {
	candidates := r.options.Candidates()
	if !candidates.InTouch || len(candidates.Voters) == 0 {
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

// HandleResponse takes a message with a CallResponse. Any goroutine may call it; it never blocks. Responses to an earlier
// process, and those that nobody waits for any more, are dropped.
func (r *Relay) HandleResponse(m *message.Message) {
	if m.CallResponse == nil || m.To != r.options.Self.Identity {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if responses, ok := r.waiting[m.CallResponse.ID]; ok {
		select {
		case responses <- m:
		default: // as good as lost on the network
		}
	}
}

// Refresh has waiting calls turn to another issuer at once if Options.Candidates names one now. Else they notice when they ask the
// next time. Any goroutine may call it; it never blocks.
func (r *Relay) Refresh() { r.hint.newest(r.options.Candidates().Issuer) }

// admit counts a call that is to wait. It reports false where too many wait already.
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

// register returns the ID of a new request whose responses go to the channel. The caller unregisters it.
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
