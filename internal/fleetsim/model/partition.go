package model

func (r *run) parted(n int32, s *server) bool {
	p := &r.proxies[n]
	if p.zone != s.zone && (r.zoneOff[p.zone] > 0 || r.zoneOff[s.zone] > 0) {
		return true
	}
	for i := range r.cuts {
		c := &r.cuts[i]
		if c.a.proxy(n, p.zone) && c.b.server(s) || c.b.proxy(n, p.zone) && c.a.server(s) {
			return true
		}
	}
	return false
}

func (r *run) partedProxies(n, m int32) bool {
	a, b := r.proxies[n].zone, r.proxies[m].zone
	if a != b && (r.zoneOff[a] > 0 || r.zoneOff[b] > 0) {
		return true
	}
	for i := range r.cuts {
		c := &r.cuts[i]
		if c.a.proxy(n, a) && c.b.proxy(m, b) || c.b.proxy(n, a) && c.a.proxy(m, b) {
			return true
		}
	}
	return false
}

func (r *run) partedDiscovery(n int32) bool {
	p := &r.proxies[n]
	if p.cut {
		return true
	}
	for i := range r.cuts {
		c := &r.cuts[i]
		if c.a.Kind == "discovery" && c.b.proxy(n, p.zone) || c.b.Kind == "discovery" && c.a.proxy(n, p.zone) {
			return true
		}
	}
	return false
}

func (p Party) proxy(n int32, zone uint8) bool {
	return p.Kind == "proxies" || p.Kind == "proxy" && p.N == int(n) || p.Kind == "zone" && p.N == int(zone)
}

func (p Party) server(s *server) bool {
	return p.Kind == "servers" || p.Kind == "server" && p.N == int(s.n) || p.Kind == "zone" && p.N == int(s.zone)
}

type cut struct {
	trouble int32
	a, b    Party
}
