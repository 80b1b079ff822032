package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"pumiceline/internal/standalone/policy"
)

type eventKind uint8

const (
	evArrival    eventKind = iota + 1 // the next client's first try
	evTry                             // a client tries again: a=call id=its number
	evTake                            // a try comes to its proxy: a=job id
	evReach                           // an attempt comes to its server: a=task
	evServer                          // a server may have finished something: a=server
	evOutcome                         // an attempt's end comes to its proxy: a=task
	evLimit                           // an attempt's time is up: a=job n=attempt id
	evOverdue                         // a try's time is up: a=job id
	evTimer                           // a node's timer: a=proxy b=incarnation id=tag
	evBack                            // an answer comes to the client: a=call b=Retry-After n=outcome id=the try's
	evLeave                           // the client leaves: a=call id=the try's
	evPause                           // a server's pause begins: a=server b=epoch
	evResume                          // and ends
	evSweep                           // a proxy's idle connections: a=proxy b=incarnation
	evTrouble                         // a step of a trouble: a=trouble n=step b=step's number
	evListed                          // discovery learns of a change: a=server n=mode id=its start
	evInform                          // a watch brings news: a=proxy b=incarnation
	evCalled                          // a call to discovery is answered: a=proxy b=incarnation n=1: it failed
	evBreak                           // a watch breaks: a=proxy b=incarnation
	evLetter                          // a message between proxies: a=proxy b=place
	evSample                          // once a second
	evServerUp                        // a server process starts: a=server
	evServerDown                      // a draining server's process ends: a=server b=epoch n=1: a successor follows
	evProxyDown                       // a proxy that was told to stop has ended: a=proxy b=incarnation
	evProxyUp                         // a killed proxy starts: a=proxy
	evProbed                          // a probe's answer comes: a=proxy b=incarnation id=server
	evWaited                          // an attempt has waited on others: a=task n=outcome
	evFailed                          // an attempt that reached nobody: a=job n=attempt b=outcome id
)

const (
	maxAttempts = 8       // of one request
	idBits      = 22      // of an id are the job's place; the rest numbers them
	mostTimers  = 500_000 // of one proxy in a simulated second
	mostActions = 1 << 20 // of one Handle
)

// call is what one client wants, over all its tries.
type call struct {
	no       uint64
	job      uint64 // the present try's id
	made     Time
	aim, end Time // absolute
	work     float64
	key      uint64
	habit    uint64 // random bits that fix how this client behaves
	effectAt Time   // -1: none yet
	hint     Time
	worth    float64
	refs     int32
	zone     uint8
	class    uint8
	tenant   uint16
	tries    uint8
	over     bool
	effect   struct {
		zone uint8
		cell uint16
	}
}

// try is an attempt of a job, as its proxy has it.
type try struct {
	task   int32 // -1: nothing is under way on the network
	server int32
	out    bool
	ran    bool
	sent   Time
}

// job is one try of a client at one proxy.
type job struct {
	id       uint64
	call     int32
	proxy    int32
	deadline Time
	over     bool
	out      uint8
	n        uint8
	tries    [maxAttempts]try
}

// task is an attempt on its way and at its server, where it outlives what its proxy does about it.
type task struct {
	id      uint64 // the job's
	work    float64
	finish  float64 // in the server's virtual time
	sent    Time
	call    int32
	job     int32
	proxy   int32
	inc     int32
	server  int32
	epoch   int32
	attempt uint8
	outcome policy.Outcome
	stage   stage
	fresh   bool // on a new connection
	dropped bool // its proxy has given it up and closed the connection
	report  [3]float32
	reports bool
}

type stage uint8

const (
	travelling stage = iota // to its server
	held                    // by its server: in work or waiting
	returning
)

// conns are one proxy's connections to one server.
type conns struct {
	epoch int32
	used  int32
	idle  []Time // since when, oldest first
}

type proxy struct {
	node     Node
	talker   Talker
	inc      int32
	zone     uint8
	up       bool
	diedAt   Time
	stopsAt  Time // it was told to stop, and gets no new clients from then; 0: it was not
	version  int  // of the list that its node has
	pending  bool
	watching bool
	calling  bool
	open     int
	conns    map[int32]*conns
	timers   int
	second   int64
	cut      bool // from discovery
}

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

type letter struct {
	from int32
	inc  int32
	text []byte
}

type cut struct {
	trouble int32
	a, b    Party
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

func zeros(n int) []int { return make([]int, n) }

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

// build draws the fleet, the traffic and the troubles, and starts everything.
func (r *run) build() {
	w := r.w
	draw := rand.New(rand.NewPCG(r.seed, 4))
	vary := func(x float64) float64 { return x * (1 + w.Spread*(2*draw.Float64()-1)) }
	r.salt = draw.Uint32()
	kinds := make([]Kind, len(w.Kinds))
	for i, k := range w.Kinds {
		k.Slots = max(1, int(vary(float64(k.Slots))))
		k.Room = int(vary(float64(k.Room)))
		k.Knee = int(vary(float64(k.Knee)))
		k.ColdFor = Span(vary(float64(k.ColdFor)))
		if w.Told.Cold > 0 {
			k.ColdFor = min(k.ColdFor, w.Told.Cold)
		}
		k.ColdFrom = max(vary(k.ColdFrom), w.Told.ColdShare)
		kinds[i] = k
	}
	// Servers are dealt to zones unevenly, each zone having one at least where there are enough; kinds in proportion.
	share, sum := 0.0, 0.0
	for _, k := range kinds {
		sum += k.Share
	}
	if sum == 0 {
		sum = 1
	}
	total := 0.0
	for i := range w.Servers {
		pick, x := 0, (float64(i)+0.5)/float64(w.Servers)*sum
		for share = kinds[0].Share; pick < len(kinds)-1 && x > share; share += kinds[pick].Share {
			pick++
		}
		zone := i % w.Zones
		if i >= w.Zones && draw.Float64() < w.Skew {
			zone = draw.IntN(w.Zones)
		}
		s := r.addServer(int32(zone), int32(pick), &kinds[pick], vary(kinds[pick].Speed))
		total += s.full()
	}
	mean := w.meanWork()
	r.capacity = total / mean * 1e6
	r.rate = w.Load * total / mean
	r.see(Record{Kind: Opening, Capacity: r.capacity})
	r.zoneW = make([]float64, w.Zones)
	for i := range r.zoneW {
		r.zoneW[i] = 1 + w.Skew*(2*draw.Float64()-1)
	}
	r.zoneAt = cumulate(w.Zones, func(i int) float64 { return r.zoneW[i] })
	r.classAt = cumulate(len(w.Classes), func(i int) float64 { return w.Classes[i].Share })
	if len(w.Tenants) > 0 {
		r.tenantAt = cumulate(len(w.Tenants), func(i int) float64 { return max(1e-9, w.Tenants[i].Share*w.Tenants[i].Usage) })
	}
	if w.Keys.Count > 0 {
		r.keyAt = cumulate(w.Keys.Count, func(i int) float64 { return math.Pow(float64(i+1), -w.Keys.Zipf) })
	}
	r.reg.begin(r)
	r.proxies = make([]proxy, w.Proxies)
	for i := range r.proxies {
		p := &r.proxies[i]
		p.zone, p.diedAt = uint8(i%w.Zones), math.MinInt64/2
		r.startProxy(int32(i))
	}
	r.plan(rand.New(rand.NewPCG(r.seed, 5)))
	for i := range r.servers {
		r.pauseLater(int32(i))
	}
	r.at(0, event{kind: evArrival})
	r.at(1_000_000, event{kind: evSample})
}

// cumulate turns weights into the upper ends of their parts of 0 to 1.
func cumulate(n int, of func(int) float64) []float64 {
	out, sum := make([]float64, n), 0.0
	for i := range out {
		sum += of(i)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
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

// Clients.

func pickAt(cum []float64, x float64) int {
	for i, c := range cum {
		if x < c {
			return i
		}
	}
	return len(cum) - 1
}

// arrival begins a client's first try and plans the next. Arrivals are drawn from a stream of their own, so every
// policy gets the same ones.
func (r *run) arrival() {
	w, g := r.w, r.arrive
	rate := r.rate
	if w.Wave > 0 {
		rate *= 1 + w.Swing*math.Sin(2*math.Pi*float64(r.now)/float64(w.Wave))
	}
	if w.Burst > 0 {
		if r.now >= r.burstEnd {
			r.bursting = !r.bursting
			mean := float64(w.BurstOn)
			if !r.bursting {
				mean *= 9
			}
			r.burstEnd = r.now + 1 + Time(g.ExpFloat64()*mean)
		}
		if r.bursting {
			rate *= w.Burst
		}
	}
	if len(r.tenantAt) > 0 {
		rate *= 1 + (r.flood-1)*r.tenantAt[0]
	}
	next := r.now + max(1, Time(g.ExpFloat64()/rate+0.5))
	if next < Time(w.Length) {
		r.at(next, event{kind: evArrival})
	}
	n := grab(&r.calls, &r.freeC)
	c := &r.calls[n]
	r.callNo++
	class := pickAt(r.classAt, g.Float64())
	k := &w.Classes[class]
	c.no, c.made, c.effectAt, c.class, c.tries, c.refs = r.callNo, r.now, -1, uint8(class), 0, 1
	c.aim, c.end = r.now+Time(k.Aim), r.now+Time(k.Deadline)
	c.zone = uint8(pickAt(r.zoneAt, g.Float64()))
	c.work = lognormal(g, float64(k.Work), k.CV)
	c.habit, c.key = g.Uint64(), g.Uint64()
	if len(r.keyAt) > 0 {
		at, _ := slices.BinarySearch(r.keyAt, float64(mix(c.key)>>11)/(1<<53))
		c.key = mix(r.seed + uint64(at) + 1)
	}
	c.hint = 0
	if guess := lognormal(g, c.work, max(0, w.Hint)); w.Hint >= 0 {
		c.hint = max(1, Time(guess))
	}
	c.worth = k.Worth * c.work
	if u := g.Float64(); len(r.tenantAt) > 0 {
		x := u * (1 + (r.flood-1)*r.tenantAt[0]) // a flood adds to the first tenant's part
		if x -= (r.flood - 1) * r.tenantAt[0]; x >= 0 {
			c.tenant = uint16(pickAt(r.tenantAt, x))
		}
	}
	r.openC++
	r.stats.Requests++
	r.see(Record{Kind: CallMade, Call: c.no, Class: c.class, Tenant: c.tenant, Work: Time(c.work), Worth: c.worth, Span: Time(k.Deadline),
		Zone: c.zone})
	r.tryCall(n)
}

func lognormal(g *rand.Rand, mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(s2)*g.NormFloat64()-s2/2)
}

// grab takes a place in a pool.
func grab[T any](pool *[]T, free *[]int32) int32 {
	if n := len(*free) - 1; n >= 0 {
		i := (*free)[n]
		*free = (*free)[:n]
		var zero T
		(*pool)[i] = zero
		return i
	}
	*pool = append(*pool, *new(T))
	return int32(len(*pool) - 1)
}

// habit draws a number from 0 to 1 that belongs to the client and the purpose alone.
func (c *call) draw(purpose uint64) float64 {
	return float64(mix(c.habit+purpose*0x9e3779b97f4a7c15)>>11) / (1 << 53)
}

// mix is the finaliser of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// tryCall sends a client's next try to a proxy of its zone that the front layer holds for alive.
func (r *run) tryCall(n int32) {
	c := &r.calls[n]
	c.tries++
	c.job = 0
	zone := c.zone
	chosen, seen := int32(-1), 0.0
	for pass := 0; pass < 2 && chosen < 0; pass++ {
		for i := range r.proxies {
			p := &r.proxies[i]
			if pass == 0 && p.zone != zone || !p.up && r.now-p.diedAt > Time(r.w.Clients.Notice) || p.stopsAt > 0 && r.now >= p.stopsAt {
				continue
			}
			if seen++; c.draw(uint64(i)<<8+uint64(c.tries))*seen < 1 { // each of them is as likely
				chosen = int32(i)
			}
		}
	}
	travel := Time(float64(r.w.Net.Client) * (1 + r.w.Net.Jitter*c.draw(uint64(c.tries)+1<<40)))
	if chosen < 0 || !r.proxies[chosen].up || r.proxies[chosen].open >= r.w.Told.MostHeld && r.w.Told.MostHeld > 0 {
		r.at(r.now+2*travel, event{kind: evBack, a: n, n: uint8(policy.ConnectFailed), id: 0})
		return
	}
	k := &r.w.Classes[c.class]
	patience := min(Time(r.w.Clients.Patience*float64(k.Deadline)), c.end-r.now)
	if c.draw(7) < r.w.Clients.Hasty {
		patience = min(patience, Time(k.Aim))
	}
	m := grab(&r.jobs, &r.freeJ)
	if m >= 1<<idBits {
		r.fail(chosen, "has a part in over %d requests open at once", 1<<idBits)
		return
	}
	r.jobNo++
	j := &r.jobs[m]
	j.id, j.call, j.proxy, j.deadline = r.jobNo<<idBits|uint64(m), n, chosen, r.now+patience
	c.job = j.id
	c.refs++
	r.at(r.tick(r.now+travel), event{kind: evTake, a: m, id: j.id})
	r.at(j.deadline, event{kind: evLeave, a: n, id: j.id})
}

// take gives a try to its proxy.
func (r *run) take(m int32, id uint64) {
	j := &r.jobs[m]
	if j.id != id {
		return
	}
	p, c := &r.proxies[j.proxy], &r.calls[j.call]
	if !p.up {
		r.at(r.now+Time(r.w.Net.Client), event{kind: evBack, a: j.call, n: uint8(policy.ConnectFailed), id: id})
		r.freeJob(m)
		return
	}
	p.open++
	patience := max(1, j.deadline-r.now)
	r.see(Record{Kind: Taken, Proxy: j.proxy, ID: id, Call: c.no, Class: c.class, Span: patience})
	r.at(j.deadline+Time(r.w.Told.AnswerSlack)+1, event{kind: evOverdue, a: m, id: id})
	r.ev = policy.Event{Kind: policy.Arrival, ID: id, Class: c.class, Tenant: uint32(c.tenant), Key: c.key, Work: c.hint,
		Patience: patience, Repeat: r.w.Clients.Marks && c.tries > 1}
	r.give(j.proxy)
}

// back brings a client the end of one of its tries; id 0: it reached no proxy.
func (r *run) back(n int32, id uint64, out policy.Outcome, after Time) {
	c := &r.calls[n]
	if c.over || c.job != id {
		return
	}
	if out == policy.OK {
		r.endCall(n, true)
		return
	}
	r.again(n, out, after)
}

// leave is a client's end of patience with a try.
func (r *run) leave(n int32, id uint64) {
	if c := &r.calls[n]; !c.over && c.job == id {
		r.again(n, policy.TimedOut, 0)
	}
}

// again lets a client try once more, as its class allows: a safe request after any failure, a keyed one that all
// servers know by its key likewise, others only where nothing can have run. Reckless clients do not ask.
func (r *run) again(n int32, out policy.Outcome, after Time) {
	c := &r.calls[n]
	k := &r.w.Classes[c.class]
	c.job = 1 // answers to the last try come too late from here
	may := out == policy.Full || out == policy.ConnectFailed || *effects[k.Effect] == policy.Safe ||
		*effects[k.Effect] == policy.Keyed && *groups[k.Group] == policy.GroupAll && r.now-c.made < Time(k.Window)
	if !may && c.draw(3) < r.w.Clients.Reckless {
		may = true
	}
	wait := Time(r.w.Clients.Backoff)
	if r.rapid {
		wait = 0
	}
	if after > 0 && c.draw(4) < r.w.Clients.Heed {
		wait = max(wait, min(after, Time(r.w.Clients.MostHeeded)))
	}
	next := r.now + max(1, wait)
	if !may || int(c.tries) > r.retries || next >= c.end {
		r.endCall(n, false)
		return
	}
	r.at(next, event{kind: evTry, a: n, id: c.no})
}

func (r *run) endCall(n int32, served bool) {
	c := &r.calls[n]
	c.over = true
	r.openC--
	r.see(Record{Kind: CallOver, Call: c.no, Flag: served, Span: r.now - c.made, Class: c.class, Tenant: c.tenant})
	r.unref(n)
}

func (r *run) unref(n int32) {
	if c := &r.calls[n]; c.refs > 1 {
		c.refs--
	} else {
		c.refs, c.no, c.over = 0, 0, true
		r.freeC = append(r.freeC, n)
	}
}

func (r *run) freeJob(m int32) {
	r.unref(r.jobs[m].call)
	r.jobs[m].id = 0
	r.freeJ = append(r.freeJ, m)
}

func (r *run) freeTask(t int32) {
	r.unref(r.tasks[t].call)
	r.tasks[t].id = 0
	r.freeT = append(r.freeT, t)
}

// Proxies.

// startProxy starts a proxy with nothing but the list as its zone's place had it last.
func (r *run) startProxy(n int32) {
	p := &r.proxies[n]
	if p.up {
		return
	}
	w := r.w
	set := w.settings(int(n), int(p.zone), r.capacity)
	node, err := r.make(set, mix(r.seed^uint64(n)<<32^uint64(p.inc)<<16^0xa5a5), r.truth)
	if err != nil {
		r.fail(n, "can't start: %v", err)
		return
	}
	p.node, p.up, p.open, p.watching, p.calling, p.pending, p.timers = node, true, 0, false, false, false, 0
	p.stopsAt = 0
	p.talker, _ = node.(Talker)
	p.conns = map[int32]*conns{}
	members := r.reg.cached(p.version)
	r.see(Record{Kind: ProxyUp, Proxy: n, Members: members, Version: p.version})
	r.ev = policy.Event{Kind: policy.ListCached, Members: members}
	r.give(n)
	r.at(r.now+1_000_000+Time(n)*997%1_000_000, event{kind: evSweep, a: n, b: p.inc})
}

// killProxy ends a proxy: its connections break, its requests are their clients' again, its nodes' memory is gone.
func (r *run) killProxy(n int32) {
	p := &r.proxies[n]
	if !p.up {
		return
	}
	r.see(Record{Kind: ProxyDown, Proxy: n})
	p.up, p.diedAt, p.node, p.talker = false, r.now, nil, nil
	p.inc++
	for m := range r.jobs {
		j := &r.jobs[m]
		if j.id == 0 || j.proxy != n {
			continue
		}
		for i := range j.tries[:j.n] {
			if j.tries[i].out {
				r.drop(&j.tries[i])
			}
		}
		if !j.over {
			r.at(r.now+Time(r.w.Net.Client), event{kind: evBack, a: j.call, n: uint8(policy.Reset), id: j.id})
		}
		r.freeJob(int32(m))
	}
	for s, k := range p.conns {
		if k.epoch == r.servers[s].epoch {
			r.servers[s].conns -= len(k.idle)
		}
	}
	p.conns = nil
}

// give hands the event in r.ev to a proxy's node and carries out what it says.
func (r *run) give(n int32) {
	p := &r.proxies[n]
	r.stats.Handled++
	r.actions = p.node.Handle(r.now, &r.ev, r.actions[:0])
	r.carryOut(n)
}

func (r *run) carryOut(n int32) {
	p := &r.proxies[n]
	if len(r.actions) > mostActions {
		r.fail(n, "answers one event with %d actions", len(r.actions))
	}
	for i := 0; i < len(r.actions) && r.err == nil; i++ {
		a := &r.actions[i]
		switch a.Kind {
		case policy.Send:
			r.send(n, a)
		case policy.Refuse, policy.Fail:
			r.answer(n, a)
		case policy.Cancel:
			m := r.jobOf(n, a.ID)
			if m < 0 {
				continue // it ended before
			}
			j := &r.jobs[m]
			if int(a.Attempt) >= int(j.n) {
				r.fail(n, "cancels attempt %d of a request that has had %d", a.Attempt, j.n)
			} else if t := &j.tries[a.Attempt]; t.out && r.w.Told.Cancel {
				r.drop(t)
				r.at(r.tick(r.now+1), event{kind: evFailed, a: m, n: a.Attempt, b: int32(policy.Cancelled), id: j.id})
			}
		case policy.SetTimer:
			if second := r.now / 1_000_000; second != p.second {
				p.second, p.timers = second, 0
			}
			if p.timers++; p.timers > mostTimers {
				r.fail(n, "sets timers without end: %d within a second", p.timers)
			}
			r.at(r.tick(r.now+max(1, a.After)), event{kind: evTimer, a: n, b: p.inc, id: a.ID})
		case policy.Subscribe:
			r.subscribe(n)
		case policy.CloseUnused:
			if s := r.serverOf(a.Server); s != nil {
				if k := p.conns[s.n]; k != nil && k.epoch == s.epoch {
					s.conns -= len(k.idle)
					k.idle = k.idle[:0]
				}
			}
		case policy.LogLine:
		case policy.Probe:
			r.probe(n, a.Server)
		default:
			r.fail(n, "wants action %d, which this world does not know", a.Kind)
		}
	}
	if p.talker != nil {
		for _, l := range p.talker.Post() {
			r.post(n, l)
		}
	}
}

// jobOf finds an open request of the proxy; -1: it has ended. One that never was ends the run.
func (r *run) jobOf(n int32, id uint64) int32 {
	m := int32(id & (1<<idBits - 1))
	if no := id >> idBits; no == 0 || no > r.jobNo || int(m) >= len(r.jobs) {
		r.fail(n, "names request %d, which it was never given", id)
		return -1
	}
	j := &r.jobs[m]
	if j.id != id {
		return -1
	}
	if j.proxy != n {
		r.fail(n, "names request %d, which proxy %d has", id, j.proxy)
		return -1
	}
	return m
}

func (r *run) serverOf(id uint32) *server {
	if n := int(id ^ r.salt); n >= 0 && n < len(r.servers) {
		return r.servers[n]
	}
	return nil
}

// send starts an attempt.
func (r *run) send(n int32, a *policy.Action) {
	s := r.serverOf(a.Server)
	if s == nil {
		r.fail(n, "sends to server %d, which no list has named", a.Server)
		return
	}
	p := &r.proxies[n]
	m := r.jobOf(n, a.ID)
	if r.err != nil {
		return
	}
	crosses := p.zone != s.zone
	if m < 0 || r.jobs[m].over { // the referee will have a word
		r.see(Record{Kind: Sent, Proxy: n, ID: a.ID, Server: a.Server, Zone: s.zone, Cell: s.cell, Flag: crosses})
		return
	}
	j := &r.jobs[m]
	if j.n >= maxAttempts || int(j.n) >= r.w.Told.Attempts {
		r.fail(n, "makes attempt %d of a request that may have %d", j.n+1, r.w.Told.Attempts)
		return
	}
	at := j.n
	j.n++
	j.out++
	c := &r.calls[j.call]
	t := grab(&r.tasks, &r.freeT)
	k := &r.tasks[t]
	*k = task{id: j.id, job: m, call: j.call, proxy: n, inc: p.inc, server: s.n, epoch: s.epoch, attempt: at, sent: r.now}
	k.work = lognormal(r.net, c.work, r.w.Classes[c.class].Noise)
	c.refs++
	j.tries[at] = try{task: t, server: s.n, out: true, sent: r.now}
	r.see(Record{Kind: Sent, Proxy: n, ID: j.id, Attempt: at, Server: a.Server, Zone: s.zone, Cell: s.cell, Work: Time(k.work), Flag: crosses})
	limit := j.deadline
	if a.After > 0 {
		limit = min(limit, r.now+a.After)
	} else if a.After < 0 {
		limit = r.now
	}
	r.at(r.tick(max(limit, r.now+1)), event{kind: evLimit, a: m, n: at, id: j.id})
	travel := r.delay(p.zone, s.zone)
	pool := p.conns[s.n]
	if pool == nil {
		pool = &conns{}
		p.conns[s.n] = pool
	}
	if pool.epoch != s.epoch { // another process: the old connections are gone
		*pool = conns{epoch: s.epoch}
	}
	r.expire(pool, s)
	if k.fresh = len(pool.idle) == 0; k.fresh {
		travel += Time(r.w.Conn.Trips * 2 * float64(travel))
	} else {
		pool.idle = pool.idle[:len(pool.idle)-1]
	}
	if r.parted(n, s) { // nothing passes: a connection does not come up, a request on an old one is never seen
		if k.fresh {
			r.failLater(k, policy.ConnectFailed, r.now+Time(r.w.Conn.DialWithin))
		} else {
			s.conns--
			j.tries[at].task = -1
		}
		r.freeTask(t)
		return
	}
	pool.used++
	s.coming += k.work
	r.at(r.now+travel, event{kind: evReach, a: t})
}

// failLater plans an outcome for an attempt that no server has.
func (r *run) failLater(k *task, out policy.Outcome, at Time) {
	r.jobs[k.job].tries[k.attempt].task = -1
	r.at(r.tick(at), event{kind: evFailed, a: k.job, n: k.attempt, b: int32(out), id: k.id})
}

// expire closes connections that have been idle for too long.
func (r *run) expire(k *conns, s *server) {
	n := 0
	for n < len(k.idle) && r.now-k.idle[n] >= Time(r.w.Conn.Idle) {
		n++
	}
	if n > 0 {
		s.conns -= n
		k.idle = append(k.idle[:0], k.idle[n:]...)
	}
}

func (r *run) sweep(n, inc int32) {
	p := &r.proxies[n]
	if p.inc != inc || !p.up {
		return
	}
	for s, k := range p.conns { // what is done to one server does not touch another: any order will do
		if srv := r.servers[s]; k.epoch == srv.epoch {
			r.expire(k, srv)
		} else {
			k.idle = k.idle[:0]
		}
		if len(k.idle) == 0 && k.used == 0 {
			delete(p.conns, s)
		}
	}
	r.at(r.now+1_000_000, event{kind: evSweep, a: n, b: inc})
}

// release ends an attempt's use of its connection: kept, or closed with it.
func (r *run) release(k *task, keep bool) {
	s, p := r.servers[k.server], &r.proxies[k.proxy]
	counted := s.epoch == k.epoch && (k.stage > travelling || !k.fresh)
	if p.up && p.inc == k.inc {
		if pool := p.conns[k.server]; pool != nil && pool.epoch == k.epoch {
			pool.used--
			if keep && counted {
				pool.idle = append(pool.idle, r.now)
				return
			}
		}
	}
	if counted {
		s.conns--
	}
}

// drop gives up an attempt: its connection is closed, its work goes on.
func (r *run) drop(t *try) {
	if t.task < 0 {
		return
	}
	if k := &r.tasks[t.task]; !k.dropped {
		r.release(k, false)
		k.dropped = true
	}
	t.task = -1
}

// proven tells a proxy how an attempt ended.
func (r *run) proven(m int32, at uint8, out policy.Outcome, elapsed Time, report []float32) {
	j := &r.jobs[m]
	t := &j.tries[at]
	t.out, t.task = false, -1
	j.out--
	n, id := j.proxy, j.id
	server := r.servers[t.server].id
	r.see(Record{Kind: Proven, Proxy: n, ID: id, Attempt: at, Server: server, Outcome: out, Span: elapsed})
	if out == policy.OK && !j.over {
		r.finish(m, policy.OK, 0)
	}
	r.ev = policy.Event{Kind: policy.Outcomed, ID: id, Attempt: at, Server: server, Outcome: out, Elapsed: elapsed, Final: j.over,
		Report: report}
	r.tidy(m)
	r.give(n)
}

// finish is a try's final answer.
func (r *run) finish(m int32, out policy.Outcome, after Time) {
	j := &r.jobs[m]
	j.over = true
	r.proxies[j.proxy].open--
	r.see(Record{Kind: Answered, Proxy: j.proxy, ID: j.id, Outcome: out, Call: r.calls[j.call].no, Span: after})
	travel := Time(float64(r.w.Net.Client) * (1 + r.w.Net.Jitter*r.calls[j.call].draw(9)))
	r.at(r.now+travel, event{kind: evBack, a: j.call, b: int32(min(after, math.MaxInt32)), n: uint8(out), id: j.id})
}

// tidy forgets a job that is over with nothing out.
func (r *run) tidy(m int32) {
	if j := &r.jobs[m]; j.over && j.out == 0 && j.id != 0 {
		r.freeJob(m)
	}
}

func (r *run) answer(n int32, a *policy.Action) {
	m := r.jobOf(n, a.ID)
	if m < 0 || r.jobs[m].over {
		return // ended already: disregarded, as the wire does
	}
	out := policy.Failed
	if a.Kind == policy.Refuse {
		out = policy.Full
	}
	r.finish(m, out, a.After)
	r.tidy(m)
}

func (r *run) overdue(m int32, id uint64) {
	j := &r.jobs[m]
	if j.id != id || j.over {
		return
	}
	n := j.proxy
	j.over = true
	r.proxies[n].open--
	r.see(Record{Kind: Overdue, Proxy: n, ID: id})
	r.tidy(m)
	r.ev = policy.Event{Kind: policy.Departed, ID: id}
	r.give(n)
}

// Messages between proxies.

func (r *run) post(from int32, l Letter) {
	if len(l.Text) > 256 || l.To >= len(r.proxies) || l.To < -1 {
		r.fail(from, "sends a message of %d bytes to proxy %d", len(l.Text), l.To)
		return
	}
	for to := range r.proxies {
		if l.To >= 0 && to != l.To || int32(to) == from {
			continue
		}
		lost := r.net.Float64() < r.w.Net.Loss || r.partedProxies(from, int32(to))
		late := r.delay(r.proxies[from].zone, r.proxies[to].zone) + Time(r.net.Float64()*float64(r.w.Net.Peer))
		if lost {
			continue
		}
		n := grab(&r.letters, &r.freeL)
		r.letters[n] = letter{from: from, inc: r.proxies[to].inc, text: append([]byte(nil), l.Text...)}
		r.at(r.tick(r.now+late), event{kind: evLetter, a: int32(to), b: n})
	}
}

func (r *run) deliver(e *event) {
	l := r.letters[e.b]
	r.letters[e.b] = letter{}
	r.freeL = append(r.freeL, e.b)
	p := &r.proxies[e.a]
	if !p.up || p.talker == nil || p.inc != l.inc {
		return
	}
	r.see(Record{Kind: PeerSent, Proxy: e.a, Span: Time(len(l.text))})
	r.stats.Handled++
	r.actions = p.talker.Receive(r.now, int(l.from), l.text, r.actions[:0])
	r.carryOut(e.a)
}
