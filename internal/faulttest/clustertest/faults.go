package clustertest

import (
	"math/rand/v2"
	"time"

	"pumiceline/internal/faulttest"
)

// faultInjector injects faults that it draws from a seed. The order of its draws is part of what a seed means.
type faultInjector struct {
	*cluster
	rand      *rand.Rand
	members   int
	instances int
}

// faultKinds is the number of kinds that inject draws from.
const faultKinds = 8

// inject begins one fault, of the holder of a role or of a member, and returns what ends it.
func (f *faultInjector) inject() (end func()) {
	role := f.roles[f.rand.IntN(len(f.roles))]
	holder := f.lastAccepted(role).From // a fault of an instance that holds nothing shows nothing
	member := f.rand.IntN(f.members)
	switch kind := f.rand.IntN(faultKinds); kind {
	case 0:
		return f.freeze(holder, func() {})
	case 1: // and an effect of its arrives late
		release := hold(faulttest.Upstream, f.relaysBetween(isNamed(holder), isNamed(recorderName)))
		time.Sleep(f.lease / 5)
		return f.freeze(holder, release)
	case 2: // the members do not receive its heartbeats, or it their responses; what was sent arrives late
		return hold(faulttest.Direction(f.rand.IntN(2)), f.relaysBetween(isNamed(holder), isMember))
	case 3: // it is stuck: its effects do not arrive while its heartbeats do
		return hold(faulttest.Upstream, f.relaysBetween(isNamed(holder), isNamed(recorderName)))
	case 4:
		return f.killInstance(holder)
	case 5:
		return f.killMembers(member)
	case 6:
		return f.fillDisk(member)
	default:
		return f.partition(member)
	}
}

func isNamed(name string) func(string) bool { return func(s string) bool { return s == name } }

// hold has relays hold a direction until end is called.
func hold(direction faulttest.Direction, relays []*faulttest.Relay) (end func()) {
	for _, r := range relays {
		r.Set(direction, faulttest.Fault{Hold: true})
	}
	return func() {
		for _, r := range relays {
			r.Heal()
		}
	}
}

// recordError adds an error of the harness itself to the history: the process may have ended already.
func (f *faultInjector) recordError(err error) {
	if err != nil {
		f.Record("script", "%v", err)
	}
}

// freeze freezes an instance. before is called at the end, before the instance is thawed.
func (f *faultInjector) freeze(instance string, before func()) (end func()) {
	f.recordError(f.processes[instance].Freeze())
	return func() {
		before()
		f.recordError(f.processes[instance].Thaw())
	}
}

func (f *faultInjector) killInstance(instance string) (end func()) {
	f.processes[instance].Kill()
	return func() {
		for i := range f.instances {
			if instanceName(i) == instance {
				f.recordError(f.startInstance(i))
			}
		}
	}
}

// killMembers kills a member, or so many from it on that the others are no quorum.
func (f *faultInjector) killMembers(first int) (end func()) {
	count := 1
	if f.rand.IntN(3) == 0 {
		count = f.members/2 + 1
	}
	var killed []int
	for k := range count {
		i := (first + k) % f.members
		killed = append(killed, i)
		f.processes[memberName(i)].Kill()
	}
	return func() {
		for _, i := range killed {
			f.recordError(f.startMember(i))
		}
	}
}

// fillDisk has a member find its disk full, so that it ends by itself.
func (f *faultInjector) fillDisk(member int) (end func()) {
	f.recordError(f.processes[memberName(member)].FillDisk())
	return func() {
		f.processes[memberName(member)].Kill()
		f.recordError(f.startMember(member))
	}
}

// partition cuts a member off from the others, for what it sends or both ways.
func (f *faultInjector) partition(member int) (end func()) {
	isCutOff := isNamed(memberName(member))
	endSending := hold(faulttest.Upstream, f.relaysBetween(isCutOff, isMember))
	if f.rand.IntN(2) != 0 {
		return endSending
	}
	endReceiving := hold(faulttest.Upstream, f.relaysBetween(isMember, isCutOff))
	return func() { endSending(); endReceiving() }
}
