package policy

import (
	"math"

	"pumiceline/internal/standalone/concurrency"
	"pumiceline/internal/standalone/latencybaseline"
)

// Snapshot is what a balancer has found out, for one that takes its place. It decides nothing. Times are on the clock of `now`, which
// both must share. One process hands it to another, which may be of another version: the keys are the form and stay as they are,
// whatever the fields are named.
type Snapshot struct {
	At                Time               `json:"At"`
	ArrivalRate       float64            `json:"ArrivalRate"`
	MeanWork          float64            `json:"MeanWork"`
	MedianAttemptTime float64            `json:"Usual"`
	ConcurrencyLimit  float64            `json:"Window"`
	RemoteZoneShare   float64            `json:"Remote"`
	Overall           CapacitySnapshot   `json:"Mean"`
	InstanceTypes     []CapacitySnapshot `json:"Kinds"`
	TenantTokens      []float64          `json:"Shares"`
	UnloadedLatency   []float64          `json:"Calm"` // by class; 0: not known
	Servers           []ServerSnapshot   `json:"Servers"`
}

// CapacitySnapshot is the mean weight of a kind of servers.
type CapacitySnapshot struct {
	InstanceType uint16  `json:"Kind"`
	QPS          float64 `json:"QPS"`
	Utilization  float64 `json:"Util"`
	MeanSize     float64 `json:"Size"`
	MeanWeight   float64 `json:"Mean"`
}

// ServerSnapshot is what was found out of one server.
type ServerSnapshot struct {
	Server          uint32  `json:"Server"`
	StartedAt       Time    `json:"UpSince"`
	LastReportAt    Time    `json:"LastReport"`
	NonEmptySince   Time    `json:"NonEmptySince"`
	ReadySince      Time    `json:"Ready"`
	WarmingUp       bool    `json:"Cold"`
	QPSSum          float64 `json:"QPS"`
	UtilizationSum  float64 `json:"Util"`
	EPSSum          float64 `json:"EPS"`
	ReportWeight    float64 `json:"Mass"`
	SlowStartTokens float64 `json:"Tokens"`
	RelativeLatency float64 `json:"Pace"`
	FailureRate     float64 `json:"Faults"`
}

// TableSizes is how much a balancer holds in memory. It decides nothing.
type TableSizes struct {
	OpenRequests   int // open: not answered, or with attempts out
	QueuedRequests int // of these, waiting for room
	FreeRequests   int // kept for reuse; as many as were ever open at once
	Servers        int
	InstanceTypes  int
}

// TableSizes returns how much this balancer holds.
func (b *Balancer) TableSizes() TableSizes {
	return TableSizes{OpenRequests: len(b.open), QueuedRequests: len(b.held), FreeRequests: len(b.spare), Servers: len(b.servers), InstanceTypes: len(b.kinds)}
}

// Snapshot returns what this balancer has found out until now.
func (b *Balancer) Snapshot() *Snapshot {
	l := &Snapshot{At: b.now, ArrivalRate: b.arrivalRate, MeanWork: b.meanWork, MedianAttemptTime: b.usual, ConcurrencyLimit: math.Min(b.window, 1e6),
		RemoteZoneShare: b.remote, Overall: b.mean.learnt(), TenantTokens: append([]float64(nil), b.shares...)}
	for i := range b.calm {
		least, known := b.calm[i].Baseline()
		if !known {
			least = 0
		}
		l.UnloadedLatency = append(l.UnloadedLatency, least)
	}
	for i := range b.kinds {
		l.InstanceTypes = append(l.InstanceTypes, b.kinds[i].learnt())
	}
	for _, s := range b.order {
		if s.listed {
			l.Servers = append(l.Servers, ServerSnapshot{Server: s.id, StartedAt: s.upSince, LastReportAt: s.lastReport,
				NonEmptySince: s.nonEmptySince, ReadySince: s.readySince, WarmingUp: s.cold, QPSSum: s.qps, UtilizationSum: s.util, EPSSum: s.eps,
				ReportWeight: s.mass, SlowStartTokens: s.tokens, RelativeLatency: s.pace, FailureRate: s.faults})
		}
	}
	return l
}

func (k *kindMean) learnt() CapacitySnapshot {
	return CapacitySnapshot{InstanceType: k.kind, QPS: k.qps, Utilization: k.util, MeanSize: k.size, MeanWeight: k.mean}
}

// sane says whether every number is one that a balancer can have come to.
func (l *Snapshot) sane(now Time) bool {
	ok := l.At <= now
	number := func(most float64, values ...float64) {
		for _, v := range values {
			ok = ok && v >= 0 && v <= most // NaN is neither
		}
	}
	number(1e9, l.ArrivalRate, l.MeanWork, l.MedianAttemptTime, l.ConcurrencyLimit, l.Overall.MeanWeight, l.Overall.MeanSize)
	number(1, l.RemoteZoneShare)
	number(1e9, l.TenantTokens...)
	number(1e12, l.UnloadedLatency...)
	for _, k := range l.InstanceTypes {
		number(1e9, k.QPS, k.Utilization, k.MeanSize, k.MeanWeight)
	}
	for _, s := range l.Servers {
		number(1e9, s.QPSSum, s.UtilizationSum, s.EPSSum, s.ReportWeight)
		number(1e6, s.RelativeLatency, s.SlowStartTokens+1e5) // a budget may be overdrawn
		number(1, s.FailureRate)
		ok = ok && max(s.StartedAt, s.LastReportAt, s.NonEmptySince, s.ReadySince) <= now+60e6
	}
	return ok
}

// Restore takes over what another balancer has learnt of the servers that both know in the same state. It says whether it did: a
// text with a number that cannot be is not believed at all.
func (b *Balancer) Restore(now Time, l *Snapshot) bool {
	if b.now = max(now, b.now); !l.sane(b.now) {
		return false
	}
	b.arrivalRate, b.meanWork, b.usual, b.remote = l.ArrivalRate, l.MeanWork, l.MedianAttemptTime, l.RemoteZoneShare
	b.window, b.warmTill = max(concurrency.MinLimit, l.ConcurrencyLimit), b.now+warmFor
	b.mean = kindMean{size: l.Overall.MeanSize, mean: l.Overall.MeanWeight}
	for _, k := range l.InstanceTypes {
		b.kinds[b.kindOf(k.InstanceType)] = kindMean{kind: k.InstanceType, qps: k.QPS, util: k.Utilization, size: k.MeanSize, mean: k.MeanWeight}
	}
	if len(l.TenantTokens) == len(b.shares) {
		copy(b.shares, l.TenantTokens)
	}
	if len(l.UnloadedLatency) == len(b.calm) {
		for i, least := range l.UnloadedLatency {
			b.calm[i] = latencybaseline.Restore(least)
		}
	}
	for _, t := range l.Servers {
		s := b.servers[t.Server]
		if s == nil || s.upSince != t.StartedAt {
			continue // another start of it: what was learnt is void
		}
		s.qps, s.util, s.eps, s.mass = t.QPSSum, t.UtilizationSum, t.EPSSum, t.ReportWeight
		s.lastReport, s.nonEmptySince = t.LastReportAt, t.NonEmptySince
		s.readySince, s.cold, s.tokens = t.ReadySince, t.WarmingUp, t.SlowStartTokens
		s.pace, s.faults = t.RelativeLatency, t.FailureRate
		b.place(s)
	}
	return true
}

// warmFor is how long the window that was taken over is kept, while attempts move from the other balancer to this one.
const warmFor = 500_000
