package model

// partition is a fault that keeps two endpoints apart.
type partition struct {
	fault int32
	a, b  Endpoint
}

// isServerPartitioned says whether a proxy and a server are partitioned from each other.
func (sm *simulation) isServerPartitioned(proxyIndex int32, s *server) bool {
	zone := sm.proxies[proxyIndex].zone
	if sm.areZonesPartitioned(zone, s.zone) {
		return true
	}
	for i := range sm.partitions {
		c := &sm.partitions[i]
		if c.a.matchesProxy(proxyIndex, zone) && c.b.matchesServer(s) ||
			c.b.matchesProxy(proxyIndex, zone) && c.a.matchesServer(s) {
			return true
		}
	}
	return false
}

// isPeerPartitioned says whether two proxies are partitioned from each other.
func (sm *simulation) isPeerPartitioned(one, other int32) bool {
	zone, otherZone := sm.proxies[one].zone, sm.proxies[other].zone
	if sm.areZonesPartitioned(zone, otherZone) {
		return true
	}
	for i := range sm.partitions {
		c := &sm.partitions[i]
		if c.a.matchesProxy(one, zone) && c.b.matchesProxy(other, otherZone) ||
			c.b.matchesProxy(one, zone) && c.a.matchesProxy(other, otherZone) {
			return true
		}
	}
	return false
}

// isDiscoveryPartitioned says whether a proxy is partitioned from discovery.
func (sm *simulation) isDiscoveryPartitioned(proxyIndex int32) bool {
	p := &sm.proxies[proxyIndex]
	if p.isolatedFromDiscovery {
		return true
	}
	for i := range sm.partitions {
		c := &sm.partitions[i]
		if c.a.Kind == EndpointDiscovery && c.b.matchesProxy(proxyIndex, p.zone) ||
			c.b.Kind == EndpointDiscovery && c.a.matchesProxy(proxyIndex, p.zone) {
			return true
		}
	}
	return false
}

func (sm *simulation) areZonesPartitioned(a, b uint8) bool {
	return a != b && (sm.isolatedZones[a] > 0 || sm.isolatedZones[b] > 0)
}
