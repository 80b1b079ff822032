package listener

import (
	"context"
	"hash/maphash"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/forwarder"
)

// gateTickInterval is how often the door is told of the time while requests wait.
const gateTickInterval = 10 * time.Millisecond

// gateRejectMargin is how long before its deadline a request is refused at the latest, so that its client still hears of it.
const gateRejectMargin = 2 * gateTickInterval

// statsInterval is how often the door's state is logged while it has had to refuse or hold anything.
const statsInterval = 10 * time.Second

// Gate runs the door for the front sockets: it owns it, keeps its clock, and lets each request wait for its decision.
type Gate struct {
	log    *slog.Logger
	seed   maphash.Seed // clients are told apart by their address's hash, which nobody outside can steer
	origin time.Time

	mu          sync.Mutex
	controller  *admission.Controller
	tenantNames []string
	actions     []admission.Action
	pending     map[admission.Ticket]chan admission.Action
	loggedStats []admission.TenantStats // as last logged
}

// NewGate returns a gate for a door with these settings.
func NewGate(set admission.Settings, log *slog.Logger) (*Gate, error) {
	d, err := admission.New(set)
	if err != nil {
		return nil, err
	}
	g := &Gate{log: log, seed: maphash.MakeSeed(), origin: time.Now(), controller: d, pending: map[admission.Ticket]chan admission.Action{}}
	g.useSettings(set)
	return g, nil
}

func (g *Gate) useSettings(set admission.Settings) {
	g.tenantNames = g.tenantNames[:0]
	for _, t := range set.Tenants {
		g.tenantNames = append(g.tenantNames, t.Name)
	}
	g.loggedStats = make([]admission.TenantStats, len(g.tenantNames))
}

// now is the door's clock, by the monotonic one.
func (g *Gate) now() admission.Time { return time.Since(g.origin).Microseconds() + 1 }

// ApplySettings takes over other settings as one whole, or none of them.
func (g *Gate) ApplySettings(set admission.Settings) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := g.controller.ApplySettings(g.now(), set, g.actions[:0])
	if err != nil {
		return err
	}
	g.useSettings(set)
	g.deliver(out)
	return nil
}

// Run lets the door's time pass until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	tick, report := time.NewTicker(gateTickInterval), time.NewTicker(statsInterval)
	defer tick.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			g.deliver(g.controller.Tick(g.now(), g.actions[:0]))
			g.mu.Unlock()
		case <-report.C:
			g.logStats()
		}
	}
}

// deliver hands decisions to those that wait for them. Called with the lock held.
func (g *Gate) deliver(out []admission.Action) {
	for _, a := range out {
		if c := g.pending[a.Ticket]; c != nil {
			c <- a // it has room for the one decision that there is
			delete(g.pending, a.Ticket)
		}
	}
	g.actions = out[:0]
}

// admit takes a request through the door. It returns once the request may go on, is refused, or ctx has ended; leave is to be
// called at the request's end if it may go on, and is nil otherwise.
func (g *Gate) admit(ctx context.Context, r *http.Request, in *forwarder.RequestInfo, deadline time.Time) (leave func(served bool), refused admission.Action) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	ask := admission.Request{Tenant: int(in.Tenant), Class: int(in.Class), Client: maphash.String(g.seed, host), Work: in.WorkHint,
		IsRetry: singleValue(r.Header, repeatHeader) == "1"}
	g.mu.Lock()
	ask.Deadline = g.now() + time.Until(deadline.Add(-gateRejectMargin)).Microseconds()
	decided := make(chan admission.Action, 1)
	ticket, out := g.controller.Submit(g.now(), ask, g.actions[:0])
	g.pending[ticket] = decided
	g.deliver(out)
	g.mu.Unlock()
	var a admission.Action
	select {
	case a = <-decided:
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		select {
		case a = <-decided: // just before
			if a.Kind == admission.Admit {
				g.deliver(g.controller.Finish(g.now(), ticket, false, g.actions[:0]))
			}
		default:
			delete(g.pending, ticket)
			g.deliver(g.controller.Cancel(g.now(), ticket, g.actions[:0]))
		}
		return nil, admission.Action{Kind: admission.Reject, Reason: admission.TooLate}
	}
	if a.Kind != admission.Admit {
		return nil, a
	}
	return func(served bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.deliver(g.controller.Finish(g.now(), ticket, served, g.actions[:0]))
	}, a
}

// logStats logs what each tenant has come to since the last time, where anything had to wait or was refused.
func (g *Gate) logStats() {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, inside, waits := g.controller.State()
	for i, name := range g.tenantNames {
		s, last := g.controller.Stats(i), g.loggedStats[i]
		g.loggedStats[i] = s
		refused := 0
		args := []any{"tenant", name, "came", s.Arrived - last.Arrived, "entered", s.Admitted - last.Admitted, "waits", s.Queued,
			"work_s", (s.AdmittedWork - last.AdmittedWork) / 1e6, "returns", s.Returned - last.Returned, "returns_in", s.ReturnsAdmitted - last.ReturnsAdmitted}
		for k := range s.Rejected {
			n := s.Rejected[k] - last.Rejected[k]
			refused += int(n)
			args = append(args, "refused_"+strings.ReplaceAll(admission.Reason(k).String(), " ", "_"), n)
		}
		if refused > 0 || s.Queued > 0 {
			g.log.Info("door", append(args, "limit", int(limit), "inside", inside, "waits_in_all", waits)...)
		}
	}
}

// writeRejection answers a refusal of the door's: nothing was sent, so trying again is harmless.
func writeRejection(w http.ResponseWriter, a admission.Action) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.RetryAfter)/1e6, 'f', 3, 64))
	}
	http.Error(w, "busy: "+a.Reason.String(), http.StatusServiceUnavailable)
}
