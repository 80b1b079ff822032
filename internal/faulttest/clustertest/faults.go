package clustertest

import (
	"math/rand/v2"
	"time"

	"pumiceline/internal/faulttest"
)

// faultInjector injects faults that it draws from a seed. A change of the order of its draws changes the faults of a
// seed.
type faultInjector struct {
	*cluster
	rand      *rand.Rand
	members   int
	instances int
}

// faultKind is a kind of fault that inject draws. A change of the order of the kinds changes the faults that a seed
// draws.
type faultKind int

const (
	freezeHolder               faultKind = iota
	freezeHolderWithLateEffect           // an effect that the holder sent is held and arrives when the fault ends
	holdHeartbeats                       // hold the holder's heartbeats to the members, or the members' responses
	holdEffects                          // the holder is stuck: its heartbeats arrive, but its effects do not
	killHolder
	killMembers
	fillMemberDisk
	partitionMember
	faultKindCount = iota
)

// inject begins one fault, of the holder of a role or of a member, and returns the function that ends the fault. Data
// that relays held arrives when the fault ends.
func (f *faultInjector) inject() (end func()) {
	role := f.roles[f.rand.IntN(len(f.roles))]
	holder := f.lastAccepted(role).From // a fault of an instance that holds nothing would have no effect
	member := f.rand.IntN(f.members)
	switch kind := faultKind(f.rand.IntN(faultKindCount)); kind {
	case freezeHolder:
		return f.freeze(holder, func() {})
	case freezeHolderWithLateEffect:
		release := hold(faulttest.Upstream, f.relaysBetween(isNamed(holder), isNamed(recorderName)))
		time.Sleep(f.lease / effectWaitDivisor) // until the holder has sent an effect
		return f.freeze(holder, release)
	case holdHeartbeats:
		return hold(faulttest.Direction(f.rand.IntN(2)), f.relaysBetween(isNamed(holder), isMember))
	case holdEffects:
		return hold(faulttest.Upstream, f.relaysBetween(isNamed(holder), isNamed(recorderName)))
	case killHolder:
		return f.killInstance(holder)
	case killMembers:
		return f.killMembers(member)
	case fillMemberDisk:
		return f.fillDisk(member)
	default:
		return f.partition(member)
	}
}

// effectWaitDivisor is the divisor of the lease that gives the time within which a holder sends an effect. That time is
// two steps of the holder, which makes ten steps in a lease.
const effectWaitDivisor = 5

// leases draws a time of least lease durations and up to spread more.
func (f *faultInjector) leases(least, spread float64) time.Duration {
	return time.Duration((least + spread*f.rand.Float64()) * float64(f.lease))
}

func isNamed(name string) func(string) bool { return func(s string) bool { return s == name } }

// hold makes relays hold a direction until end is called.
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

// recordError adds an error of the harness to the history. The run does not fail because of it: the process that a
// fault affects may have ended already.
func (f *faultInjector) recordError(err error) {
	if err != nil {
		f.Record("script", "%v", err)
	}
}

// freeze freezes an instance. When the fault ends, beforeThaw is called and then the instance is thawed.
func (f *faultInjector) freeze(instance string, beforeThaw func()) (end func()) {
	f.recordError(f.processes[instance].Freeze())
	return func() {
		beforeThaw()
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

// killMembers kills the member first, or, in a third of the draws, as many members from it on as leave no quorum.
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

// fillDisk makes the disk of a member full, so that the member ends by itself.
func (f *faultInjector) fillDisk(member int) (end func()) {
	f.recordError(f.processes[memberName(member)].FillDisk())
	return func() {
		f.processes[memberName(member)].Kill()
		f.recordError(f.startMember(member))
	}
}

// partition partitions a member from the others: it holds the requests that the member sends, and in half of the draws
// also those that the others send to it.
func (f *faultInjector) partition(member int) (end func()) {
	isPartitioned := isNamed(memberName(member))
	endSending := hold(faulttest.Upstream, f.relaysBetween(isPartitioned, isMember))
	if f.rand.IntN(2) != 0 {
		return endSending
	}
	endReceiving := hold(faulttest.Upstream, f.relaysBetween(isMember, isPartitioned))
	return func() { endSending(); endReceiving() }
}
