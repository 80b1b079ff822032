// Package checker judges a play of the laboratory from what passed, never from what a decider says of itself: the
// four rules with their figures, each breach with its time, request and cause, and the service that clients got.
package checker

import (
	"fmt"
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

// Breach is one break of a rule. Server, Proxy and ID name what it is about, where it is about them.
type Breach struct {
	Rule   int    `json:"rule"`
	At     Time   `json:"at_us"`
	Proxy  int32  `json:"proxy"`
	Server uint32 `json:"server,omitempty"`
	ID     uint64 `json:"request,omitempty"`
	Cause  string `json:"cause"`
}

func (b Breach) String() string {
	return fmt.Sprintf("rule %d at %.6f s, proxy %d, request %d: %s", b.Rule, float64(b.At)/1e6, b.Proxy, b.ID, b.Cause)
}

// mostKept breaches are kept whole; all are counted.
const mostKept = 50

// goal weighs the parts of service, as the operators' brief does: the whole run, the worst ten seconds, the
// worst-served class, the worst-served tenant within its share.
var goal = struct{ whole, window, class, tenant float64 }{0.25, 0.45, 0.2, 0.1}

const (
	second     = 1_000_000
	windowSecs = 10
	soldShare  = 0.8 // of the fleet's capacity, as tenants' shares
)

// attempt is what the referee saw of one.
type attempt struct {
	server uint32
	zone   uint8
	cell   uint16
	sent   Time
	out    bool
	mayRun bool
}

// taken is a request that a proxy has.
type taken struct {
	proxy    int32
	class    uint8
	call     uint64
	answered bool
	out      int
	attempts []attempt
}

type call struct {
	made   Time
	aim    Time
	worth  float64
	class  uint8
	tenant uint16
	within bool // its tenant's share
	tries  int
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

type push struct {
	at    Time
	work  float64
	proxy int32
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

func (r *Referee) breach(rec *model.Record, rule int, format string, args ...any) {
	r.rep.Broken[rule-1]++
	if len(r.rep.Breaches) < mostKept {
		r.rep.Breaches = append(r.rep.Breaches, Breach{Rule: rule, At: rec.At, Proxy: rec.Proxy, Server: rec.Server, ID: rec.ID,
			Cause: fmt.Sprintf(format, args...)})
	}
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
				r.starts[m.Server], r.heard[m.Server] = m.UpSince, rec.At
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

// sent judges an attempt by rules 1 to 3.
func (r *Referee) sent(rec *model.Record) {
	if rec.Flag {
		r.crossed++
	}
	t := r.open[rec.ID]
	if t == nil || t.answered {
		r.breach(rec, RuleAnswer, "sent to server %d after its final answer", rec.Server)
		return
	}
	c := &r.classes[t.class]
	for i := range t.attempts {
		a := &t.attempts[i]
		if a.out && !r.w.Told.Copies {
			r.breach(rec, RuleEffect, "two attempts out at once, where copies are not allowed")
		}
		if !a.mayRun || c.Semantics == policy.Safe {
			continue
		}
		switch {
		case c.Semantics == policy.Unsafe:
			r.breach(rec, RuleEffect, "an unsafe request sent again though attempt %d may have run", i)
		case !same(c.Group, a, rec):
			r.breach(rec, RuleEffect, "a keyed request sent outside the group of attempt %d, which may have run", i)
		case rec.At-a.sent > c.Window:
			r.breach(rec, RuleEffect, "a keyed request sent again %.3f s after attempt %d, past the window of %.3f s", secs(rec.At-a.sent), i,
				secs(c.Window))
		}
	}
	t.attempts = append(t.attempts, attempt{server: rec.Server, zone: rec.Zone, cell: rec.Cell, sent: rec.At, out: true, mayRun: true})
	t.out++
	r.drained(rec)
}

func same(g policy.Group, a *attempt, rec *model.Record) bool {
	switch g {
	case policy.GroupZone:
		return a.zone == rec.Zone
	case policy.GroupCell:
		return a.cell == rec.Cell
	}
	return true
}

func secs(t Time) float64 { return float64(t) / 1e6 }

// drained judges a send by what its proxy was told of the server, or counts as told of.
func (r *Referee) drained(rec *model.Record) {
	p := &r.proxies[rec.Proxy]
	grace := Time(r.w.Told.DrainGrace)
	if told, ok := p.gone[rec.Server]; ok && rec.At > told+grace {
		r.breach(rec, RuleDrain, "sent to server %d, %.3f s after the proxy was told that it drains or is gone", rec.Server,
			secs(rec.At-told))
		return
	}
	if span := r.deemed(p, rec.At); span > 0 {
		if known, ok := r.gone[rec.Server]; ok && rec.At > known+span+grace {
			r.breach(rec, RuleDrain, "sent to server %d, which had been listed as draining or gone for %.3f s while the proxy did not ask",
				rec.Server, secs(rec.At-known))
		}
	}
}

// deemed is how old a list a proxy counts as told of though it did not ask; 0: it asked, or hears by itself.
func (r *Referee) deemed(p *proxy, now Time) Time {
	span := Time(r.w.Told.AskWithin)
	if p.failed {
		span *= 4
	}
	if p.watching || now-p.asked <= span {
		return 0
	}
	return span
}

func (r *Referee) proven(rec *model.Record) {
	t := r.open[rec.ID]
	if t == nil || int(rec.Attempt) >= len(t.attempts) {
		return
	}
	a := &t.attempts[rec.Attempt]
	a.out = false
	t.out--
	switch rec.Outcome {
	case policy.Full, policy.ConnectFailed, policy.NotSent:
		a.mayRun = false
	}
	r.drop(rec.ID, t)
}

func (r *Referee) answered(rec *model.Record) {
	t := r.open[rec.ID]
	if t == nil || t.answered {
		return // the model lets only the first one through
	}
	t.answered = true
	switch rec.Outcome {
	case policy.OK:
		r.rep.Answers.Served++
	case policy.Full:
		r.rep.Answers.Refused++
		c := &r.classes[t.class]
		for i := range t.attempts {
			if a := &t.attempts[i]; a.mayRun && (c.Semantics == policy.Unsafe || c.Semantics == policy.Keyed && c.Group != policy.GroupAll) {
				r.breach(rec, RuleEffect, "refused as harmless to repeat though attempt %d may have run", i)
				break
			}
		}
	default:
		r.rep.Answers.Failed++
	}
	r.drop(rec.ID, t)
}

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
			if m.UpSince > 0 {
				p.starts[m.Server] = m.UpSince
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

// reached adds up what comes to a cold server from all proxies.
func (r *Referee) reached(rec *model.Record) {
	c := r.colds[rec.Server]
	if c == nil {
		return
	}
	over := Time(r.w.Tip.Over)
	for c.head < len(c.pushes) && c.pushes[c.head].at <= rec.At-over {
		c.sum -= c.pushes[c.head].work
		c.head++
	}
	if c.head > 64 && 2*c.head > len(c.pushes) {
		c.pushes = append(c.pushes[:0], c.pushes[c.head:]...)
		c.head = 0
	}
	c.pushes = append(c.pushes, push{rec.At, float64(rec.Work), rec.Proxy})
	c.sum += float64(rec.Work)
	able := rec.Capacity * float64(over)
	r.rep.ColdPeak = max(r.rep.ColdPeak, c.sum/(able+r.w.Tip.Slack*r.mean/r.w.Told.TipMultiple))
	past := c.sum > r.w.Told.TipMultiple*able+r.w.Tip.Slack*r.mean
	if past && !c.over {
		r.rep.Overdriven++
	}
	c.over = past
}

// fell judges who pushed a cold server over: the rule is broken if two thirds of the work came from proxies that
// knew of its start or should have.
func (r *Referee) fell(rec *model.Record) {
	r.rep.Fallen++
	c := r.colds[rec.Server]
	if c == nil {
		return
	}
	total, blamed := 0.0, 0.0
	var last int32
	for _, p := range c.pushes[c.head:] {
		total += p.work
		told := r.proxies[p.proxy].starts[rec.Server] >= c.started
		if span := r.deemed(&r.proxies[p.proxy], rec.At); !told && span > 0 {
			told = r.starts[rec.Server] >= c.started && rec.At > r.heard[rec.Server]+span
		}
		if told {
			blamed += p.work
			last = p.proxy
		}
	}
	if total > 0 && blamed >= 2.0/3*total {
		rec.Proxy = last
		r.breach(rec, RuleCold, "cold server %d fell over, %.1f s after its start, under %.2f s of work within %.2f s, %.0f%% of it from proxies that knew",
			rec.Server, secs(rec.At-c.started), total/1e6, secs(Time(r.w.Tip.Over)), 100*blamed/total)
	}
	delete(r.colds, rec.Server)
}

func (r *Referee) twice(rec *model.Record) {
	r.rep.Twice++
	if len(r.rep.TwiceCauses) >= mostKept {
		return
	}
	cause := "its proxy sent it again"
	if c := r.calls[rec.Call]; c == nil || c.tries > 1 {
		cause = "its client asked again while an earlier copy ran or may have run"
	}
	r.rep.TwiceCauses = append(r.rep.TwiceCauses, Breach{At: rec.At, Server: rec.Server, ID: rec.ID,
		Cause: fmt.Sprintf("call %d had its effect again after %.3f s: %s", rec.Call, secs(rec.Span), cause)})
}

// Service.

func (r *Referee) callMade(rec *model.Record) {
	var c *call
	if n := len(r.free) - 1; n >= 0 {
		c = r.free[n]
		r.free = r.free[:n]
	} else {
		c = &call{}
	}
	*c = call{made: rec.At, aim: r.classes[rec.Class].Aim, worth: rec.Worth, class: rec.Class, tenant: rec.Tenant, within: true}
	if dt := float64(rec.At - r.tokensAt); dt > 0 && len(r.tokens) > 0 {
		r.tokensAt = rec.At
		for i, q := range r.quota {
			r.tokens[i] = min(max(1, q*second), r.tokens[i]+q*dt)
		}
	}
	if int(rec.Tenant) < len(r.tokens) {
		if r.tokens[rec.Tenant] >= 1 {
			r.tokens[rec.Tenant]--
		} else {
			c.within = false
			c.worth *= r.w.Clients.OverShare
		}
	}
	r.calls[rec.Call] = c
	r.firsts++
	r.work += float64(rec.Work)
}

func (r *Referee) callOver(rec *model.Record) {
	c := r.calls[rec.Call]
	if c == nil {
		return
	}
	delete(r.calls, rec.Call)
	r.free = append(r.free, c)
	worth := 0.0
	switch {
	case rec.Flag && rec.Span <= c.aim:
		worth = c.worth
		r.rep.InTime++
	case rec.Flag:
		worth = c.worth * r.w.Classes[c.class].Late
		r.rep.Late++
	default:
		r.rep.Unserved++
	}
	if rec.Flag {
		r.hist[c.class].RecordValue(max(1, rec.Span)) // an error would say that a call took longer than a minute
	}
	if c.made < second {
		return
	}
	if !rec.Flag && rec.Span > c.aim {
		r.lateFail += c.worth
	}
	for s := int(c.made / second); s >= len(r.asked); {
		r.asked, r.got = append(r.asked, 0), append(r.got, 0)
	}
	r.asked[c.made/second] += c.worth
	r.got[c.made/second] += worth
	r.class[c.class][0] += c.worth
	r.class[c.class][1] += worth
	if int(c.tenant) < len(r.tenant) && c.within {
		r.tenant[c.tenant][0] += c.worth
		r.tenant[c.tenant][1] += worth
	}
}

// bandsAt are the quantiles of the servers' use that a Sample keeps.
var bandsAt = []float64{0.05, 0.25, 0.5, 0.75, 0.95, 1}

func (r *Referee) sample(rec *model.Record) {
	band := make([]float64, len(bandsAt))
	if n := len(rec.Load); n > 0 {
		for i, q := range bandsAt {
			band[i] = math.Round(rec.Load[min(n-1, int(q*float64(n)))]*1000) / 1000
		}
	}
	r.rep.Bands = append(r.rep.Bands, band)
}
