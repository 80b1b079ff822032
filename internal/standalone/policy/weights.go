package policy

import (
	"math"

	"pumiceline/internal/edf"
	"pumiceline/internal/standalone/concurrency"
	"pumiceline/internal/standalone/loadpolling"
	"pumiceline/internal/wrr"
)

// Parameters of A58 and A100. Window and floor of the ramp come from the settings' cold time and cold share.
const (
	errorUtilizationPenalty = 10.0        // an error costs its caller all its work, so more than A58's 1
	blackoutPeriod          = 2_000_000   // A58 has 10 s; the mean mixed in steadies first reports
	weightExpiration        = 180_000_000 // A58's default
	aggression              = 1.0         // A100's default

	reportMemory = 3e6 // reports fade with this time constant: single ones are noisy
	meanShare    = 0.3 // the mean weighs as much as a report of a server this busy
)

// server is what this balancer knows of one.
type server struct {
	edf.Turn[server]
	id      uint32
	zone    uint8
	cell    uint16
	kind    int // index into Balancer.kinds
	mode    Mode
	listed  bool
	size    float64
	upSince Time

	// reports, as fading sums
	qps, util, eps, mass float64
	last                 [3]float64
	lastReport           Time
	probe                loadpolling.Schedule
	nonEmptySince        Time // 0: no valid report yet, or they expired
	readySince           Time
	cold                 bool
	tokens               float64 // cold budget, in mean requests

	weight float64 // in use, scaled

	toil     float64 // how long it takes for a piece of work, in the time of a mean server
	inflight int
	slow     int // attempts sent whose clients still send
	conns    int // connections that should be open
	lastSend Time
	waiting  Time // since when attempts have been out without an outcome

	pace      float64 // times of recent attempts, in usual ones
	faults    float64 // share of recent attempts that failed or broke
	silent    int     // attempts given up since the last answer
	answered  Time
	missed    int  // attempts that failed to connect since then
	stalled   bool // silent for long with attempts out
	suspended bool
	lost      bool // the last sends failed to connect
	trial     bool // back for one attempt; its outcome decides
	retryAt   Time
	backoff   Time
}

// kindMean is the mean weight of servers listed as one kind.
type kindMean struct {
	kind      uint16
	qps, util float64
	size      float64
	mean      float64 // requests a second; 0: unknown
}

// report takes a load report. Values that no server can mean are no report at all: a server whose figures
// are broken keeps the mean weight.
func (b *Balancer) report(s *server, values []float32) {
	v, ok := b.set.read(values)
	if !ok {
		return
	}
	if v[0] <= 0 || v[1] <= 0 {
		return // A58: an empty report says nothing of capacity
	}
	if s.nonEmptySince == 0 {
		s.nonEmptySince = max(1, b.now)
	}
	elapsed := b.now - s.lastReport
	if s.lastReport = b.now; v == s.last {
		return // the same figures again, not yet renewed
	}
	s.last = v
	keep := math.Exp(-float64(elapsed) / reportMemory)
	s.qps = s.qps*keep + v[0]
	s.util = s.util*keep + v[1]
	s.eps = s.eps*keep + v[2]
	s.mass = s.mass*keep + 1
}

// base is the A58 weight of s, or the mean in blackout and after expiry. One report is a noisy sample of a
// short while, so the weight is that of the fading sums with a little of the mean mixed in.
func (b *Balancer) base(s *server) float64 {
	mean := b.like(s)
	if s.nonEmptySince == 0 || s.mass == 0 {
		return mean
	}
	if b.now-s.lastReport >= weightExpiration {
		s.nonEmptySince, s.qps, s.util, s.eps, s.mass = 0, 0, 0, 0, 0
		return mean
	}
	if b.now-s.nonEmptySince < blackoutPeriod {
		return mean
	}
	qps, util := s.qps/s.mass, s.util/s.mass
	return wrr.A58(qps+meanShare*mean, util+meanShare, s.eps/s.qps, errorUtilizationPenalty)
}

// like is the mean weight that goes for s: of its kind, else of all, scaled by listed size.
func (b *Balancer) like(s *server) float64 {
	k := &b.kinds[s.kind]
	if k.mean > 0 {
		return k.mean
	}
	if b.mean.mean > 0 {
		if b.set.SizesKnown && b.mean.size > 0 && s.size > 0 {
			return b.mean.mean * s.size / b.mean.size
		}
		return b.mean.mean
	}
	// Nothing is known yet. Sizes still compare servers; the unit is what each would get of the traffic.
	w := b.fairShare()
	if b.set.SizesKnown && s.size > 0 && b.mean.size > 0 {
		w *= s.size / b.mean.size
	}
	return w
}

// fairShare is a server's part of all traffic, if this balancer's is as large as the others'.
func (b *Balancer) fairShare() float64 {
	return max(1, b.arrivalRate*float64(b.set.GroupSize)) / float64(max(1, len(b.order)))
}

// scale is the A100 ramp: max(floor, time_factor^(1/aggression)) within the slow start window.
func (b *Balancer) scale(s *server) float64 {
	window := float64(b.set.Rules.WarmupTime)
	age := float64(b.now - s.readySince)
	if !s.cold || age >= window {
		return 1
	}
	return wrr.SlowStart(age, 1e6, window, b.set.Rules.InitialCapacity, aggression)
}

// guaranteed is the share of its capacity that a cold server is sure to have: an even climb from the cold
// share over the cold time.
func (b *Balancer) guaranteed(s *server) float64 {
	if !s.cold {
		return 1
	}
	age := float64(b.now-s.readySince) / float64(max(1, b.set.Rules.WarmupTime))
	return min(1, b.set.Rules.InitialCapacity+(1-b.set.Rules.InitialCapacity)*max(0, age))
}

// Chance decides how the balancers' sends fall together, and their work varies: what tips a cold server may
// be only a few requests. chance is how many times the square root of their number is left free for that.
// And beyond coldLoad times the guaranteed capacity a server gets no more than it can do in time, as most
// are warm before they must be.
const (
	chance   = 3
	coldLoad = 2.4
)

// coldRate is this balancer's part of a cold server's budget, in mean requests a second.
func (b *Balancer) coldRate(s *server) float64 {
	able := b.like(s) * b.guaranteed(s)
	span := max(1e-3, float64(b.set.Rules.OverloadTime)/1e6)
	tips := b.set.Rules.OverloadFactor * able * span
	root := (math.Sqrt(chance*chance+4*tips) - chance) / 2 // root^2 + chance*root = tips
	return min(root*root/span, coldLoad*able) / float64(b.set.GroupSize)
}

// chill starts the ramp and the cold budget of s. The ramp alone is relative: when most servers are cold it
// eases nothing, so the budget bounds what this balancer sends each in absolute terms. In a crowd a balancer
// may afford less than one request in the whole window; a random first level keeps the first requests of
// all balancers from landing together.
func (b *Balancer) chill(s *server, since Time) {
	s.readySince = since
	s.cold = b.now-since < b.set.Rules.WarmupTime
	if s.cold {
		s.tokens = b.rng.Float64()
	}
}

// charge takes a send's work from the cold budget of s; retries, trials and what is turned away count too.
func (b *Balancer) charge(s *server, cost float64) {
	if s.cold {
		s.tokens -= max(1, cost)
	}
}

// tooHeavy keeps a heavy request from a cold server whose budget it would overdraw by far.
func (b *Balancer) tooHeavy(s *server, cost float64) bool {
	return s.cold && cost > max(2, s.tokens)
}

// refresh brings means, weights and budgets up to date. It runs on a period, never for a request.
func (b *Balancer) refresh() {
	dt := float64(b.now-b.refreshed) / 1e6
	b.refreshed = b.now
	if dt > 0 {
		b.arrivalRate += (1 - math.Exp(-dt/2)) * (b.arrivals/dt - b.arrivalRate)
		b.arrivals = 0
	}
	for i, tenant := range b.set.Tenants { // this balancer's part of each tenant's share
		rate := tenant.QuotaPerS / float64(b.set.GroupSize)
		b.shares[i] = min(max(1, rate), b.shares[i]+rate*dt)
	}
	b.tidy()
	b.means()
	b.roam(dt)
	if b.now >= b.warmTill {
		b.window = concurrency.LimitToUsage(b.window, b.inflight, len(b.order), b.set.GroupSize)
	}
	every := loadpolling.Interval(len(b.order), b.set.GroupSize, b.arrivalRate)
	for _, s := range b.order {
		if b.set.probes() && s.Waits() && s.probe.Due(b.now, every, b.rng.Float64()) {
			b.do(Action{Kind: PollLoad, Server: s.id})
		}
		if s.cold {
			if b.now-s.readySince >= b.set.Rules.WarmupTime {
				s.cold = false
			} else {
				rate := b.coldRate(s)
				most := max(1, rate*float64(b.set.Rules.OverloadTime)/2e6)
				s.tokens = min(most, s.tokens+rate*dt)
			}
		}
		b.examine(s)
		able := b.base(s) * s.evidence()
		if mean := b.mean.mean; able > 0 {
			if mean == 0 { // without reports, sizes alone compare servers
				mean = b.fairShare()
			}
			s.toil = max(0.3, min(mean/able, 4))
		}
		b.reweigh(s, max(1e-6, able*b.scale(s)*b.local(s)))
		b.place(s)
	}
}

// roam sets how much of their weight remote zones keep: none while the home zone has headroom, since a
// crossing has its price, and more the shorter it gets, as long as the others are less busy. It moves in
// small steps: reports are stale and every balancer reacts to the same ones.
func (b *Balancer) roam(dt float64) {
	var util, weight [2]float64
	for _, s := range b.order {
		if !s.Waits() || s.mass == 0 {
			continue
		}
		i := 0
		if int(s.zone) != b.set.Zone {
			i = 1
		}
		w := b.base(s)
		util[i] += w * s.util / s.mass
		weight[i] += w
	}
	want := 0.0
	if weight[0] > 0 {
		home, away := util[0]/weight[0], 0.0
		if weight[1] > 0 {
			away = util[1] / weight[1]
		}
		start := min(0.8, roamFrom+b.set.Prices.CrossZone)
		want = clamp((home-start)/0.3) * clamp((home-away)/0.1)
	}
	b.remote += (want - b.remote) * (1 - math.Exp(-dt))
	if b.lost[uint8(b.set.Zone)] > zoneLost {
		b.remote = 1
	}
}

// roamFrom is how busy the home zone may be before requests leave it, if a crossing cost nothing.
const roamFrom = 0.5

// zoneLost is how many failures to connect in a row in one zone speak of the zone and not of its servers.
// From there its weights fall, so that requests are not spent on finding out server by server.
const zoneLost = 3

func (b *Balancer) local(s *server) float64 {
	near := 1 / (1 + float64(max(0, b.lost[s.zone]-zoneLost)))
	if int(s.zone) != b.set.Zone {
		near *= b.remote
	}
	return near
}

func clamp(x float64) float64 { return max(0, min(1, x)) }

// means takes the mean weight of each kind and of all: the ratio of summed rates to summed utilisation, which
// unlike a mean of ratios is not led astray by idle servers' noise. Cold and unproven servers stay out; what
// was learnt of warm ones is kept when all are cold.
func (b *Balancer) means() {
	all, n := kindMean{}, 0.0
	for i := range b.kinds {
		b.kinds[i].qps, b.kinds[i].util = 0, 0
	}
	for _, s := range b.order {
		if !s.listed {
			continue
		}
		all.size += s.size
		n++
		if s.cold || s.mass == 0 || s.nonEmptySince == 0 {
			continue
		}
		k := &b.kinds[s.kind]
		q, u := s.qps/s.mass, s.util/s.mass
		k.qps, k.util = k.qps+q, k.util+u
		all.qps, all.util = all.qps+q, all.util+u
	}
	if n > 0 {
		b.mean.size = all.size / n
	}
	for i := range b.kinds {
		k := &b.kinds[i]
		if k.util > 0.5 { // half a busy server's worth of evidence
			k.mean = k.qps / k.util
		}
	}
	if all.util > 0 {
		b.mean.mean = all.qps / all.util
	}
}
