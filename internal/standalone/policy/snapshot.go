package policy

import (
	"math"

	"pumiceline/internal/standalone/concurrency"
	"pumiceline/internal/standalone/latencybaseline"
)

// Snapshot is the learned state of a balancer, for its successor. Its times are on the clock of the calls of
// Handle, which both balancers must share. One process passes it to another, which may be of another version:
// the JSON keys are the stored form and must not change when fields are renamed.
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
	UnloadedLatency   []float64          `json:"Calm"` // by class; 0: unknown
	Servers           []ServerSnapshot   `json:"Servers"`
}

// CapacitySnapshot is the mean capacity of the servers of one instance type, or of all.
type CapacitySnapshot struct {
	InstanceType uint16  `json:"Kind"`
	QPS          float64 `json:"QPS"`
	Utilization  float64 `json:"Util"`
	MeanSize     float64 `json:"Size"`
	MeanWeight   float64 `json:"Mean"`
}

// ServerSnapshot is the learned state of one server. The sums are those of its load reports, exponentially
// decaying.
type ServerSnapshot struct {
	Server          ServerID `json:"Server"`
	StartedAt       Time     `json:"UpSince"`
	LastReportAt    Time     `json:"LastReport"`
	NonEmptySince   Time     `json:"NonEmptySince"`
	ReadySince      Time     `json:"Ready"`
	WarmingUp       bool     `json:"Cold"`
	QPSSum          float64  `json:"QPS"`
	UtilizationSum  float64  `json:"Util"`
	EPSSum          float64  `json:"EPS"`
	ReportWeight    float64  `json:"Mass"`
	SlowStartTokens float64  `json:"Tokens"`
	RelativeLatency float64  `json:"Pace"`
	FailureRate     float64  `json:"Faults"`
}

// limitFreezeTime is how long, in microseconds, LimitToUsage is not applied to a restored concurrency limit:
// this balancer begins with no attempts in flight, and would lower the limit while requests are still moving
// to it from its predecessor.
const limitFreezeTime = 500_000

// Bounds of plausible values in a snapshot. A snapshot with values beyond them is refused: a moving average
// that is restored as NaN, for example, would stay NaN.
const (
	maxStoredValue   = 1e9
	maxStoredLimit   = 1e6 // an unbounded limit is stored as this
	maxStoredLatency = 1e12
	maxStoredRatio   = 1e6
	maxTokenDebt     = 1e5  // slow-start budgets may be overdrawn
	maxClockAhead    = 60e6 // microseconds
)

// Snapshot returns the learned state of this balancer.
func (b *Balancer) Snapshot() *Snapshot {
	snapshot := &Snapshot{At: b.now, ArrivalRate: b.arrivalRate, MeanWork: b.meanWork,
		MedianAttemptTime: b.medianAttemptTime, ConcurrencyLimit: math.Min(b.concurrencyLimit, maxStoredLimit),
		RemoteZoneShare: b.remoteZoneShare, Overall: b.overall.snapshot(),
		TenantTokens: append([]float64(nil), b.tenantTokens...)}
	for i := range b.unloadedLatency {
		baseline, known := b.unloadedLatency[i].Baseline()
		if !known {
			baseline = 0
		}
		snapshot.UnloadedLatency = append(snapshot.UnloadedLatency, baseline)
	}
	for i := range b.instanceTypes {
		snapshot.InstanceTypes = append(snapshot.InstanceTypes, b.instanceTypes[i].snapshot())
	}
	for _, s := range b.members {
		if s.listed {
			snapshot.Servers = append(snapshot.Servers, s.snapshot())
		}
	}
	return snapshot
}

func (c *capacityStats) snapshot() CapacitySnapshot {
	return CapacitySnapshot{InstanceType: c.instanceType, QPS: c.qps, Utilization: c.utilization,
		MeanSize: c.meanSize, MeanWeight: c.meanWeight}
}

func (s *server) snapshot() ServerSnapshot {
	return ServerSnapshot{Server: s.id, StartedAt: s.startedAt, LastReportAt: s.lastReportAt,
		NonEmptySince: s.nonEmptySince, ReadySince: s.readySince, WarmingUp: s.warmingUp,
		QPSSum: s.qpsSum, UtilizationSum: s.utilizationSum, EPSSum: s.epsSum, ReportWeight: s.reportWeight,
		SlowStartTokens: s.slowStartTokens,
		RelativeLatency: s.relativeLatency, FailureRate: s.failureRate}
}

// Restore applies a snapshot of another balancer. The state of a server is applied only if both balancers
// list the server with the same start time. Restore reports whether it applied the snapshot: one with any
// impossible value changes nothing.
func (b *Balancer) Restore(now Time, snapshot *Snapshot) bool {
	if b.now = max(now, b.now); !snapshot.isValid(b.now) {
		return false
	}
	b.arrivalRate, b.meanWork = snapshot.ArrivalRate, snapshot.MeanWork
	b.medianAttemptTime, b.remoteZoneShare = snapshot.MedianAttemptTime, snapshot.RemoteZoneShare
	b.concurrencyLimit, b.limitFrozenUntil = max(concurrency.MinLimit, snapshot.ConcurrencyLimit), b.now+limitFreezeTime
	b.overall = capacityStats{meanSize: snapshot.Overall.MeanSize, meanWeight: snapshot.Overall.MeanWeight}
	for _, t := range snapshot.InstanceTypes {
		b.instanceTypes[b.instanceTypeIndex(t.InstanceType)] = capacityStats{instanceType: t.InstanceType, qps: t.QPS,
			utilization: t.Utilization, meanSize: t.MeanSize, meanWeight: t.MeanWeight}
	}
	if len(snapshot.TenantTokens) == len(b.tenantTokens) {
		copy(b.tenantTokens, snapshot.TenantTokens)
	}
	if len(snapshot.UnloadedLatency) == len(b.unloadedLatency) {
		for i, baseline := range snapshot.UnloadedLatency {
			b.unloadedLatency[i] = latencybaseline.Restore(baseline)
		}
	}
	for i := range snapshot.Servers {
		stored := &snapshot.Servers[i]
		if s := b.servers[stored.Server]; s != nil && s.startedAt == stored.StartedAt {
			s.restore(stored)
			b.updateSchedule(s)
		}
	}
	return true
}

func (s *server) restore(stored *ServerSnapshot) {
	s.qpsSum, s.utilizationSum, s.epsSum = stored.QPSSum, stored.UtilizationSum, stored.EPSSum
	s.reportWeight, s.lastReportAt, s.nonEmptySince = stored.ReportWeight, stored.LastReportAt, stored.NonEmptySince
	s.readySince, s.warmingUp, s.slowStartTokens = stored.ReadySince, stored.WarmingUp, stored.SlowStartTokens
	s.relativeLatency, s.failureRate = stored.RelativeLatency, stored.FailureRate
}

// isValid reports whether every value is one that a balancer can have reached.
func (s *Snapshot) isValid(now Time) bool {
	if s.At > now || !areWithin(maxStoredValue, s.ArrivalRate, s.MeanWork, s.MedianAttemptTime, s.ConcurrencyLimit,
		s.Overall.MeanWeight, s.Overall.MeanSize) || !areWithin(1, s.RemoteZoneShare) ||
		!areWithin(maxStoredValue, s.TenantTokens...) || !areWithin(maxStoredLatency, s.UnloadedLatency...) {
		return false
	}
	for _, t := range s.InstanceTypes {
		if !areWithin(maxStoredValue, t.QPS, t.Utilization, t.MeanSize, t.MeanWeight) {
			return false
		}
	}
	for i := range s.Servers {
		if !s.Servers[i].isValid(now) {
			return false
		}
	}
	return true
}

func (s *ServerSnapshot) isValid(now Time) bool {
	return areWithin(maxStoredValue, s.QPSSum, s.UtilizationSum, s.EPSSum, s.ReportWeight) &&
		areWithin(maxStoredRatio, s.RelativeLatency, s.SlowStartTokens+maxTokenDebt) && areWithin(1, s.FailureRate) &&
		max(s.StartedAt, s.LastReportAt, s.NonEmptySince, s.ReadySince) <= now+maxClockAhead
}

// areWithin reports whether all values are from 0 to limit; NaN is not.
func areWithin(limit float64, values ...float64) bool {
	for _, v := range values {
		if !(v >= 0 && v <= limit) {
			return false
		}
	}
	return true
}

// TableSizes are the sizes of the tables that a balancer holds in memory.
type TableSizes struct {
	OpenRequests   int // not answered, or with attempts in flight
	QueuedRequests int // of these, in the queue
	FreeRequests   int // kept for reuse, at most as many as were ever open at once
	Servers        int
	InstanceTypes  int
}

// TableSizes returns the sizes of the tables that this balancer holds in memory.
func (b *Balancer) TableSizes() TableSizes {
	return TableSizes{OpenRequests: len(b.requests), QueuedRequests: len(b.queue), FreeRequests: len(b.freeRequests),
		Servers: len(b.servers), InstanceTypes: len(b.instanceTypes)}
}
