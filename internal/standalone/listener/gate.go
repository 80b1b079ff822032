package listener

import (
	"context"
	"hash/maphash"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/forwarder"
)

const (
	// gateTickInterval is the time between two calls of Controller.Tick.
	gateTickInterval = 10 * time.Millisecond
	// gateRejectMargin is how long before its deadline a queued request is rejected at the latest, so that the response
	// still reaches its client.
	gateRejectMargin = 2 * gateTickInterval
	// gateStatsInterval is how often the controller's statistics are logged, if it has rejected or queued anything.
	gateStatsInterval = 10 * time.Second
)

// Gate is admission control for a Server. It owns an admission.Controller, provides its clock, and makes each request
// wait for the controller's decision. It is safe for concurrent use; Run must be running while the server accepts
// requests.
type Gate struct {
	log        *slog.Logger
	clientSeed maphash.Seed // for hashing client addresses; random, so that clients cannot provoke collisions
	origin     time.Time    // zero of the controller's clock

	mu          sync.Mutex // guards what follows
	controller  *admission.Controller
	tenantNames []string                                     // by the tenant's index in the settings
	decisions   []admission.Decision                         // a buffer for the controller's decisions
	pending     map[admission.Ticket]chan admission.Decision // the requests that wait for a decision
	loggedStats []admission.TenantStats                      // at the last log record, by tenant
}

// NewGate returns a gate with these settings. An error means that they are invalid.
func NewGate(set admission.Settings, log *slog.Logger) (*Gate, error) {
	controller, err := admission.New(set)
	if err != nil {
		return nil, err
	}
	g := &Gate{
		log:        log,
		clientSeed: maphash.MakeSeed(),
		origin:     time.Now(),
		controller: controller,
		pending:    map[admission.Ticket]chan admission.Decision{},
	}
	g.useTenants(set)
	return g, nil
}

// useTenants starts new statistics for the tenants in set. Called with mu held.
func (g *Gate) useTenants(set admission.Settings) {
	g.tenantNames = g.tenantNames[:0]
	for _, t := range set.Tenants {
		g.tenantNames = append(g.tenantNames, t.Name)
	}
	g.loggedStats = make([]admission.TenantStats, len(g.tenantNames))
}

// now returns the time of the controller's clock: monotonic microseconds since origin, plus 1. It is never 0, which a
// Controller takes for "no event yet".
func (g *Gate) now() admission.Time { return time.Since(g.origin).Microseconds() + 1 }

// ApplySettings replaces the settings as a whole, or returns an error and keeps those in force.
func (g *Gate) ApplySettings(next admission.Settings) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions, err := g.controller.ApplySettings(g.now(), next, g.decisions[:0])
	if err != nil {
		return err
	}
	g.useTenants(next)
	g.deliver(decisions)
	return nil
}

// Run advances the controller's time until ctx ends, so that queued requests are rejected in time.
func (g *Gate) Run(ctx context.Context) {
	tick, stats := time.NewTicker(gateTickInterval), time.NewTicker(gateStatsInterval)
	defer tick.Stop()
	defer stats.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			g.deliver(g.controller.Tick(g.now(), g.decisions[:0]))
			g.mu.Unlock()
		case <-stats.C:
			g.logStats()
		}
	}
}

// deliver passes decisions to the requests that wait for them. Called with mu held.
func (g *Gate) deliver(decisions []admission.Decision) {
	for _, d := range decisions {
		if decided := g.pending[d.Ticket]; decided != nil {
			decided <- d // never blocks: a request has one decision, and its channel has a buffer of one
			delete(g.pending, d.Ticket)
		}
	}
	g.decisions = decisions[:0]
}

// admit waits until a request is admitted or rejected, or ctx ends. If the request is admitted, finish must be called
// once it has ended; otherwise finish is nil, and rejection is the response.
func (g *Gate) admit(ctx context.Context, r *http.Request, accepted acceptedRequest) (
	finish func(served bool), rejection admission.Decision) {
	ticket, decided := g.submit(r, accepted)
	var decision admission.Decision
	select {
	case decision = <-decided:
	case <-ctx.Done():
		g.withdraw(ticket, decided)
		return nil, admission.Decision{Kind: admission.Reject, Reason: admission.TooLate}
	}
	if decision.Kind != admission.Admit {
		return nil, decision
	}
	return func(served bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deliver(g.controller.Finish(g.now(), ticket, served, g.decisions[:0]))
	}, decision
}

// submit submits a request to the controller. The decision arrives on the returned channel.
func (g *Gate) submit(r *http.Request, accepted acceptedRequest) (admission.Ticket, <-chan admission.Decision) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	request := admission.Request{
		Tenant:  int(accepted.info.Tenant),
		Class:   int(accepted.info.Class),
		Client:  maphash.String(g.clientSeed, host),
		Work:    accepted.info.Work,
		IsRetry: singleValue(r.Header, retryHeader) == "1",
	}
	decided := make(chan admission.Decision, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	request.Deadline = g.now() + time.Until(accepted.deadline.Add(-gateRejectMargin)).Microseconds()
	ticket, decisions := g.controller.Submit(g.now(), request, g.decisions[:0])
	g.pending[ticket] = decided
	g.deliver(decisions)
	return ticket, decided
}

// withdraw cancels a request whose context has ended. If the controller has admitted it at the same moment, withdraw
// finishes it instead, as not served.
func (g *Gate) withdraw(ticket admission.Ticket, decided <-chan admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case decision := <-decided:
		if decision.Kind == admission.Admit {
			g.deliver(g.controller.Finish(g.now(), ticket, false, g.decisions[:0]))
		}
	default:
		delete(g.pending, ticket)
		g.deliver(g.controller.Cancel(g.now(), ticket, g.decisions[:0]))
	}
}

// queueLength returns the number of requests that wait for a decision.
func (g *Gate) queueLength() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

// logStats logs the counts since the last call for each tenant that has had a request rejected or has one queued.
func (g *Gate) logStats() {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.controller.State()
	for i, name := range g.tenantNames {
		now, last := g.controller.Stats(i), g.loggedStats[i]
		g.loggedStats[i] = now
		fields := []any{
			"tenant", name,
			"arrived", now.Arrived - last.Arrived,
			"admitted", now.Admitted - last.Admitted,
			"queued", now.Queued,
			"admitted_work_s", (now.AdmittedWork - last.AdmittedWork) / 1e6,
			"returned", now.Returned - last.Returned,
			"returned_admitted", now.ReturnsAdmitted - last.ReturnsAdmitted,
		}
		rejected := uint64(0)
		for reason := range now.Rejected {
			count := now.Rejected[reason] - last.Rejected[reason]
			rejected += count
			key := "rejected_" + strings.ReplaceAll(admission.Reason(reason).String(), " ", "_")
			fields = append(fields, key, count)
		}
		if rejected > 0 || now.Queued > 0 {
			fields = append(fields, "limit", int(state.Limit), "in_flight", state.InFlight, "queued_in_all", state.Queued)
			g.log.Info("admission control", fields...)
		}
	}
}

// writeRejection answers a rejected request. No backend has seen the request, so its client may safely send it again.
func writeRejection(w http.ResponseWriter, rejection admission.Decision) {
	if rejection.RetryAfter > 0 {
		w.Header().Set("Retry-After", forwarder.FormatRetryAfter(rejection.RetryAfter))
	}
	http.Error(w, "busy: "+rejection.Reason.String(), http.StatusServiceUnavailable)
}
