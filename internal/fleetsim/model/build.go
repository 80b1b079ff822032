package model

import (
	"math"
	"math/rand/v2"
)

func zeros(n int) []int { return make([]int, n) }

// build draws the fleet, the traffic and the troubles, and starts everything.
func (r *simulation) build() {
	w := r.scenario
	draw := rand.New(rand.NewPCG(r.seed, 4))
	vary := func(x float64) float64 { return x * (1 + w.Spread*(2*draw.Float64()-1)) }
	r.serverIDMask = draw.Uint32()
	kinds := make([]InstanceType, len(w.InstanceTypes))
	for i, k := range w.InstanceTypes {
		k.Slots = max(1, int(vary(float64(k.Slots))))
		k.QueueCapacity = int(vary(float64(k.QueueCapacity)))
		k.Knee = int(vary(float64(k.Knee)))
		k.WarmupTime = Span(vary(float64(k.WarmupTime)))
		if w.Published.WarmupTime > 0 {
			k.WarmupTime = min(k.WarmupTime, w.Published.WarmupTime)
		}
		k.InitialCapacity = max(vary(k.InitialCapacity), w.Published.InitialCapacity)
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
		if i >= w.Zones && draw.Float64() < w.ZoneSkew {
			zone = draw.IntN(w.Zones)
		}
		s := r.addServer(int32(zone), int32(pick), &kinds[pick], vary(kinds[pick].Speed))
		total += s.warmCapacity()
	}
	mean := w.meanWork()
	r.capacity = total / mean * 1e6
	r.arrivalRate = w.Load * total / mean
	r.observe(Record{Kind: SimulationStarted, Capacity: r.capacity})
	r.zoneWeights = make([]float64, w.Zones)
	for i := range r.zoneWeights {
		r.zoneWeights[i] = 1 + w.ZoneSkew*(2*draw.Float64()-1)
	}
	r.zoneShares = cumulativeShares(w.Zones, func(i int) float64 { return r.zoneWeights[i] })
	r.classShares = cumulativeShares(len(w.Classes), func(i int) float64 { return w.Classes[i].Share })
	if len(w.Tenants) > 0 {
		r.tenantShares = cumulativeShares(len(w.Tenants), func(i int) float64 { return max(1e-9, w.Tenants[i].QuotaShare*w.Tenants[i].QuotaUsage) })
	}
	if w.Keys.Count > 0 {
		r.keyShares = cumulativeShares(w.Keys.Count, func(i int) float64 { return math.Pow(float64(i+1), -w.Keys.ZipfExponent) })
	}
	r.discovery.init(r)
	r.proxies = make([]proxy, w.Proxies)
	for i := range r.proxies {
		p := &r.proxies[i]
		p.zone, p.downSince = uint8(i%w.Zones), math.MinInt64/2
		r.startProxy(int32(i))
	}
	r.scheduleFaults(rand.New(rand.NewPCG(r.seed, 5)))
	for i := range r.servers {
		r.schedulePause(int32(i))
	}
	r.schedule(0, event{kind: evArrival})
	r.schedule(1_000_000, event{kind: evSample})
}

// cumulativeShares turns weights into the upper ends of their parts of 0 to 1.
func cumulativeShares(n int, of func(int) float64) []float64 {
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

func indexAt(cum []float64, x float64) int {
	for i, c := range cum {
		if x < c {
			return i
		}
	}
	return len(cum) - 1
}
