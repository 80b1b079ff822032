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

// gateTick is how often the door is told of the time while requests wait.
const gateTick = 10 * time.Millisecond

// gateMargin is how long before its deadline a request is refused at the latest, so that its client still hears of it.
const gateMargin = 2 * gateTick

// reportEvery is how often the door's state is logged while it has had to refuse or hold anything.
const reportEvery = 10 * time.Second

// Gate runs the door for the front sockets: it owns it, keeps its clock, and lets each request wait for its decision.
type Gate struct {
	log    *slog.Logger
	seed   maphash.Seed // clients are told apart by their address's hash, which nobody outside can steer
	origin time.Time

	mu      sync.Mutex
	door    *admission.Door
	names   []string
	actions []admission.Action
	waiting map[admission.Ticket]chan admission.Action
	stats   []admission.TenantStats // as last logged
}

// NewGate returns a gate for a door with these settings.
func NewGate(set admission.Settings, log *slog.Logger) (*Gate, error) {
	d, err := admission.New(set)
	if err != nil {
		return nil, err
	}
	g := &Gate{log: log, seed: maphash.MakeSeed(), origin: time.Now(), door: d, waiting: map[admission.Ticket]chan admission.Action{}}
	g.adopt(set)
	return g, nil
}

func (g *Gate) adopt(set admission.Settings) {
	g.names = g.names[:0]
	for _, t := range set.Tenants {
		g.names = append(g.names, t.Name)
	}
	g.stats = make([]admission.TenantStats, len(g.names))
}

// now is the door's clock, by the monotonic one.
func (g *Gate) now() admission.Time { return time.Since(g.origin).Microseconds() + 1 }

// Change takes over other settings as one whole, or none of them.
func (g *Gate) Change(set admission.Settings) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := g.door.Change(g.now(), set, g.actions[:0])
	if err != nil {
		return err
	}
	g.adopt(set)
	g.tell(out)
	return nil
}

// Run lets the door's time pass until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	tick, report := time.NewTicker(gateTick), time.NewTicker(reportEvery)
	defer tick.Stop()
	defer report.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.mu.Lock()
			g.tell(g.door.Tick(g.now(), g.actions[:0]))
			g.mu.Unlock()
		case <-report.C:
			g.report()
		}
	}
}

// tell hands decisions to those that wait for them. Called with the lock held.
func (g *Gate) tell(out []admission.Action) {
	for _, a := range out {
		if c := g.waiting[a.Ticket]; c != nil {
			c <- a // it has room for the one decision that there is
			delete(g.waiting, a.Ticket)
		}
	}
	g.actions = out[:0]
}

// enter takes a request through the door. It returns once the request may go on, is refused, or ctx has ended; leave is to be
// called at the request's end if it may go on, and is nil otherwise.
func (g *Gate) enter(ctx context.Context, r *http.Request, in *forwarder.Inbound, deadline time.Time) (leave func(served bool), refused admission.Action) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	ask := admission.Request{Tenant: int(in.Tenant), Class: int(in.Class), Client: maphash.String(g.seed, host), Work: in.Work,
		Repeat: one(r.Header, repeatHeader) == "1"}
	g.mu.Lock()
	ask.Deadline = g.now() + time.Until(deadline.Add(-gateMargin)).Microseconds()
	decided := make(chan admission.Action, 1)
	ticket, out := g.door.Arrive(g.now(), ask, g.actions[:0])
	g.waiting[ticket] = decided
	g.tell(out)
	g.mu.Unlock()
	var a admission.Action
	select {
	case a = <-decided:
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		select {
		case a = <-decided: // just before
			if a.Kind == admission.Enter {
				g.tell(g.door.Leave(g.now(), ticket, false, g.actions[:0]))
			}
		default:
			delete(g.waiting, ticket)
			g.tell(g.door.Abandon(g.now(), ticket, g.actions[:0]))
		}
		return nil, admission.Action{Kind: admission.Refuse, Reason: admission.TooLate}
	}
	if a.Kind != admission.Enter {
		return nil, a
	}
	return func(served bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tell(g.door.Leave(g.now(), ticket, served, g.actions[:0]))
	}, a
}

// report logs what each tenant has come to since the last time, where anything had to wait or was refused.
func (g *Gate) report() {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit, inside, waits := g.door.State()
	for i, name := range g.names {
		s, last := g.door.Stats(i), g.stats[i]
		g.stats[i] = s
		refused := 0
		args := []any{"tenant", name, "came", s.Came - last.Came, "entered", s.Entered - last.Entered, "waits", s.Waiting,
			"work_s", (s.Work - last.Work) / 1e6, "returns", s.Returned - last.Returned, "returns_in", s.ReturnsIn - last.ReturnsIn}
		for k := range s.Refused {
			n := s.Refused[k] - last.Refused[k]
			refused += int(n)
			args = append(args, "refused_"+strings.ReplaceAll(admission.Reason(k).String(), " ", "_"), n)
		}
		if refused > 0 || s.Waiting > 0 {
			g.log.Info("door", append(args, "limit", int(limit), "inside", inside, "waits_in_all", waits)...)
		}
	}
}

// busy answers a refusal of the door's: nothing was sent, so trying again is harmless.
func busy(w http.ResponseWriter, a admission.Action) {
	if a.After > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(a.After)/1e6, 'f', 3, 64))
	}
	http.Error(w, "busy: "+a.Reason.String(), http.StatusServiceUnavailable)
}
