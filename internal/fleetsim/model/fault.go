package model

import "math/rand/v2"

// Fault is an injected fault with a start and a duration.
type Fault struct {
	Kind          FaultKind `toml:"kind" json:"kind"`
	Start         Span      `toml:"at" json:"at"`
	Duration      Span      `toml:"for" json:"for"`
	AffectedShare float64   `toml:"part" json:"part"`           // of the servers or proxies
	Magnitude     float64   `toml:"size" json:"size"`           // see FaultKinds
	Interval      Span      `toml:"every" json:"every"`         // period, drain time or downtime; see FaultKinds
	From          string    `toml:"from" json:"from"`           // an endpoint, see ParseEndpoint; required for a partition
	To            string    `toml:"to" json:"to"`               // of a partition
	NewIDs        bool      `toml:"fresh_ids" json:"fresh_ids"` // of a deploy: successors get new ids
}

// FaultKind is a kind of fault, by its name in files.
type FaultKind string

// The kinds of fault. FaultKinds describes them.
const (
	FaultHang                FaultKind = "hang"
	FaultErrors              FaultKind = "fast_errors"
	FaultNoisyNeighbour      FaultKind = "neighbour"
	FaultSlowdown            FaultKind = "gray"
	FaultReportDelay         FaultKind = "report_late"
	FaultDeploy              FaultKind = "deploy"
	FaultRestart             FaultKind = "restart"
	FaultZoneLost            FaultKind = "zone_lost"
	FaultZoneIsolated        FaultKind = "zone_cut"
	FaultPartition           FaultKind = "cut"
	FaultDiscoveryOutage     FaultKind = "discovery"
	FaultDiscoveryZoneOutage FaultKind = "discovery_zone"
	FaultReconnectStorm      FaultKind = "reconnect_storm"
	FaultProxyKill           FaultKind = "proxy_kill"
	FaultProxyRoll           FaultKind = "proxy_roll"
	FaultZoneShift           FaultKind = "shift"
	FaultRetryStorm          FaultKind = "retry_storm"
	FaultTenantFlood         FaultKind = "flood"
)

// FaultKinds describes each kind: what it does and what its fields mean, by their keys in files.
var FaultKinds = map[FaultKind]string{
	FaultHang:           "part of the servers accept work and answer nothing",
	FaultErrors:         "part of the servers fail a share (size) of their requests at once",
	FaultNoisyNeighbour: "another program takes a share (size) of part of the servers, on and off (every)",
	FaultSlowdown:       "part of the servers lose a share (size) of their speed, and do not report it",
	FaultReportDelay:    "load reports come later by size seconds",
	FaultDeploy: "part of the servers are replaced within the time, a share (size) of the fleet at a time; " +
		"each drains for every",
	FaultRestart:             "part of the servers crash and come back cold after every",
	FaultZoneLost:            "all servers of one zone (from, else drawn) crash and come back cold after every",
	FaultZoneIsolated:        "one zone (from, else drawn) is partitioned from the others",
	FaultPartition:           "nothing passes between from and to: zone:N, proxy:N, server:N, proxies, servers, discovery",
	FaultDiscoveryOutage:     "discovery is down",
	FaultDiscoveryZoneOutage: "the proxies of one zone (from, else drawn) do not reach discovery",
	FaultReconnectStorm:      "all connections of part of the proxies break at once, each every",
	FaultProxyKill:           "part of the proxies are killed, and start anew after every",
	FaultProxyRoll: "part of the proxies are stopped within the time, a share (size) of all at a time, " +
		"and start anew every after their end",
	FaultZoneShift:   "clients of one zone (from, else drawn) send size times as many requests, the others fewer",
	FaultRetryStorm:  "clients retry size times as often, and at once",
	FaultTenantFlood: "one tenant (the first) sends size times its traffic",
}

// randomFaultKinds are the kinds that randomFaults draws from. Their order must not change: it determines the results
// of a seed.
var randomFaultKinds = []FaultKind{FaultHang, FaultErrors, FaultNoisyNeighbour, FaultSlowdown, FaultReportDelay,
	FaultDeploy, FaultRestart, FaultZoneIsolated, FaultDiscoveryOutage, FaultReconnectStorm, FaultProxyKill, FaultRetryStorm,
	FaultTenantFlood}

// randomFaults draws RandomFaults faults of different kinds. Their sizes lie within what the operators have recorded.
// In runs of at least 16 s each fault ends before the end of the run.
func (sc *Scenario) randomFaults(rng *rand.Rand) []Fault {
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	length := float64(sc.Duration)
	var faults []Fault
	for _, i := range rng.Perm(len(randomFaultKinds))[:min(sc.RandomFaults, len(randomFaultKinds))] {
		f := Fault{
			Kind:          randomFaultKinds[i],
			Start:         Span(length * between(0.1, 0.5)),
			Duration:      Span(length * between(0.2, 0.45)),
			AffectedShare: between(0.06, 0.2),
		}
		switch f.Kind {
		case FaultErrors:
			f.Magnitude = between(0.4, 0.85)
		case FaultNoisyNeighbour:
			f.AffectedShare, f.Magnitude, f.Interval = between(0.12, 0.38), between(0.37, 0.72), Span(1e6*between(1, 5))
		case FaultSlowdown:
			f.Magnitude = between(0.5, 0.9)
		case FaultReportDelay:
			f.AffectedShare, f.Magnitude = 1, between(1.3, 4.6)
		case FaultDeploy:
			f.AffectedShare, f.Magnitude, f.Interval = between(0.5, 0.97), between(0.08, 0.19), Span(1e6*between(2.6, 5.9))
		case FaultRestart, FaultProxyKill:
			f.Interval = Span(1e6 * between(0.5, 4))
		case FaultZoneIsolated, FaultDiscoveryOutage:
			f.Duration = Span(1e6 * between(2, 8))
		case FaultReconnectStorm:
			f.AffectedShare, f.Duration, f.Interval = 1, 4e6, 1e6
		case FaultRetryStorm, FaultTenantFlood:
			f.Magnitude = between(1.5, 3)
		}
		faults = append(faults, f)
	}
	return faults
}
