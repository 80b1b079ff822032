package coordination

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"pumiceline/internal/message"
)

const (
	modelMembers = 3
	modelSteps   = 120
	modelSeeds   = 100
)

// replicaModel compares an issuer and acceptors with the reference. Acceptors apply changes late, members restart and
// are restored from the issuer, and the issuer changes.
type replicaModel struct {
	pick      func(n int) int // chooses one of 0 to n-1
	now       time.Duration
	reference reference
	members   []*modelMember
	issuer    int
	values    int // number of values put so far
}

// modelMember is a member with its clock and the changes that are in flight to it.
type modelMember struct {
	machine  machine
	expected referenceMember
	clock    time.Duration // ahead of replicaModel.now
	pending  []message.CoordinationChange
}

func newReplicaModel(defect defect, pick func(n int) int) *replicaModel {
	limits := smallLimits()
	limits.answerEvents, limits.eventBytesBudget = 3, 600
	limits.stateBytes = []int{500, 1500}[pick(2)] // one reaches the limit of bytes first, the other that of events
	m := &replicaModel{pick: pick}
	m.reference = reference{limits: limits, horizons: map[message.KeyGroup]message.Revision{}}
	for i := range modelMembers {
		m.members = append(m.members, &modelMember{
			machine:  newMachine(defect, limits),
			expected: referenceMember{holdEnds: map[message.LockName]time.Duration{}},
			clock:    time.Duration(i) * time.Hour,
		})
	}
	return m
}

// step performs one random operation and checks its result.
func (m *replicaModel) step() error {
	member := m.members[m.pick(modelMembers)]
	switch m.pick(12) {
	case 0:
		m.now += []time.Duration{1, time.Millisecond, 700 * time.Millisecond, testRetention + 1}[m.pick(4)]
	case 1:
		return m.maintain()
	case 2:
		m.deliver(member)
	case 3:
		m.issuer = m.pick(modelMembers)
		m.deliver(m.members[m.issuer])
	case 4:
		m.restore(member)
	case 5:
		m.restart(member)
	default:
		return m.call(m.drawCall())
	}
	return m.checkSnapshots()
}

func (m *replicaModel) drawCall() message.Call {
	lock := message.LockName([]string{"l0", "l1", "l2", "l3"}[m.pick(4)])
	owner := message.OwnerName([]string{"one", "two"}[m.pick(2)])
	token := m.reference.lastToken - min(m.reference.lastToken, message.FencingToken(m.pick(3)))
	hold := []int64{1, 500, 2000}[m.pick(3)]
	key := message.KeyName([]string{"g.a", "g.b", "g.c", "h"}[m.pick(4)])
	newest, _ := m.reference.newest(key)
	switch m.pick(10) {
	case 0:
		return acquire(lock, owner, hold)
	case 1:
		return renew(lock, owner, token, hold)
	case 2:
		return release(lock, owner, token)
	case 3:
		return number()
	case 4:
		return get(key)
	case 5:
		after := message.Revision(m.pick(len(m.reference.puts) + 2))
		return watch(GroupOf(key), after, int64(m.pick(2)))
	}
	if m.pick(3) == 0 { // a value that may have been put before
		return put(key, fmt.Sprint(m.pick(m.values+1)), message.Revision(m.pick(len(m.reference.puts)+1)))
	}
	m.values++
	ifRevision := newest.Revision
	if m.pick(6) == 0 {
		ifRevision = message.Revision(m.pick(len(m.reference.puts) + 1))
	}
	return put(key, fmt.Sprint(m.values), ifRevision)
}

func (m *replicaModel) timeOf(member *modelMember) time.Duration { return m.now + member.clock }

// call executes a call at the issuer and compares its answer with that of the reference.
func (m *replicaModel) call(call message.Call) error {
	issuer := m.members[m.issuer]
	now := m.timeOf(issuer)
	if call.Kind == message.CallWatch {
		hasEvents := issuer.machine.HasEvents(call)
		if waits := issuer.machine.Execute(now, call).Waits; call.WaitMs > 0 && hasEvents == waits {
			return errors.Errorf("%+v waits: %t, has events: %t", call, waits, hasEvents)
		}
	}
	result := issuer.machine.Execute(now, call)
	answer, waits := m.reference.execute(&issuer.expected, now, call)
	if result.Waits != waits || !waits && !reflect.DeepEqual(result.Answer, answer) {
		return errors.Errorf("%+v: answer %+v, waits: %t; want %+v, %t", call, result.Answer, result.Waits, answer, waits)
	}
	m.send(result.Changes)
	return m.checkSnapshots()
}

// send queues changes of the issuer for the other members.
func (m *replicaModel) send(changes []message.CoordinationChange) {
	for i, member := range m.members {
		if i != m.issuer {
			member.pending = append(member.pending, changes...)
		}
	}
}

// maintain calls Maintain at the issuer and checks that it drops all expired holds and old events, and nothing else.
func (m *replicaModel) maintain() error {
	issuer := m.members[m.issuer]
	now := m.timeOf(issuer)
	changes := issuer.machine.Maintain(now)
	for _, change := range changes {
		if err := m.checkMaintenance(issuer, now, change); err != nil {
			return err
		}
	}
	for _, hold := range m.reference.holds {
		if now >= issuer.expected.holdEnds[hold.Lock] {
			return errors.Errorf("expired hold %+v is kept", hold)
		}
	}
	if events, bytes, _ := m.reference.size(); events > m.reference.limits.eventBudget ||
		bytes > m.reference.limits.eventBytesBudget {
		for i, put := range m.reference.puts {
			if m.reference.isKept(put) && now-issuer.expected.receivedAt[i] > testRetention {
				return errors.Errorf("%d events are kept, including the old %+v", events, put)
			}
		}
	}
	m.send(changes)
	return m.checkSnapshots()
}

// checkMaintenance checks one change that Maintain made, and applies it to the reference.
func (m *replicaModel) checkMaintenance(issuer *modelMember, now time.Duration, change message.CoordinationChange) error {
	if release := change.Release; release != nil {
		hold, exists := m.reference.hold(release.Lock)
		if !exists || hold.Token != release.Token || now < issuer.expected.holdEnds[release.Lock] {
			return errors.Errorf("released %+v at %v, but %+v is held until %v",
				release, now, hold, issuer.expected.holdEnds[release.Lock])
		}
		m.reference.endHold(release.Lock)
		return nil
	}
	if change.Trim == nil || change.Trim.Horizon <= m.reference.horizons[change.Trim.Group] {
		return errors.Errorf("unexpected change %+v", change)
	}
	for i, put := range m.reference.puts {
		isDropped := GroupOf(put.Key) == change.Trim.Group && put.Revision <= change.Trim.Horizon && m.reference.isKept(put)
		if isDropped && now-issuer.expected.receivedAt[i] <= testRetention {
			return errors.Errorf("dropped the recent event %+v", put)
		}
	}
	m.reference.horizons[change.Trim.Group] = change.Trim.Horizon
	return nil
}

// deliver applies all changes that are in flight to a member.
func (m *replicaModel) deliver(member *modelMember) {
	now := m.timeOf(member)
	for _, change := range member.pending {
		member.machine.Apply(now, change)
		if change.Hold != nil {
			member.expected.holdEnds[change.Hold.Lock] = now + time.Duration(change.Hold.HoldMs)*time.Millisecond
		}
		if change.Put != nil {
			member.expected.receivedAt = append(member.expected.receivedAt, now)
		}
	}
	member.pending = nil
}

// restore replaces an acceptor's state with the issuer's.
func (m *replicaModel) restore(member *modelMember) {
	issuer := m.members[m.issuer]
	if member == issuer {
		return
	}
	snapshot := issuer.machine.Snapshot(m.timeOf(issuer))
	expected := m.reference.snapshot(&issuer.expected, m.timeOf(issuer))
	m.now += time.Duration(m.pick(2)) * 300 * time.Millisecond // the delay of the message
	now := m.timeOf(member)
	member.machine.Restore(now, snapshot, false)
	member.pending = nil
	member.expected = newReferenceMember(now, &m.reference)
	for _, hold := range expected.Holds {
		member.expected.holdEnds[hold.Lock] = now + time.Duration(hold.LeftMs)*time.Millisecond
	}
}

// restart restores a member from its own disk. Its clock starts again at 0.
func (m *replicaModel) restart(member *modelMember) {
	m.deliver(member)
	snapshot := member.machine.Snapshot(m.timeOf(member))
	m.now += time.Duration(m.pick(2)) * 300 * time.Millisecond
	member.clock = -m.now
	now := m.timeOf(member)
	member.machine.Restore(now, snapshot, true)
	member.expected = newReferenceMember(now, &m.reference)
	for _, hold := range m.reference.holds {
		member.expected.holdEnds[hold.Lock] = now + time.Duration(hold.HoldMs)*time.Millisecond
	}
}

// newReferenceMember returns a member that received all events now.
func newReferenceMember(now time.Duration, r *reference) referenceMember {
	m := referenceMember{holdEnds: map[message.LockName]time.Duration{}}
	for range r.puts {
		m.receivedAt = append(m.receivedAt, now)
	}
	return m
}

// checkSnapshots compares the states of all members that are up to date with the reference.
func (m *replicaModel) checkSnapshots() error {
	for i, member := range m.members {
		if len(member.pending) > 0 {
			continue
		}
		now := m.timeOf(member)
		snapshot, want := member.machine.Snapshot(now), m.reference.snapshot(&member.expected, now)
		if !reflect.DeepEqual(snapshot, want) {
			return errors.Errorf("state of member %d: %+v, want %+v", i, snapshot, want)
		}
	}
	return nil
}

func TestStore_FollowsTheReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newReplicaModel(noDefect, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") })
		for range modelSteps {
			if err := model.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// runModelSeed runs the model with random choices.
func runModelSeed(defect defect, seed uint64) error {
	model := newReplicaModel(defect, rand.New(rand.NewPCG(seed, 1)).IntN)
	for range modelSteps {
		if err := model.step(); err != nil {
			return err
		}
	}
	return nil
}

// The model must fail with each planted defect, and must not fail without a defect.
func TestModel_FindsPlantedDefects(t *testing.T) {
	for d := range defectCount {
		t.Run("defect: "+d.String(), func(t *testing.T) {
			t.Parallel()
			found := -1
			for seed := range modelSeeds {
				if runModelSeed(d, uint64(seed)) != nil {
					found = seed
					break
				}
			}
			assert.Equal(t, d != noDefect, found >= 0, "found with seed %d", found)
			t.Logf("found with seed %d", found)
		})
	}
}
