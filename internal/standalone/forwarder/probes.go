package forwarder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"pumiceline/internal/standalone/engine"
	"pumiceline/internal/standalone/policy"
)

// Prober asks a destination for its load.
type Prober interface {
	Probe(ctx context.Context, id uint32) (policy.Outcome, []float32, error)
}

const (
	// probeTimeout is how long a probe may take. The module asks again after a second at the earliest, and what a destination says
	// of itself half a second late is not worth a descriptor.
	probeTimeout = 500 * time.Millisecond
	// maxProbes are out at once, and one at most at a destination: hung ones must not hold what requests need.
	maxProbes = 16
)

// Probes carries out the probes that the module wants. Close ends it.
type Probes struct {
	backends Prober
	engine   *engine.Engine
	log      *slog.Logger
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu      sync.Mutex
	pending map[uint32]struct{}
}

// NewProbes returns Probes that ask fleet. Before the first probe it must be told by Tell who is to know.
func NewProbes(fleet Prober, log *slog.Logger) *Probes {
	ctx, cancel := context.WithCancel(context.Background())
	return &Probes{backends: fleet, log: log, ctx: ctx, cancel: cancel, pending: map[uint32]struct{}{}}
}

// SetEngine says whose module is told of what the probes bring.
func (p *Probes) SetEngine(to *engine.Engine) { p.engine = to }

// Start begins a probe and returns at once. One that there is no place for is not made: the module asks again.
func (p *Probes) Start(server uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, is := p.pending[server]; is || len(p.pending) >= maxProbes || p.ctx.Err() != nil {
		return
	}
	p.pending[server] = struct{}{}
	p.running.Go(func() { p.probe(server) })
}

func (p *Probes) probe(server uint32) {
	ctx, cancel := context.WithDeadline(p.ctx, time.Now().Add(probeTimeout))
	defer cancel()
	start := time.Now()
	outcome, report, err := p.backends.Probe(ctx, server)
	if err != nil {
		p.log.Debug("probe", "destination", server, "outcome", outcome, "error", err)
	}
	p.mu.Lock()
	delete(p.pending, server)
	p.mu.Unlock()
	p.engine.ProbeDone(server, outcome, time.Since(start), report)
}

// InFlight is how many probes are under way.
func (p *Probes) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}

// Close gives up what is out and waits for its end; nothing more is asked.
func (p *Probes) Close() {
	p.cancel()
	p.running.Wait()
}
