package model

func (r *simulation) isServerPartitioned(n int32, s *server) bool {
	p := &r.proxies[n]
	if p.zone != s.zone && (r.isolatedZones[p.zone] > 0 || r.isolatedZones[s.zone] > 0) {
		return true
	}
	for i := range r.partitions {
		c := &r.partitions[i]
		if c.a.matchesProxy(n, p.zone) && c.b.matchesServer(s) || c.b.matchesProxy(n, p.zone) && c.a.matchesServer(s) {
			return true
		}
	}
	return false
}

func (r *simulation) isPeerPartitioned(n, m int32) bool {
	a, b := r.proxies[n].zone, r.proxies[m].zone
	if a != b && (r.isolatedZones[a] > 0 || r.isolatedZones[b] > 0) {
		return true
	}
	for i := range r.partitions {
		c := &r.partitions[i]
		if c.a.matchesProxy(n, a) && c.b.matchesProxy(m, b) || c.b.matchesProxy(n, a) && c.a.matchesProxy(m, b) {
			return true
		}
	}
	return false
}

func (r *simulation) isDiscoveryPartitioned(n int32) bool {
	p := &r.proxies[n]
	if p.cutFromDiscovery {
		return true
	}
	for i := range r.partitions {
		c := &r.partitions[i]
		if c.a.Kind == "discovery" && c.b.matchesProxy(n, p.zone) || c.b.Kind == "discovery" && c.a.matchesProxy(n, p.zone) {
			return true
		}
	}
	return false
}

func (p Party) matchesProxy(n int32, zone uint8) bool {
	return p.Kind == "proxies" || p.Kind == "proxy" && p.N == int(n) || p.Kind == "zone" && p.N == int(zone)
}

func (p Party) matchesServer(s *server) bool {
	return p.Kind == "servers" || p.Kind == "server" && p.N == int(s.index) || p.Kind == "zone" && p.N == int(s.zone)
}

type partition struct {
	fault int32
	a, b  Party
}
