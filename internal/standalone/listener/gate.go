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
	// gateTickInterval is how often the admission controller is given the time.
	gateTickInterval = 10 * time.Millisecond
	// gateRejectMargin is how long before its deadline a queued request is rejected at the latest, so that the response
	// still reaches its client.
	gateRejectMargin = 2 * gateTickInterval
	// gateStatsInterval is how often the controller's statistics are logged, if it has rejected or queued anything.
	gateStatsInterval = 10 * time.Second
)

// Gate is admission control for a Server: it owns an admission.Controller, keeps its clock, and has each request wait
// for the controller's decision. It is safe for concurrent use; Run must run while requests come.
type Gate struct {
	log        *slog.Logger
	clientSeed maphash.Seed // clients are distinguished by a hash of their address, which nobody outside can predict
	origin     time.Time    // of the controller's clock

	mu          sync.Mutex // guards what follows
	controller  *admission.Controller
	tenantNames []string                                   // by the tenant's index in the settings
	actions     []admission.Action                         // a buffer for the controller's decisions
	pending     map[admission.Ticket]chan admission.Action // the requests that wait for a decision
	loggedStats []admission.TenantStats                    // at the last log record, by tenant
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
		pending:    map[admission.Ticket]chan admission.Action{},
	}
	g.useTenants(set)
	return g, nil
}

// useTenants starts the statistics of the tenants in set. Called with mu held.
func (g *Gate) useTenants(set admission.Settings) {
	g.tenantNames = g.tenantNames[:0]
	for _, t := range set.Tenants {
		g.tenantNames = append(g.tenantNames, t.Name)
	}
	g.loggedStats = make([]admission.TenantStats, len(g.tenantNames))
}

// now is the controller's clock, driven by the monotonic one. It is never 0.
func (g *Gate) now() admission.Time { return time.Since(g.origin).Microseconds() + 1 }

// ApplySettings replaces the settings as a whole, or returns an error and keeps those in force.
func (g *Gate) ApplySettings(next admission.Settings) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	decisions, err := g.controller.ApplySettings(g.now(), next, g.actions[:0])
	if err != nil {
		return err
	}
	g.useTenants(next)
	g.deliver(decisions)
	return nil
}

// Run gives the controller the time until ctx ends.
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
			g.deliver(g.controller.Tick(g.now(), g.actions[:0]))
			g.mu.Unlock()
		case <-stats.C:
			g.logStats()
		}
	}
}

// deliver passes decisions on to the requests that wait for them. Called with mu held.
func (g *Gate) deliver(decisions []admission.Action) {
	for _, a := range decisions {
		if decided := g.pending[a.Ticket]; decided != nil {
			decided <- a // never blocks: a request has one decision, and the channel room for it
			delete(g.pending, a.Ticket)
		}
	}
	g.actions = decisions[:0]
}

// admit waits until a request is admitted or rejected, or ctx ends. Once the request has ended, finish must be called
// if it was admitted; it is nil otherwise.
func (g *Gate) admit(ctx context.Context, r *http.Request, info *forwarder.RequestInfo, deadline time.Time) (
	finish func(answered bool), rejection admission.Action) {
	ticket, decided := g.submit(r, info, deadline)
	var decision admission.Action
	select {
	case decision = <-decided:
	case <-ctx.Done():
		g.withdraw(ticket, decided)
		return nil, admission.Action{Kind: admission.Reject, Reason: admission.TooLate}
	}
	if decision.Kind != admission.Admit {
		return nil, decision
	}
	return func(answered bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deliver(g.controller.Finish(g.now(), ticket, answered, g.actions[:0]))
	}, decision
}

// submit gives a request to the controller. Its decision comes on the channel.
func (g *Gate) submit(r *http.Request, info *forwarder.RequestInfo, deadline time.Time) (
	admission.Ticket, <-chan admission.Action) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	request := admission.Request{
		Tenant:  int(info.Tenant),
		Class:   int(info.Class),
		Client:  maphash.String(g.clientSeed, host),
		Work:    info.WorkHint,
		IsRetry: singleValue(r.Header, repeatHeader) == "1",
	}
	decided := make(chan admission.Action, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	request.Deadline = g.now() + time.Until(deadline.Add(-gateRejectMargin)).Microseconds()
	ticket, decisions := g.controller.Submit(g.now(), request, g.actions[:0])
	g.pending[ticket] = decided
	g.deliver(decisions)
	return ticket, decided
}

// withdraw takes back a request whose context has ended. It may have been admitted in the same moment.
func (g *Gate) withdraw(ticket admission.Ticket, decided <-chan admission.Action) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case decision := <-decided:
		if decision.Kind == admission.Admit {
			g.deliver(g.controller.Finish(g.now(), ticket, false, g.actions[:0]))
		}
	default:
		delete(g.pending, ticket)
		g.deliver(g.controller.Cancel(g.now(), ticket, g.actions[:0]))
	}
}

// queueLength returns how many requests wait for a decision.
func (g *Gate) queueLength() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pending)
}

// logStats logs, for each tenant of which a request was rejected or is queued, what has happened since the last call.
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

// writeRejection answers a rejected request. No backend has seen it, so to send it again is harmless.
func writeRejection(w http.ResponseWriter, rejection admission.Action) {
	if rejection.RetryAfter > 0 {
		w.Header().Set("Retry-After", forwarder.FormatRetryAfter(rejection.RetryAfter))
	}
	http.Error(w, "busy: "+rejection.Reason.String(), http.StatusServiceUnavailable)
}
