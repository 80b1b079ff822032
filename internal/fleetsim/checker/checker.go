// Package checker judges a play of the laboratory from what passed, never from what a decider says of itself: the
// four rules with their figures, each breach with its time, request and cause, and the service that clients got.
package checker

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/standalone/policy"
)

// Time is in microseconds.
type Time = model.Time

// The four rules, as the wire's page numbers them.
const (
	RuleAnswer = 1 // each request taken gets one final answer in time, and nothing is sent for it after
	RuleEffect = 2 // a request that may have run is sent again, or refused, only as its class allows
	RuleDrain  = 3 // nothing new to a server DrainGrace after the proxy was told that it drains or is gone
	RuleCold   = 4 // the sum of all proxies pushes no cold server over
)

// goal weighs the parts of service, as the operators' brief does: the whole run, the worst ten seconds, the
// worst-served class, the worst-served tenant within its share.
var goal = struct{ whole, window, class, tenant float64 }{0.25, 0.45, 0.2, 0.1}

const (
	second     = 1_000_000
	windowSecs = 10
	soldShare  = 0.8 // of the fleet's capacity, as tenants' shares
)

// taken is a request that a proxy has.
type taken struct {
	proxy    int32
	class    uint8
	call     uint64
	answered bool
	out      int
	attempts []attempt
}

// proxy is what one proxy has been told.
type proxy struct {
	gone     map[uint32]Time // when it was told that the server drains or is gone
	starts   map[uint32]Time // the latest start of a server that it was told of
	watching bool
	asked    Time
	failed   bool // the last call
	began    Time
	had      bool // a watch since then
}

// cold is a server that has started lately.
type cold struct {
	started Time
	pushes  []push
	head    int
	sum     float64
	over    bool
}

// Referee watches one play. Create it with New, hand it to model.Play, then ask for its Report.
type Referee struct {
	w        *model.World
	classes  []policy.Class
	mean     float64 // work of a request, in microseconds
	open     map[uint64]*taken
	spare    []*taken
	calls    map[uint64]*call
	free     []*call
	proxies  []proxy
	gone     map[uint32]Time // since when discovery has known
	starts   map[uint32]Time // of which discovery knows, and since when
	heard    map[uint32]Time
	colds    map[uint32]*cold
	tokens   []float64
	tokensAt Time
	quota    []float64 // requests a microsecond

	rep            Report
	beginnings     int       // starts of proxies
	waits          []Time    // from a start to its first watch
	askedIn        []int     // calls to discovery, by second
	asked          []float64 // worth, by second
	got            []float64
	class          [][2]float64
	tenant         [][2]float64
	lateFail       float64
	firsts         float64
	work           float64
	waste          float64
	crossed        float64
	opened, probes float64
	peer           float64
	hist           []*hdrhistogram.Histogram
}

// New makes the referee of one play of w.
func New(w *model.World) *Referee {
	r := &Referee{w: w, open: map[uint64]*taken{}, calls: map[uint64]*call{}, gone: map[uint32]Time{}, starts: map[uint32]Time{},
		heard: map[uint32]Time{}, colds: map[uint32]*cold{}, proxies: make([]proxy, w.Proxies), classes: w.DecideClasses()}
	share := 0.0
	for _, c := range w.Classes {
		r.mean, share = r.mean+c.Share*float64(c.Work), share+c.Share
		r.hist = append(r.hist, hdrhistogram.New(1, 60_000_000, 3))
	}
	r.mean /= math.Max(share, 1e-9)
	r.class = make([][2]float64, len(w.Classes))
	r.tenant = make([][2]float64, len(w.Tenants))
	r.tokens = make([]float64, len(w.Tenants))
	return r
}

// See takes what passed.
func (r *Referee) See(rec *model.Record) {
	switch rec.Kind {
	case model.Opening: // tenants' shares are parts of what the fleet can do
		for i, t := range r.w.Tenants {
			r.quota = append(r.quota, t.Share*rec.Capacity*soldShare/1e6)
			r.tokens[i] = r.quota[i] * second
		}
	case model.CallMade:
		r.callMade(rec)
	case model.CallOver:
		r.callOver(rec)
	case model.Taken:
		t := r.grab()
		t.proxy, t.class, t.call = rec.Proxy, rec.Class, rec.Call
		r.open[rec.ID] = t
		if c := r.calls[rec.Call]; c != nil {
			c.tries++
		}
	case model.Sent:
		r.sent(rec)
	case model.Opened:
		r.opened++
	case model.Probed:
		r.probes++
	case model.Proven:
		r.proven(rec)
	case model.Answered:
		r.answered(rec)
	case model.Overdue:
		r.breach(rec, RuleAnswer, "no final answer within the slack after its client's deadline")
		if t := r.open[rec.ID]; t != nil {
			t.answered = true
			r.drop(rec.ID, t)
		}
	case model.Ran:
		if !rec.Flag {
			r.waste += float64(rec.Work)
		}
	case model.Reached:
		r.reached(rec)
	case model.Started:
		r.colds[rec.Server] = &cold{started: rec.At}
		r.rep.ColdStarts++
	case model.Fell:
		r.fell(rec)
	case model.Listed:
		for i := range rec.Members {
			m := &rec.Members[i]
			if m.Mode == policy.ModeReady {
				delete(r.gone, m.Server)
				r.starts[m.Server], r.heard[m.Server] = m.StartedAt, rec.At
			} else if _, known := r.gone[m.Server]; !known {
				r.gone[m.Server] = rec.At
			}
		}
	case model.ProxyUp:
		r.proxies[rec.Proxy] = proxy{gone: map[uint32]Time{}, starts: map[uint32]Time{}, asked: rec.At, began: rec.At}
		r.beginnings++
		r.informed(rec)
	case model.Informed:
		r.informed(rec)
	case model.Asked:
		p := &r.proxies[rec.Proxy]
		p.asked = rec.At
		if rec.Flag {
			if p.watching, p.failed = true, false; !p.had {
				p.had = true
				r.waits = append(r.waits, rec.At-p.began)
			}
		} else {
			r.rep.Asks++
			for int(rec.At/1e6) >= len(r.askedIn) {
				r.askedIn = append(r.askedIn, 0)
			}
			r.askedIn[rec.At/1e6]++
		}
	case model.Unwatched:
		p := &r.proxies[rec.Proxy]
		if p.watching {
			p.asked = rec.At // till now it heard all
		}
		if p.watching, p.failed = false, rec.Flag; rec.Flag {
			r.rep.AsksFailed++
		}
	case model.ProxyDown:
		for id, t := range r.open {
			if t.proxy == rec.Proxy { // what dies with its proxy is its client's to repeat
				delete(r.open, id)
				r.spare = append(r.spare, t)
			}
		}
	case model.PeerSent:
		r.peer += float64(rec.Span)
	case model.Twice:
		r.twice(rec)
	case model.Sample:
		r.sample(rec)
	}
}

func (r *Referee) grab() *taken {
	if n := len(r.spare) - 1; n >= 0 {
		t := r.spare[n]
		r.spare = r.spare[:n]
		*t = taken{attempts: t.attempts[:0]}
		return t
	}
	return &taken{}
}

// drop forgets a request that is answered and has nothing out: whatever is sent for it then is a breach.
func (r *Referee) drop(id uint64, t *taken) {
	if t.answered && t.out == 0 {
		delete(r.open, id)
		r.spare = append(r.spare, t)
	}
}

func secs(t Time) float64 { return float64(t) / 1e6 }

// informed takes what a proxy is told.
func (r *Referee) informed(rec *model.Record) {
	p := &r.proxies[rec.Proxy]
	whole := rec.Flag
	var listed map[uint32]bool
	if whole {
		listed = make(map[uint32]bool, len(rec.Members))
	}
	for i := range rec.Members {
		m := &rec.Members[i]
		if whole {
			listed[m.Server] = true
		}
		if m.Mode == policy.ModeReady {
			delete(p.gone, m.Server)
			if m.StartedAt > 0 {
				p.starts[m.Server] = m.StartedAt
			}
		} else if _, known := p.gone[m.Server]; !known {
			p.gone[m.Server] = rec.At
		}
	}
	if whole { // what a whole list leaves out is gone
		for s := range r.gone {
			if _, known := p.gone[s]; !known && !listed[s] {
				p.gone[s] = rec.At
			}
		}
	}
}

// Service.
