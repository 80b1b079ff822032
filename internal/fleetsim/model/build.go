package model

import (
	"math"
	"math/rand/v2"
)

func zeros(n int) []int { return make([]int, n) }

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

func pickAt(cum []float64, x float64) int {
	for i, c := range cum {
		if x < c {
			return i
		}
	}
	return len(cum) - 1
}
