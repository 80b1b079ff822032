package distribution

import (
	"context"
	"sync/atomic"
	"time"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
	"pumiceline/internal/transport"
)

const (
	// minRepeatInterval is the shortest time between the starts of two polls of Run of which the first brought nothing
	// newer. A server whose list is older than the subscriber's may answer each poll at once.
	minRepeatInterval = 100 * time.Millisecond
	// failoverDelay is the pause before the next server is polled after one has failed.
	failoverDelay = 80 * time.Millisecond
	// preferredRetryInterval is how long after a failover the preferred server is polled again.
	preferredRetryInterval = 4 * time.Second
	// noServerDelay is the pause while no server is known.
	noServerDelay = 100 * time.Millisecond
)

// Outcome is what a subscriber made of a response.
type Outcome int

// The outcomes.
const (
	OutcomeNewer Outcome = iota // the response brought something newer
	OutcomeSame                 // the subscriber has all that the server has
	OutcomeStale                // what the subscriber has is too old, and the server has nothing newer: poll another one
)

// Subscriber provides the requests of a Poller and takes the responses. Its methods must be safe for concurrent use.
type Subscriber interface {
	// PollRequest returns the versions that the subscriber has, and its demand and loads.
	PollRequest() message.PollRequest
	// Apply takes a response; sent is when its request was sent. A response that is Unavailable has nothing but a list of
	// backends.
	Apply(response *message.PollResponse, sent time.Time) Outcome
	// Addresses returns the servers to poll, the preferred first. It may return none.
	Addresses() []string
	// SetMembers takes the members of the view of the server that responded.
	SetMembers(members []message.Member)
}

// Poller is the long-poll client. It keeps one poll pending at the preferred server, and fails over to the next one
// when a server does not answer or is unavailable.
type Poller struct {
	identity     message.MemberID
	subscriber   Subscriber
	client       *transport.Client
	budget       discovery.Budget
	current      atomic.Pointer[string] // address of the server that answered last; PollNow uses it too
	serverIndex  int                    // in the subscriber's addresses, modulo their number; 0: the preferred server
	failedOverAt time.Time
}

// NewPoller makes a poller that polls under an identity. The budget says how long a server may delay its answer while
// there is nothing newer, and how long a response may take.
func NewPoller(identity message.MemberID, subscriber Subscriber, budget discovery.Budget) *Poller {
	return &Poller{identity: identity, subscriber: subscriber, client: transport.NewClient(), budget: budget}
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := p.subscriber.Addresses()
		if len(addresses) == 0 {
			_ = ctxtime.Sleep(ctx, noServerDelay) // the loop checks ctx
			continue
		}
		if !p.pollServer(ctx, addresses[p.serverIndex%len(addresses)]) {
			p.serverIndex++
			p.failedOverAt = time.Now()
			_ = ctxtime.Sleep(ctx, failoverDelay) // the loop checks ctx
			continue
		}
		if p.serverIndex > 0 && time.Since(p.failedOverAt) > preferredRetryInterval {
			p.serverIndex = 0
		}
	}
}

// pollServer makes one long poll. It reports whether the server answered, is serving, and supplies what is new enough.
func (p *Poller) pollServer(ctx context.Context, address string) bool {
	request := p.subscriber.PollRequest()
	wait, timeout := p.budget.PollTimes(listAge(request.BackendsVersion))
	request.MaxWaitMs = int(wait.Milliseconds())
	sent := time.Now()
	response, err := p.client.Poll(ctx, address, p.identity, request, timeout)
	if err != nil {
		return false
	}
	if len(response.Members) > 0 {
		p.subscriber.SetMembers(response.Members)
	}
	outcome := p.subscriber.Apply(response, sent)
	if response.Unavailable {
		return false
	}
	p.current.Store(&address)
	if outcome == OutcomeSame {
		_ = ctxtime.Sleep(ctx, minRepeatInterval-time.Since(sent)) // Run checks ctx
	}
	return outcome != OutcomeStale
}

// listAge is the age of a subscriber's list of backends; 0: it has none.
func listAge(version *message.BackendsVersion) time.Duration {
	if version == nil {
		return 0
	}
	return time.Duration(version.AgeMs) * time.Millisecond
}

// PollNow sends a poll without a wait to the server that answered last, in addition to the pending one. It reports
// the subscriber's demand and loads to the server at once. It does nothing before any server has answered. A failure
// is ignored, because Run notices it too.
func (p *Poller) PollNow(ctx context.Context) {
	address := p.current.Load()
	if address == nil {
		return
	}
	request := p.subscriber.PollRequest()
	sent := time.Now()
	response, err := p.client.Poll(ctx, *address, p.identity, request, p.budget.ResponseMargin)
	if err == nil && !response.Unavailable {
		p.subscriber.Apply(response, sent)
	}
}

// ObservedAt returns when the list of backends in a response was read from the platform, by the receiver's clock.
// sent is when the request was sent. The result is the earliest possible time, as it assumes that the request arrived
// without delay.
func ObservedAt(response *message.PollResponse, sent time.Time) time.Time {
	return sent.Add(time.Duration(response.WaitedMs-response.BackendsAgeMs) * time.Millisecond)
}
