package policy

import "math"

const (
	// homeZoneUtilization is the utilization of the home zone above which requests leave it, where crossing
	// zones has no price. The price is added to it.
	homeZoneUtilization = 0.5
	// maxHomeZoneUtilization bounds that sum: above it requests leave at any price.
	maxHomeZoneUtilization = 0.8
	// homeZoneRange is the utilization above that threshold at which the remote share is full.
	homeZoneRange = 0.3
	// remoteZoneAdvantage is how much lower the other zones' utilization must be for the remote share to be
	// full.
	remoteZoneAdvantage = 0.1

	// maxZoneConnectFailures is the number of failures to connect in a row in one zone that point to the zone
	// and not to its servers. Beyond it the zone loses weight, so that its servers need not be found
	// unreachable one by one.
	maxZoneConnectFailures = 3
)

// zoneLoad is the utilization of several servers, weighted by their weight.
type zoneLoad struct{ utilization, weight float64 }

// mean is the mean utilization; weight must be positive.
func (l zoneLoad) mean() float64 { return l.utilization / l.weight }

// zoneLoads are the loads of the home zone and of all others together.
type zoneLoads struct{ home, remote zoneLoad }

// updateRemoteZoneShare moves the fraction of their weight that servers of other zones keep: 0 while the home
// zone has headroom, since crossing zones has a price, and more the less headroom it has, as long as the
// others are less utilized. It moves with a time constant of 1 s: reports are old and every balancer reacts
// to the same ones, so that with faster moves the zones would be overloaded in turn. elapsed is in seconds.
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
			continue // baseWeight has found its reports expired
		}
		load.utilization += weight * s.utilizationSum / s.reportWeight
		load.weight += weight
	}
	return loads
}

func (b *Balancer) isHomeZone(s *server) bool { return int(s.zone) == b.settings.Zone }

// zoneFactor scales the weight of s by its zone.
func (b *Balancer) zoneFactor(s *server) float64 {
	factor := 1 / (1 + float64(max(0, b.zoneConnectFailures[s.zone]-maxZoneConnectFailures)))
	if !b.isHomeZone(s) {
		factor *= b.remoteZoneShare
	}
	return factor
}

func clampToUnit(x float64) float64 { return max(0, min(1, x)) }
