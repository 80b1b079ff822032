package model

import (
	"slices"

	"pumiceline/internal/standalone/policy"
)

// watchHeartbeatTimeout is the time without a heartbeat after which a proxy considers its watch broken.
const watchHeartbeatTimeout = 5 * microsPerSecond

// partitionPollInterval is the retry interval, in microseconds, of a notification that a partition blocks.
const partitionPollInterval = 250_000

// discoveryService keeps one log of changes, and proxies are given slices of it. Memory therefore does not grow with
// the number of proxies: a thousand proxies with ten thousand servers need no more than one proxy.
type discoveryService struct {
	initial          []policy.Member // the full list at the start
	changes          []policy.Member // all changes since; a version is a length of this log
	current          []policy.Member // the current state by server index, including servers that are gone
	generations      []int32         // of the latest process known, by server index
	listCache        []policy.Member // the full list at version listCacheVersion
	listCacheVersion int
	busyUntil        Time // subscribe calls are answered one after another
	outages          int  // faults in force
}

func (d *discoveryService) init(servers []*server) {
	for _, s := range servers {
		d.current = append(d.current, s.member(policy.ModeReady))
		d.generations = append(d.generations, 0)
	}
	d.initial = slices.Clone(d.current)
	d.listCache = d.initial
}

// add adds a server that has not started, with mode gone and generation -1, so that its first start is recorded as a
// change.
func (d *discoveryService) add(s *server) {
	d.current = append(d.current, s.member(policy.ModeGone))
	d.generations = append(d.generations, -1)
}

func (d *discoveryService) version() int { return len(d.changes) }

// list returns the full list at the current version.
func (d *discoveryService) list() []policy.Member {
	if d.listCacheVersion != d.version() {
		d.listCache, d.listCacheVersion = nil, d.version()
		for i := range d.current {
			if d.current[i].Mode != policy.ModeGone {
				d.listCache = append(d.listCache, d.current[i])
			}
		}
	}
	return d.listCache
}

// listAt returns the full list as of a version.
func (d *discoveryService) listAt(version int) []policy.Member {
	if version == 0 {
		return d.initial
	}
	if version == d.listCacheVersion {
		return d.listCache
	}
	indexByID := map[uint32]int{}
	list := slices.Clone(d.initial)
	for i := range list {
		indexByID[list[i].Server] = i
	}
	for _, m := range d.changes[:version] {
		if i, ok := indexByID[m.Server]; ok {
			list[i] = m
		} else {
			indexByID[m.Server] = len(list)
			list = append(list, m)
		}
	}
	return slices.DeleteFunc(list, func(m policy.Member) bool { return m.Mode == policy.ModeGone })
}

// scheduleDiscoveryUpdate schedules the update of discovery with a server's new mode after a delay.
func (sm *simulation) scheduleDiscoveryUpdate(s *server, mode policy.Mode, delay Span) {
	sm.schedule(sm.now+Time(delay), event{kind: evDiscoveryUpdate, subject: s.index, number: s.generation, code: uint8(mode),
		id: uint64(s.startedAt)})
}

// updateDiscovery records a change and schedules the notification of the watching proxies.
func (sm *simulation) updateDiscovery(e *event) {
	d := &sm.discovery
	serverIndex, generation, mode, startedAt := e.subject, e.number, policy.Mode(e.code), Time(e.id)
	member := &d.current[serverIndex]
	isOutdated := generation < d.generations[serverIndex] // the process has a successor
	isKnown := generation == d.generations[serverIndex] && (member.Mode == mode || member.Mode == policy.ModeGone)
	if isOutdated || isKnown {
		return
	}
	d.generations[serverIndex] = generation
	member.Mode, member.StartedAt = mode, startedAt
	d.changes = append(d.changes, *member)
	sm.observe(Record{Kind: DiscoveryUpdated, Members: d.changes[len(d.changes)-1:], Version: d.version()})
	for i := range sm.proxies {
		if p := &sm.proxies[i]; p.up && p.watching {
			sm.scheduleNotification(int32(i))
		}
	}
}

func (sm *simulation) scheduleNotification(proxyIndex int32) {
	p := &sm.proxies[proxyIndex]
	if p.notificationPending {
		return // the pending notification will include this change
	}
	p.notificationPending = true
	delay := Time(sm.networkRand.Float64()*float64(sm.scenario.Discovery.NotifyJitter)) + sm.discoveryDelay(p)
	sm.schedule(sm.nextTick(sm.now+delay), event{kind: evNotifyProxy, subject: proxyIndex, number: p.generation})
}

// discoveryDelay draws the network delay of a message between a proxy and discovery, which is in zone 0.
func (sm *simulation) discoveryDelay(p *proxy) Time { return sm.networkDelay(p.zone, 0) }

// notifyProxy sends a watching proxy the changes that it does not have. While a partition separates it from discovery,
// notifyProxy retries.
func (sm *simulation) notifyProxy(proxyIndex, generation int32) {
	if !sm.isRunning(proxyIndex, generation) {
		return
	}
	p := &sm.proxies[proxyIndex]
	p.notificationPending = false
	if !p.watching || p.listVersion == sm.discovery.version() {
		return
	}
	if sm.isDiscoveryPartitioned(proxyIndex) {
		p.notificationPending = true
		sm.schedule(sm.nextTick(sm.now+partitionPollInterval),
			event{kind: evNotifyProxy, subject: proxyIndex, number: generation})
		return
	}
	sm.sendMembership(proxyIndex)
}

// sendMembership gives a proxy the changes since its version, or the full list if there are more changes than servers.
func (sm *simulation) sendMembership(proxyIndex int32) {
	p, d := &sm.proxies[proxyIndex], &sm.discovery
	members := d.changes[p.listVersion:len(d.changes):len(d.changes)]
	kind := policy.MembershipDelta
	if len(members) > len(d.current) {
		members, kind = d.list(), policy.MembershipFull
	}
	p.listVersion = d.version()
	sm.observe(Record{Kind: ProxyNotified, Proxy: proxyIndex, Members: members, Version: p.listVersion,
		Flag: kind == policy.MembershipFull})
	sm.policyEvent = policy.Event{Kind: kind, Members: members}
	sm.deliver(proxyIndex)
}

// subscribe carries out a node's SubscribeDiscovery. Discovery answers calls one after another. A call that would wait
// longer than CallTimeout fails.
func (sm *simulation) subscribe(proxyIndex int32) {
	p, d, config := &sm.proxies[proxyIndex], &sm.discovery, &sm.scenario.Discovery
	sm.observe(Record{Kind: DiscoveryCalled, Proxy: proxyIndex})
	succeeded := event{kind: evSubscribeResult, subject: proxyIndex, number: p.generation}
	failed := succeeded
	failed.code = 1
	d.busyUntil = max(d.busyUntil, sm.now)
	switch {
	case sm.isDiscoveryPartitioned(proxyIndex):
		sm.schedule(sm.nextTick(sm.now+Time(config.CallTimeout)), failed)
	case d.outages > 0:
		sm.schedule(sm.nextTick(sm.now+2*sm.discoveryDelay(p)), failed)
	case d.busyUntil-sm.now > Time(config.CallTimeout):
		sm.schedule(sm.nextTick(sm.now+Time(config.CallTimeout)), failed)
	default:
		d.busyUntil += Time(microsPerSecond / config.CallsPerSecond)
		sm.schedule(sm.nextTick(d.busyUntil+sm.discoveryDelay(p)), succeeded)
	}
}

// receiveSubscribeResult handles the end of a proxy's call to discovery. On success the proxy has a watch from now on
// and is given the membership; on failure it is notified that the call failed.
func (sm *simulation) receiveSubscribeResult(e *event) {
	proxyIndex, generation := e.subject, e.number
	if !sm.isRunning(proxyIndex, generation) {
		return
	}
	if e.code == 1 || sm.discovery.outages > 0 || sm.isDiscoveryPartitioned(proxyIndex) {
		sm.endWatch(proxyIndex, generation, subscribeFailed)
		return
	}
	sm.proxies[proxyIndex].watching = true
	sm.observe(Record{Kind: DiscoveryCalled, Proxy: proxyIndex, Flag: true})
	if lifetime := sm.scenario.Discovery.WatchLifetime; lifetime > 0 {
		sm.schedule(sm.now+1+Time(sm.networkRand.ExpFloat64()*float64(lifetime)),
			event{kind: evWatchBreaks, subject: proxyIndex, number: generation})
	}
	sm.sendMembership(proxyIndex)
}

// watchEnd is the reason why a proxy has no watch.
type watchEnd bool

const (
	watchBroken     watchEnd = false
	subscribeFailed watchEnd = true
)

// endWatch notifies a proxy that its watch broke or its call failed.
func (sm *simulation) endWatch(proxyIndex, generation int32, reason watchEnd) {
	p := &sm.proxies[proxyIndex]
	if !sm.isRunning(proxyIndex, generation) || reason == watchBroken && !p.watching {
		return
	}
	p.watching = false
	sm.observe(Record{Kind: WatchLost, Proxy: proxyIndex, Flag: reason == subscribeFailed})
	sm.policyEvent = policy.Event{Kind: policy.DiscoveryFailed}
	sm.deliver(proxyIndex)
}

// expirePartitionedWatches schedules the end of the watches that a new partition affects, because their proxies miss
// heartbeats.
func (sm *simulation) expirePartitionedWatches() {
	for i := range sm.proxies {
		if p := &sm.proxies[i]; p.up && p.watching && sm.isDiscoveryPartitioned(int32(i)) {
			sm.schedule(sm.now+watchHeartbeatTimeout, event{kind: evWatchBreaks, subject: int32(i), number: p.generation})
		}
	}
}
