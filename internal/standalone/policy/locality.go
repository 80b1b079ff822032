package policy

import "math"

const (
	// homeZoneUtilization is the utilization of the home zone above which requests are sent to other zones,
	// if crossing zones has no price. Prices.CrossZone is added to it.
	homeZoneUtilization = 0.5
	// maxHomeZoneUtilization bounds that sum: above it requests are sent to other zones at any price.
	maxHomeZoneUtilization = 0.8
	// homeZoneRange is how far the utilization must be above that threshold for the remote share to be 1.
	homeZoneRange = 0.3
	// remoteZoneAdvantage is how much lower the other zones' utilization must be for a remote share of 1.
	remoteZoneAdvantage = 0.1

	// maxZoneConnectFailures is the number of consecutive failures to connect in one zone up to which they
	// are blamed on its servers. Further failures point to the zone: it loses weight, so that its servers
	// need not be found unreachable one by one.
	maxZoneConnectFailures = 3
)

// zoneLoad is the load of several servers: the sum of their utilizations, weighted by server weight, and the
// sum of the weights.
type zoneLoad struct{ utilization, weight float64 }

// mean returns the mean utilization; weight must be positive.
func (l zoneLoad) mean() float64 { return l.utilization / l.weight }

// zoneLoads are the loads of the home zone and of all others together.
type zoneLoads struct{ home, remote zoneLoad }

// updateRemoteZoneShare updates remoteZoneShare, the fraction of their weight that servers of other zones
// keep. It is 0 while the home zone has headroom, since crossing zones has a price, and grows as the headroom
// shrinks, as long as the other zones are less utilized. It changes with a time constant of 1 s: reports are
// old and every balancer reacts to the same reports, so faster changes would overload the zones in turn.
// elapsed is in seconds.
func (b *Balancer) updateRemoteZoneShare(elapsed float64) {
	loads := b.zoneLoads()
	target := 0.0
	if loads.home.weight > 0 {
		homeMean, remoteMean := loads.home.mean(), 0.0
		if loads.remote.weight > 0 {
			remoteMean = loads.remote.mean()
		}
		start := min(maxHomeZoneUtilization, homeZoneUtilization+b.settings.Prices.CrossZone)
		target = clampToUnit((homeMean-start)/homeZoneRange) *
			clampToUnit((homeMean-remoteMean)/remoteZoneAdvantage)
	}
	b.remoteZoneShare += (target - b.remoteZoneShare) * (1 - math.Exp(-elapsed))
	if b.zoneConnectFailures[uint8(b.settings.Zone)] > maxZoneConnectFailures {
		b.remoteZoneShare = 1
	}
}

// zoneLoads returns the loads of the servers that are in the schedule and have reported.
func (b *Balancer) zoneLoads() (loads zoneLoads) {
	for _, s := range b.members {
		if !s.IsQueued() || s.reportWeight == 0 {
			continue
		}
		load := &loads.home
		if !b.isHomeZone(s) {
			load = &loads.remote
		}
		weight := b.baseWeight(s)
		if s.reportWeight == 0 {
			continue // baseWeight has just discarded its expired reports
		}
		load.utilization += weight * s.utilizationSum / s.reportWeight
		load.weight += weight
	}
	return loads
}

func (b *Balancer) isHomeZone(s *server) bool { return int(s.zone) == b.settings.Zone }

// zoneFactor returns the factor on the weight of s that depends on its zone.
func (b *Balancer) zoneFactor(s *server) float64 {
	factor := 1 / (1 + float64(max(0, b.zoneConnectFailures[s.zone]-maxZoneConnectFailures)))
	if !b.isHomeZone(s) {
		factor *= b.remoteZoneShare
	}
	return factor
}

func clampToUnit(x float64) float64 { return max(0, min(1, x)) }
