package model

// partition is a fault in force that keeps two endpoints apart.
type partition struct {
	fault int32 // its index
	a, b  Endpoint
}

// isServerPartitioned says whether a proxy and a server are partitioned from each other.
func (sm *simulation) isServerPartitioned(proxyIndex int32, s *server) bool {
	zone := sm.proxies[proxyIndex].zone
	return sm.areZonesPartitioned(zone, s.zone) || sm.arePartitioned(
		func(e Endpoint) bool { return e.matchesProxy(proxyIndex, zone) },
		func(e Endpoint) bool { return e.matchesServer(s) })
}

// isPeerPartitioned says whether two proxies are partitioned from each other.
func (sm *simulation) isPeerPartitioned(one, other int32) bool {
	zone, otherZone := sm.proxies[one].zone, sm.proxies[other].zone
	return sm.areZonesPartitioned(zone, otherZone) || sm.arePartitioned(
		func(e Endpoint) bool { return e.matchesProxy(one, zone) },
		func(e Endpoint) bool { return e.matchesProxy(other, otherZone) })
}

// isDiscoveryPartitioned says whether a proxy is partitioned from discovery.
func (sm *simulation) isDiscoveryPartitioned(proxyIndex int32) bool {
	p := &sm.proxies[proxyIndex]
	return p.isolatedFromDiscovery || sm.arePartitioned(
		func(e Endpoint) bool { return e.matchesProxy(proxyIndex, p.zone) },
		func(e Endpoint) bool { return e.Kind == EndpointDiscovery })
}

// arePartitioned says whether a partition in force has one party at one end and the other party at the other.
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
