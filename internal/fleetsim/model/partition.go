package model

// partition is a fault in force that blocks all traffic between two endpoints.
type partition struct {
	fault int32 // index of the fault
	a, b  Endpoint
}

// isServerPartitioned reports whether a proxy and a server are partitioned from each other.
func (sm *simulation) isServerPartitioned(proxyIndex int32, s *server) bool {
	zone := sm.proxies[proxyIndex].zone
	return sm.areZonesPartitioned(zone, s.zone) || sm.arePartitioned(
		func(e Endpoint) bool { return e.matchesProxy(proxyIndex, zone) },
		func(e Endpoint) bool { return e.matchesServer(s) })
}

// isPeerPartitioned reports whether two proxies are partitioned from each other.
func (sm *simulation) isPeerPartitioned(one, other int32) bool {
	zone, otherZone := sm.proxies[one].zone, sm.proxies[other].zone
	return sm.areZonesPartitioned(zone, otherZone) || sm.arePartitioned(
		func(e Endpoint) bool { return e.matchesProxy(one, zone) },
		func(e Endpoint) bool { return e.matchesProxy(other, otherZone) })
}

// isDiscoveryPartitioned reports whether a proxy is partitioned from discovery.
func (sm *simulation) isDiscoveryPartitioned(proxyIndex int32) bool {
	p := &sm.proxies[proxyIndex]
	return p.isolatedFromDiscovery || sm.arePartitioned(
		func(e Endpoint) bool { return e.matchesProxy(proxyIndex, p.zone) },
		func(e Endpoint) bool { return e.Kind == EndpointDiscovery })
}

// arePartitioned reports whether a partition in force separates two parties. Each function reports whether an endpoint
// includes that party.
func (sm *simulation) arePartitioned(matchesOne, matchesOther func(Endpoint) bool) bool {
	for i := range sm.partitions {
		p := &sm.partitions[i]
		if matchesOne(p.a) && matchesOther(p.b) || matchesOne(p.b) && matchesOther(p.a) {
			return true
		}
	}
	return false
}

func (sm *simulation) areZonesPartitioned(a, b uint8) bool {
	return a != b && (sm.isolatedZones[a] > 0 || sm.isolatedZones[b] > 0)
}
