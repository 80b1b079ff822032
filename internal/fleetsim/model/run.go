package model

import (
	"fmt"
	"math/rand/v2"

	"pumiceline/internal/standalone/policy"
)

const (
	maxAttempts = 8       // of one request
	idBits      = 22      // of an id are the job's place; the rest numbers them
	mostTimers  = 500_000 // of one proxy in a simulated second
	mostActions = 1 << 20 // of one Handle
)

// run is one play of a world.
type run struct {
	w     *World
	seed  uint64
	make  Maker
	watch Watcher
	q     *queue
	now   Time
	err   error
	rec   Record

	arrive, net, chance *rand.Rand

	servers []*server
	salt    uint32
	proxies []proxy
	calls   []call
	jobs    []job
	tasks   []task
	freeC   []int32
	freeJ   []int32
	freeT   []int32
	letters []letter
	freeL   []int32

	callNo   uint64
	openC    int
	jobNo    uint64
	rate     float64 // requests a microsecond at the nominal load
	capacity float64 // requests a second of the warm fleet
	zoneAt   []float64
	zoneW    []float64
	classAt  []float64
	tenantAt []float64
	keyAt    []float64
	bursting bool
	burstEnd Time
	flood    float64
	retries  int
	rapid    bool
	reg      registry
	struck   [][]int32 // by trouble
	cuts     []cut
	zoneOff  []int // cuts in force, by zone
	actions  []policy.Action
	ev       policy.Event
	report   []float32
	load     []float64
	truth    *Truth
	stats    Stats
}

// Stats is what a play cost.
type Stats struct {
	Events   int64 `json:"Events"`   // of the model
	Handled  int64 `json:"Handled"`  // events given to nodes
	Requests int64 `json:"Requests"` // first tries
	End      Time  `json:"End"`      // when the last answer was given
}

// Play plays w from the seed with the nodes that make makes, and shows watch all that passes. One play is
// single-threaded; the same world, seed and nodes give the same records to the same microsecond, always. An error
// tells of a world that can't be played, or of a node that does what no proxy could carry out.
func Play(w *World, seed uint64, make Maker, watch Watcher) (Stats, error) {
	if err := w.Check(); err != nil {
		return Stats{}, err
	}
	own := w.Clone()
	w = &own // with the drawn troubles; the caller's stays as it is
	w.Troubles = append(w.Troubles, w.drawn(rand.New(rand.NewPCG(seed, 6)))...)
	r := &run{w: w, seed: seed, make: make, watch: watch, q: newQueue(), retries: w.Clients.Retries, flood: 1,
		arrive: rand.New(rand.NewPCG(seed, 1)), net: rand.New(rand.NewPCG(seed, 2)), chance: rand.New(rand.NewPCG(seed, 3)),
		zoneOff: zeros(w.Zones)}
	r.truth = &Truth{r: r}
	r.build()
	r.stats.End = r.loop()
	return r.stats, r.err
}

func (r *run) at(t Time, e event) {
	e.at = max(t, r.now)
	r.q.push(e)
}

// see shows the watcher a record.
func (r *run) see(rec Record) {
	rec.At = r.now
	r.rec = rec
	r.watch.See(&r.rec)
}

// fail ends the run: a node did what could not be carried out.
func (r *run) fail(p int32, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("at %.6f s: proxy %d %s", float64(r.now)/1e6, p, fmt.Sprintf(format, args...))
	}
}

// loop plays event by event until the last client has its answer.
func (r *run) loop() Time {
	last := Time(0)
	for _, c := range r.w.Classes {
		last = max(last, Time(c.Deadline))
	}
	last += Time(r.w.Length) + Time(r.w.Told.AnswerSlack) + 2_000_000
	end := Time(0) // of the last call; proxies have their slack to answer what its client left behind
	for r.err == nil {
		e, ok := r.q.pop()
		if !ok || e.at > last || end > 0 && e.at > end+Time(r.w.Told.AnswerSlack)+2*Time(r.w.Tick)+2 {
			break
		}
		r.now = e.at
		r.stats.Events++
		r.step(&e)
		if r.openC == 0 && r.now > Time(r.w.Length) && end == 0 {
			end = r.now
		}
	}
	return end
}

func (r *run) step(e *event) {
	switch e.kind {
	case evArrival:
		r.arrival()
	case evTry:
		if c := &r.calls[e.a]; c.no == e.id && !c.over {
			r.tryCall(e.a)
		}
	case evTake:
		r.take(e.a, e.id)
	case evReach:
		r.reach(e.a)
	case evServer:
		s := r.servers[e.a]
		if s.nextAt == e.at {
			s.nextAt = 0
			r.work(s)
		}
	case evOutcome:
		r.outcome(e.a)
	case evLimit:
		if j := &r.jobs[e.a]; j.id == e.id && j.tries[e.n].out {
			r.drop(&j.tries[e.n])
			r.proven(e.a, e.n, policy.TimedOut, r.now-j.tries[e.n].sent, nil)
		}
	case evFailed:
		if j := &r.jobs[e.a]; j.id == e.id && j.tries[e.n].out {
			r.proven(e.a, e.n, policy.Outcome(e.b), r.now-j.tries[e.n].sent, nil)
		}
	case evOverdue:
		r.overdue(e.a, e.id)
	case evProbed:
		r.probed(e.a, e.b, uint32(e.id))
	case evWaited:
		r.waited(e.a, policy.Outcome(e.n))
	case evTimer:
		if p := &r.proxies[e.a]; p.inc == e.b && p.up {
			r.ev = policy.Event{Kind: policy.TimerFired, ID: e.id}
			r.give(e.a)
		}
	case evBack:
		r.back(e.a, e.id, policy.Outcome(e.n), Time(e.b))
	case evLeave:
		r.leave(e.a, e.id)
	case evPause, evResume:
		r.pause(e)
	case evSweep:
		r.sweep(e.a, e.b)
	case evTrouble:
		r.trouble(e)
	case evListed:
		r.listed(e)
	case evInform:
		r.inform(e.a, e.b)
	case evCalled:
		r.called(e)
	case evBreak:
		r.unwatch(e.a, e.b, false)
	case evLetter:
		r.deliver(e)
	case evSample:
		r.sample()
		r.at(r.now+1_000_000, event{kind: evSample})
	case evServerUp:
		r.serverUp(r.servers[e.a])
	case evServerDown:
		if s := r.servers[e.a]; s.epoch == e.b && s.state != down {
			r.serverDown(s, true)
			if e.n == 1 {
				r.succeed(s)
			}
		}
	case evProxyDown:
		if p := &r.proxies[e.a]; p.inc == e.b {
			r.killProxy(e.a)
			p.diedAt = p.stopsAt // the front layer has known since then
		}
	case evProxyUp:
		r.startProxy(e.a)
	}
}

// tick is when a proxy handles what comes at t.
func (r *run) tick(t Time) Time {
	n := Time(r.w.Tick)
	if n <= 0 {
		return t
	}
	return (t + n - 1) / n * n
}

// delay draws the time of one message between two zones.
func (r *run) delay(a, b uint8) Time {
	base := float64(r.w.Net.Same)
	if a != b {
		base = float64(r.w.Net.Cross)
	}
	return Time(base * (1 + r.w.Net.Jitter*r.net.ExpFloat64()))
}
