package forwarder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pumiceline/internal/logkey"
	"pumiceline/internal/standalone/backend"
	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
)

// LoadReporter asks a backend for its load: a *backend.Pool, except in tests.
type LoadReporter interface {
	PollLoad(ctx context.Context, id policy.ServerID) backend.Result
}

const (
	// pollTimeout bounds a poll. The policy polls a backend again after a second at the earliest. A report that is half
	// a second late is of no use to it, and the connection of the poll is needed for requests.
	pollTimeout = 500 * time.Millisecond
	// maxPolls is how many polls may be in flight, at most one for each backend. Without a bound, polls that hang could
	// use up the connections that requests need.
	maxPolls = 16
)

// LoadPoller carries out the load polls that the policy asks for. It is safe for concurrent use. Close ends its
// goroutines.
type LoadPoller struct {
	backends LoadReporter
	engine   *engine.Engine
	log      *slog.Logger
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu      sync.Mutex
	pending map[policy.ServerID]struct{} // backends that are being polled
}

// NewLoadPoller returns a LoadPoller that polls backends. SetEngine must be called before the first Poll.
func NewLoadPoller(backends LoadReporter, log *slog.Logger) *LoadPoller {
	ctx, cancel := context.WithCancel(context.Background())
	return &LoadPoller{backends: backends, log: log, ctx: ctx, cancel: cancel, pending: map[policy.ServerID]struct{}{}}
}

// SetEngine sets the engine that gets the reports.
func (p *LoadPoller) SetEngine(e *engine.Engine) { p.engine = e }

// Poll starts a poll of a backend and returns at once. It does nothing if the backend is being polled already, or if
// maxPolls polls are in flight: the policy asks again.
func (p *LoadPoller) Poll(id policy.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, isPending := p.pending[id]; isPending || len(p.pending) >= maxPolls || p.ctx.Err() != nil {
		return
	}
	p.pending[id] = struct{}{}
	p.running.Go(func() { p.poll(id) })
}

// poll makes a poll and reports its result to the engine.
func (p *LoadPoller) poll(id policy.ServerID) {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	start := time.Now()
	result := p.backends.PollLoad(ctx, id)
	if result.Err != nil {
		p.log.Debug("load poll failed", logkey.Backend, id, "outcome", result.Outcome, "error", result.Err)
	}
	p.mu.Lock()
	delete(p.pending, id)
	p.mu.Unlock()
	p.engine.LoadPolled(id, result.Outcome, time.Since(start), result.Report)
}

// InFlight returns how many polls are in flight.
func (p *LoadPoller) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// Close cancels the polls in flight and waits until they have ended. Poll has no effect afterwards.
func (p *LoadPoller) Close() {
	p.cancel()
	p.running.Wait()
}
