package policy

import (
	"math"

	"pumiceline/internal/standalone/concurrency"
	"pumiceline/internal/standalone/latencybaseline"
)

// Learnt is what a balancer has found out, for one that takes its place. It decides nothing. Times are on the clock of `now`, which
// both must share. One process hands it to another, which may be of another version: the keys are the form and stay as they are,
// whatever the fields are named.
type Learnt struct {
	At          Time           `json:"At"`
	ArrivalRate float64        `json:"ArrivalRate"`
	MeanWork    float64        `json:"MeanWork"`
	Usual       float64        `json:"Usual"`
	Window      float64        `json:"Window"`
	Remote      float64        `json:"Remote"`
	Mean        LearntKind     `json:"Mean"`
	Kinds       []LearntKind   `json:"Kinds"`
	Shares      []float64      `json:"Shares"`
	Calm        []float64      `json:"Calm"` // by class; 0: not known
	Servers     []LearntServer `json:"Servers"`
}

// LearntKind is the mean weight of a kind of servers.
type LearntKind struct {
	Kind uint16  `json:"Kind"`
	QPS  float64 `json:"QPS"`
	Util float64 `json:"Util"`
	Size float64 `json:"Size"`
	Mean float64 `json:"Mean"`
}

// LearntServer is what was found out of one server.
type LearntServer struct {
	Server        uint32  `json:"Server"`
	UpSince       Time    `json:"UpSince"`
	LastReport    Time    `json:"LastReport"`
	NonEmptySince Time    `json:"NonEmptySince"`
	Ready         Time    `json:"Ready"`
	Cold          bool    `json:"Cold"`
	QPS           float64 `json:"QPS"`
	Util          float64 `json:"Util"`
	EPS           float64 `json:"EPS"`
	Mass          float64 `json:"Mass"`
	Tokens        float64 `json:"Tokens"`
	Pace          float64 `json:"Pace"`
	Faults        float64 `json:"Faults"`
}

// Kept is how much a balancer holds in memory. It decides nothing.
type Kept struct {
	Requests int // open: not answered, or with attempts out
	Held     int // of these, waiting for room
	Spare    int // kept for reuse; as many as were ever open at once
	Servers  int
	Kinds    int
}

// Kept returns how much this balancer holds.
func (b *Balancer) Kept() Kept {
	return Kept{Requests: len(b.open), Held: len(b.held), Spare: len(b.spare), Servers: len(b.servers), Kinds: len(b.kinds)}
}

// Learnt returns what this balancer has found out until now.
func (b *Balancer) Learnt() *Learnt {
	l := &Learnt{At: b.now, ArrivalRate: b.arrivalRate, MeanWork: b.meanWork, Usual: b.usual, Window: math.Min(b.window, 1e6),
		Remote: b.remote, Mean: b.mean.learnt(), Shares: append([]float64(nil), b.shares...)}
	for i := range b.calm {
		least, known := b.calm[i].Least()
		if !known {
			least = 0
		}
		l.Calm = append(l.Calm, least)
	}
	for i := range b.kinds {
		l.Kinds = append(l.Kinds, b.kinds[i].learnt())
	}
	for _, s := range b.order {
		if s.listed {
			l.Servers = append(l.Servers, LearntServer{Server: s.id, UpSince: s.upSince, LastReport: s.lastReport,
				NonEmptySince: s.nonEmptySince, Ready: s.readySince, Cold: s.cold, QPS: s.qps, Util: s.util, EPS: s.eps,
				Mass: s.mass, Tokens: s.tokens, Pace: s.pace, Faults: s.faults})
		}
	}
	return l
}

func (k *kindMean) learnt() LearntKind {
	return LearntKind{Kind: k.kind, QPS: k.qps, Util: k.util, Size: k.size, Mean: k.mean}
}

// sane says whether every number is one that a balancer can have come to.
func (l *Learnt) sane(now Time) bool {
	ok := l.At <= now
	number := func(most float64, values ...float64) {
		for _, v := range values {
			ok = ok && v >= 0 && v <= most // NaN is neither
		}
	}
	number(1e9, l.ArrivalRate, l.MeanWork, l.Usual, l.Window, l.Mean.Mean, l.Mean.Size)
	number(1, l.Remote)
	number(1e9, l.Shares...)
	number(1e12, l.Calm...)
	for _, k := range l.Kinds {
		number(1e9, k.QPS, k.Util, k.Size, k.Mean)
	}
	for _, s := range l.Servers {
		number(1e9, s.QPS, s.Util, s.EPS, s.Mass)
		number(1e6, s.Pace, s.Tokens+1e5) // a budget may be overdrawn
		number(1, s.Faults)
		ok = ok && max(s.UpSince, s.LastReport, s.NonEmptySince, s.Ready) <= now+60e6
	}
	return ok
}

// Adopt takes over what another balancer has learnt of the servers that both know in the same state. It says whether it did: a
// text with a number that cannot be is not believed at all.
func (b *Balancer) Adopt(now Time, l *Learnt) bool {
	if b.now = max(now, b.now); !l.sane(b.now) {
		return false
	}
	b.arrivalRate, b.meanWork, b.usual, b.remote = l.ArrivalRate, l.MeanWork, l.Usual, l.Remote
	b.window, b.warmTill = max(concurrency.Least, l.Window), b.now+warmFor
	b.mean = kindMean{size: l.Mean.Size, mean: l.Mean.Mean}
	for _, k := range l.Kinds {
		b.kinds[b.kindOf(k.Kind)] = kindMean{kind: k.Kind, qps: k.QPS, util: k.Util, size: k.Size, mean: k.Mean}
	}
	if len(l.Shares) == len(b.shares) {
		copy(b.shares, l.Shares)
	}
	if len(l.Calm) == len(b.calm) {
		for i, least := range l.Calm {
			b.calm[i] = latencybaseline.Known(least)
		}
	}
	for _, t := range l.Servers {
		s := b.servers[t.Server]
		if s == nil || s.upSince != t.UpSince {
			continue // another start of it: what was learnt is void
		}
		s.qps, s.util, s.eps, s.mass = t.QPS, t.Util, t.EPS, t.Mass
		s.lastReport, s.nonEmptySince = t.LastReport, t.NonEmptySince
		s.readySince, s.cold, s.tokens = t.Ready, t.Cold, t.Tokens
		s.pace, s.faults = t.Pace, t.Faults
		b.place(s)
	}
	return true
}

// warmFor is how long the window that was taken over is kept, while attempts move from the other balancer to this one.
const warmFor = 500_000
