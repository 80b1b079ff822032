package model

import (
	"math"
	"math/rand/v2"
)

// build draws the fleet and the traffic, and starts discovery and the proxies.
func (sm *simulation) build(rng *rand.Rand) {
	sc := sm.scenario
	vary := func(x float64) float64 { return x * (1 + sc.Spread*(2*rng.Float64()-1)) }
	sm.serverIDMask = rng.Uint32()
	totalCapacity := sm.buildServers(rng, vary)
	meanWork := sc.MeanWork()
	sm.capacity = totalCapacity / meanWork * microsPerSecond
	sm.arrivalRate = sc.Load * totalCapacity / meanWork
	sm.observe(Record{Kind: SimulationStarted, Capacity: sm.capacity})
	sm.buildTraffic(rng)
	sm.discovery.init(sm.servers)
	sm.proxies = make([]proxy, sc.Proxies)
	for i := range sm.proxies {
		p := &sm.proxies[i]
		// downSince is far in the past. It is halved so that now - downSince does not overflow.
		p.zone, p.downSince = uint8(i%sc.Zones), math.MinInt64/2
		sm.startProxy(int32(i))
	}
}

// buildServers draws the servers and returns their total warm capacity in standard cores. Instance types are assigned
// in proportion to their shares. ZoneSkew makes the zones unequal; each zone gets at least one server if there are
// enough.
func (sm *simulation) buildServers(rng *rand.Rand, vary func(float64) float64) (totalCapacity float64) {
	sc := sm.scenario
	types := make([]InstanceType, len(sc.InstanceTypes))
	shares := 0.0
	for i, t := range sc.InstanceTypes {
		types[i] = varyInstanceType(t, &sc.Published, vary)
		shares += t.Share
	}
	if shares == 0 {
		shares = 1
	}
	for i := range sc.Servers {
		// The server's position within the cumulative shares selects its type.
		chosen, position := 0, (float64(i)+0.5)/float64(sc.Servers)*shares
		for upTo := types[0].Share; chosen < len(types)-1 && position > upTo; upTo += types[chosen].Share {
			chosen++
		}
		zone := i % sc.Zones
		if i >= sc.Zones && rng.Float64() < sc.ZoneSkew {
			zone = rng.IntN(sc.Zones)
		}
		s := sm.addServer(uint8(zone), int32(chosen), &types[chosen], vary(types[chosen].Speed))
		totalCapacity += s.warmCapacity()
	}
	return totalCapacity
}

// varyInstanceType draws the actual values of an instance type. Its servers never warm up more slowly, or from less
// capacity, than the published settings say.
func varyInstanceType(t InstanceType, published *PublishedSettings, vary func(float64) float64) InstanceType {
	t.Slots = max(1, int(vary(float64(t.Slots))))
	t.QueueCapacity = int(vary(float64(t.QueueCapacity)))
	t.Knee = int(vary(float64(t.Knee)))
	t.WarmupTime = Span(vary(float64(t.WarmupTime)))
	if published.WarmupTime > 0 {
		t.WarmupTime = min(t.WarmupTime, published.WarmupTime)
	}
	t.InitialCapacity = max(vary(t.InitialCapacity), published.InitialCapacity)
	return t
}

// buildTraffic draws how requests are distributed over zones, classes, tenants and keys.
func (sm *simulation) buildTraffic(rng *rand.Rand) {
	sc := sm.scenario
	sm.zoneWeights = make([]float64, sc.Zones)
	for i := range sm.zoneWeights {
		sm.zoneWeights[i] = 1 + sc.ZoneSkew*(2*rng.Float64()-1)
	}
	sm.updateZoneShares()
	sm.classShares = cumulativeShares(len(sc.Classes), func(i int) float64 { return sc.Classes[i].Share })
	if len(sc.Tenants) > 0 {
		sm.tenantShares = cumulativeShares(len(sc.Tenants), func(i int) float64 {
			return max(1e-9, sc.Tenants[i].QuotaShare*sc.Tenants[i].QuotaUsage)
		})
	}
	if sc.Keys.Count > 0 {
		sm.keyShares = cumulativeShares(sc.Keys.Count, func(i int) float64 {
			return math.Pow(float64(i+1), -sc.Keys.ZipfExponent)
		})
	}
}

// updateZoneShares recomputes zoneShares after a change of zoneWeights.
func (sm *simulation) updateZoneShares() {
	sm.zoneShares = cumulativeShares(len(sm.zoneWeights), func(i int) float64 { return sm.zoneWeights[i] })
}

// cumulativeShares divides the interval 0 to 1 in proportion to the weights and returns the upper end of each part.
func cumulativeShares(n int, weight func(int) float64) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		sum += weight(i)
		shares[i] = sum
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// indexAt returns the index of the part that contains x, from 0 to 1. shares is a result of cumulativeShares.
func indexAt(shares []float64, x float64) int {
	for i, upTo := range shares {
		if x < upTo {
			return i
		}
	}
	return len(shares) - 1
}
