package model

import (
	"math"
	"math/rand/v2"
	"slices"
)

// faultPhase is the start, the end or a step of a fault. All phases are scheduled at the start of the run.
type faultPhase uint8

const (
	faultStart faultPhase = iota
	faultEnd
	faultStep // only of kinds with steps; the first step is at the start
)

// After a roll starts to stop a proxy, the proxy gets new clients for stopAcceptDelay and exits after stopExitDelay.
// Both are in microseconds.
const (
	stopAcceptDelay = 600_000
	stopExitDelay   = 3_700_000
)

// maxFaultSteps bounds the number of steps of a fault with a short interval.
const maxFaultSteps = 100_000

// minShiftFactor keeps the traffic of a zone above 0.
const minShiftFactor = 0.001

// scheduleFaults draws what each fault affects, and schedules its phases.
func (sm *simulation) scheduleFaults(rng *rand.Rand) {
	for i := range sm.scenario.Faults {
		f := &sm.scenario.Faults[i]
		affected := sm.drawAffected(f, rng)
		sm.affected = append(sm.affected, affected)
		start, index := Time(f.Start), int32(i)
		sm.schedule(start, event{kind: evFault, subject: index, code: uint8(faultStart)})
		steps, interval := sm.faultSteps(f, len(affected))
		for step := range steps {
			sm.schedule(start+Time(step)*interval, event{kind: evFault, subject: index, code: uint8(faultStep),
				number: int32(step)})
		}
		sm.schedule(start+max(1, Time(f.Duration)), event{kind: evFault, subject: index, code: uint8(faultEnd)})
	}
}

// drawAffected returns the indexes of the servers or proxies that a fault affects, or the index of its zone.
func (sm *simulation) drawAffected(f *Fault, rng *rand.Rand) []int32 {
	switch f.Kind {
	case FaultPartition, FaultDiscoveryOutage, FaultRetryStorm, FaultTenantFlood:
		return nil
	case FaultReconnectStorm, FaultProxyKill, FaultProxyRoll:
		return drawShare(rng, len(sm.proxies), f.AffectedShare)
	case FaultZoneIsolated, FaultDiscoveryZoneOutage, FaultZoneShift:
		return []int32{sm.drawZone(f, rng)}
	case FaultZoneLost:
		zone := sm.drawZone(f, rng)
		var affected []int32
		for _, s := range sm.servers {
			if int32(s.zone) == zone {
				affected = append(affected, s.index)
			}
		}
		return affected
	}
	return drawShare(rng, len(sm.servers), f.AffectedShare)
}

// drawShare draws a share of n indexes, at least one.
func drawShare(rng *rand.Rand, n int, share float64) []int32 {
	drawn := make([]int32, 0, n)
	for _, i := range rng.Perm(n)[:min(n, max(1, int(math.Round(share*float64(n)))))] {
		drawn = append(drawn, int32(i))
	}
	return drawn
}

// drawZone returns the zone that a fault names, or a drawn one. It draws in either case, so that naming the zone does
// not change what is drawn for the other faults.
func (sm *simulation) drawZone(f *Fault, rng *rand.Rand) int32 {
	zone := int32(rng.IntN(sm.scenario.Zones))
	if f.From != "" {
		endpoint, _ := ParseEndpoint(f.From) // Validate has checked it
		zone = int32(endpoint.Number % sm.scenario.Zones)
	}
	return zone
}

// faultSteps returns how many steps a fault has and the time between them.
func (sm *simulation) faultSteps(f *Fault, affected int) (steps int, interval Time) {
	switch f.Kind {
	case FaultDeploy, FaultProxyRoll:
		batch := sm.faultBatchSize(f)
		steps = (affected + batch - 1) / batch
		return steps, Time(f.Duration) / Time(steps)
	case FaultNoisyNeighbour, FaultReconnectStorm:
		interval = Time(f.Interval)
		if interval <= 0 {
			return 1, interval
		}
		return int(min(maxFaultSteps, (Time(f.Duration)+interval-1)/interval)), interval
	}
	return 0, 0
}

// faultBatchSize returns how many servers or proxies one step of a deploy or a roll replaces.
func (sm *simulation) faultBatchSize(f *Fault) int {
	n := sm.scenario.Servers
	if f.Kind == FaultProxyRoll {
		n = sm.scenario.Proxies
	}
	return max(1, int(math.Round(f.Magnitude*float64(n))))
}

// faultEvent is one phase of a fault that is being applied.
type faultEvent struct {
	*Fault
	index    int32 // of the fault
	phase    faultPhase
	step     int
	affected []int32
}

func (f *faultEvent) isStart() bool { return f.phase == faultStart }

// change returns the change to a count of faults in force: 1 at the start of the fault, -1 at its end.
func (f *faultEvent) change() int {
	if f.isStart() {
		return 1
	}
	return -1
}

// valueInForce returns x at the start of the fault and 0 at its end.
func (f *faultEvent) valueInForce(x float64) float64 {
	if f.isStart() {
		return x
	}
	return 0
}

// applyFault carries out one phase of a fault.
func (sm *simulation) applyFault(e *event) {
	f := &faultEvent{
		Fault:    &sm.scenario.Faults[e.subject],
		index:    e.subject,
		phase:    faultPhase(e.code),
		step:     int(e.number),
		affected: sm.affected[e.subject],
	}
	if f.phase == faultStep {
		sm.applyFaultStep(f)
		return
	}
	switch f.Kind {
	case FaultHang:
		sm.changeServers(f, func(s *server) { s.hangs += f.change() })
	case FaultErrors:
		sm.changeServers(f, func(s *server) { s.errorRate = f.valueInForce(f.Magnitude) })
	case FaultSlowdown:
		sm.changeServers(f, func(s *server) { s.slowdown = f.valueInForce(f.Magnitude) })
	case FaultReportDelay:
		sm.changeServers(f, func(s *server) { s.reportDelay = Time(f.valueInForce(f.Magnitude) * microsPerSecond) })
	case FaultNoisyNeighbour:
		sm.changeServers(f, func(s *server) { s.stolenShare = 0 })
	case FaultRestart, FaultZoneLost:
		sm.applyRestart(f)
	case FaultZoneIsolated:
		sm.isolatedZones[f.affected[0]] += f.change()
		sm.expireWatchesAtStart(f)
	case FaultPartition:
		sm.applyPartition(f)
	case FaultDiscoveryOutage:
		sm.applyDiscoveryOutage(f)
	case FaultDiscoveryZoneOutage:
		sm.applyDiscoveryZoneOutage(f)
	case FaultProxyKill:
		sm.applyProxyKill(f)
	case FaultZoneShift:
		sm.applyZoneShift(f)
	case FaultRetryStorm:
		sm.applyRetryStorm(f)
	case FaultTenantFlood:
		sm.floodFactor = max(1, f.valueInForce(f.Magnitude))
	case FaultDeploy, FaultProxyRoll, FaultReconnectStorm: // applied by applyFaultStep
	}
}

// applyFaultStep carries out one step of a fault that has steps.
func (sm *simulation) applyFaultStep(f *faultEvent) {
	switch f.Kind {
	case FaultNoisyNeighbour:
		sm.changeServers(f, func(s *server) {
			s.stolenShare = 0
			if f.step%2 == 0 {
				s.stolenShare = f.Magnitude
			}
		})
	case FaultDeploy:
		for _, serverIndex := range sm.faultBatch(f) {
			sm.drainServer(sm.servers[serverIndex], Time(f.Interval), f.NewIDs)
		}
	case FaultReconnectStorm:
		for _, proxyIndex := range f.affected {
			sm.breakConnections(proxyIndex)
		}
	case FaultProxyRoll:
		for _, proxyIndex := range sm.faultBatch(f) {
			p := &sm.proxies[proxyIndex]
			p.stopsAt = sm.now + stopAcceptDelay
			sm.schedule(sm.now+stopExitDelay, event{kind: evProxyStop, subject: proxyIndex, number: p.generation})
			sm.schedule(sm.now+stopExitDelay+Time(f.Interval), event{kind: evProxyStart, subject: proxyIndex})
		}
	}
}

// faultBatch returns the indexes of the servers or proxies that the current step of a deploy or a roll replaces.
func (sm *simulation) faultBatch(f *faultEvent) []int32 {
	size := sm.faultBatchSize(f.Fault)
	return f.affected[f.step*size : min(len(f.affected), (f.step+1)*size)]
}

// changeServers applies a change to the affected servers and reschedules them, as the change may affect their rate.
func (sm *simulation) changeServers(f *faultEvent, change func(*server)) {
	for _, serverIndex := range f.affected {
		s := sm.servers[serverIndex]
		sm.advanceServer(s)
		change(s)
		sm.processServer(s)
	}
}

func (sm *simulation) applyRestart(f *faultEvent) {
	if !f.isStart() {
		return
	}
	for _, serverIndex := range f.affected {
		sm.stopServer(sm.servers[serverIndex], crash)
		sm.schedule(sm.now+Time(f.Interval), event{kind: evServerStart, subject: serverIndex})
	}
}

// expireWatchesAtStart expires the watches that a starting fault partitions from discovery.
func (sm *simulation) expireWatchesAtStart(f *faultEvent) {
	if f.isStart() {
		sm.expirePartitionedWatches()
	}
}

func (sm *simulation) applyPartition(f *faultEvent) {
	if f.isStart() {
		a, _ := ParseEndpoint(f.From) // Validate has checked both
		b, _ := ParseEndpoint(f.To)
		sm.partitions = append(sm.partitions, partition{f.index, a, b})
	} else {
		sm.partitions = slices.DeleteFunc(sm.partitions, func(p partition) bool { return p.fault == f.index })
	}
	sm.expireWatchesAtStart(f)
}

func (sm *simulation) applyDiscoveryOutage(f *faultEvent) {
	sm.discovery.outages += f.change()
	if !f.isStart() {
		return
	}
	for i := range sm.proxies {
		sm.endWatch(int32(i), sm.proxies[i].generation, watchBroken)
	}
}

func (sm *simulation) applyDiscoveryZoneOutage(f *faultEvent) {
	for i := range sm.proxies {
		if p := &sm.proxies[i]; int32(p.zone) == f.affected[0] {
			p.isolatedFromDiscovery = f.isStart()
		}
	}
	sm.expireWatchesAtStart(f)
}

func (sm *simulation) applyProxyKill(f *faultEvent) {
	if !f.isStart() {
		return
	}
	for _, proxyIndex := range f.affected {
		sm.killProxy(proxyIndex)
		sm.schedule(sm.now+Time(f.Interval), event{kind: evProxyStart, subject: proxyIndex})
	}
}

func (sm *simulation) applyZoneShift(f *faultEvent) {
	zone, factor := f.affected[0], max(minShiftFactor, f.Magnitude)
	// The order of division and multiplication determines the rounding. Another order changes the bytes of stored
	// results.
	if sm.zoneWeights[zone] /= factor; f.isStart() {
		sm.zoneWeights[zone] *= factor * factor
	}
	sm.updateZoneShares()
}

func (sm *simulation) applyRetryStorm(f *faultEvent) {
	sm.retryAtOnce = f.isStart()
	sm.maxRetries = sm.scenario.Clients.Retries
	if f.isStart() {
		sm.maxRetries = int(float64(sm.maxRetries) * max(1, f.Magnitude))
	}
}
