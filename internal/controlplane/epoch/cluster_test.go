package epoch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// tickInterval is how often the members of a test cluster are ticked.
const tickInterval = 50 * time.Millisecond

// relayMember is the relay that sends the calls of the tests.
var relayMember = message.Member{Identity: "relay", Address: "relay"}

// cluster runs members that exchange messages without delay and whose disks sync at once. Messages are delivered one at
// a time, in the order in which they were queued.
type cluster struct {
	t       *testing.T
	now     time.Duration
	members map[message.MemberID]*Member
	disks   map[message.MemberID]*Stored
	blocked map[message.MemberID]bool        // members that are partitioned from all others
	drops   func(m *message.Message) bool    // reports whether to lose a message; nil: none
	answers map[uint64]*message.CallResponse // by call ID: the last response that has an answer
	queue   []message.Message
	lastID  uint64
}

func testMember(name string) message.Member {
	return message.Member{Identity: message.MemberID(name), Address: name}
}

func testMembers(names ...string) []message.Member {
	members := make([]message.Member, 0, len(names))
	for _, name := range names {
		members = append(members, testMember(name))
	}
	return members
}

// newCluster starts members that form the first group of acceptors.
func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, members: map[message.MemberID]*Member{}, disks: map[message.MemberID]*Stored{},
		blocked: map[message.MemberID]bool{}, answers: map[uint64]*message.CallResponse{},
	}
	group := &message.AcceptorGroup{Number: 1, View: 1, Acceptors: testMembers(names...)}
	for _, name := range names {
		c.start(name, group)
	}
	return c
}

// start starts a member with the content of its disk.
func (c *cluster) start(name string, initial *message.AcceptorGroup) {
	self := testMember(name)
	if c.disks[self.Identity] == nil {
		c.disks[self.Identity] = &Stored{}
	}
	c.members[self.Identity] = New(
		Options{Self: self, Tolerance: 1, InitialGroup: initial, History: time.Minute}, c.now, *c.disks[self.Identity])
}

// restart ends a member's process and starts it again.
func (c *cluster) restart(name string) { c.start(name, nil) }

// run advances the time in ticks of tickInterval.
func (c *cluster) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.now += tickInterval
		c.tickAll()
	}
}

func (c *cluster) tickAll() {
	names := make([]message.MemberID, 0, len(c.members))
	for name := range c.members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.carryOut(name, c.members[name].Tick(c.now))
		c.deliverAll()
	}
}

// carryOut stores the records of an output and queues its messages.
func (c *cluster) carryOut(name message.MemberID, out Output) {
	c.queue = append(c.queue, out.Immediate...)
	disk := c.disks[name]
	if out.Record != nil {
		disk.Record = *out.Record
	}
	if out.State != nil {
		disk.State, disk.Writes = *out.State, nil
	}
	disk.Writes = append(disk.Writes, out.Writes...)
	c.queue = append(c.queue, out.AfterSync...)
}

func (c *cluster) deliverAll() {
	for len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		isCut := m.From != m.To && (c.blocked[m.From] || c.blocked[m.To])
		if isCut || c.drops != nil && c.drops(&m) {
			continue
		}
		if m.To == relayMember.Identity {
			if m.CallResponse.Answer != nil {
				c.answers[m.CallResponse.ID] = m.CallResponse
			}
			continue
		}
		if receiver := c.members[m.To]; receiver != nil {
			c.carryOut(m.To, receiver.Step(c.now, &m))
		}
	}
}

// submit sends a call to a member and returns its ID.
func (c *cluster) submit(name string, call message.Call) uint64 {
	c.lastID++
	c.resubmit(name, c.lastID, call)
	return c.lastID
}

func (c *cluster) resubmit(name string, id uint64, call message.Call) {
	c.queue = append(c.queue, message.Message{
		From: relayMember.Identity, FromAddress: relayMember.Address, To: message.MemberID(name),
		CallRequest: &message.CallRequest{ID: id, Call: call},
	})
	c.deliverAll()
}

// call submits a call to the members, one after another, until one of them answers it.
func (c *cluster) call(call message.Call) message.Answer {
	c.t.Helper()
	c.lastID++
	id := c.lastID
	for range 200 {
		for name := range c.members {
			if !c.blocked[name] {
				c.resubmit(string(name), id, call)
			}
			if response := c.answers[id]; response != nil {
				return *response.Answer
			}
		}
		c.run(tickInterval)
	}
	c.t.Fatalf("no answer to %+v", call)
	return message.Answer{}
}

// issuer returns the issuer, blocked members excepted.
func (c *cluster) issuer() *Member {
	c.t.Helper()
	for name, m := range c.members {
		if m.Status().IsIssuer && !c.blocked[name] {
			return m
		}
	}
	require.FailNow(c.t, "no member is the issuer")
	return nil
}

func (c *cluster) issuerName() string { return string(c.issuer().options.Self.Identity) }

func putCall(key, value string, ifRevision int) message.Call {
	return message.Call{
		Kind: message.CallPut, Key: message.KeyName(key), Value: value, IfRevision: message.Revision(ifRevision),
	}
}

func getCall(key string) message.Call {
	return message.Call{Kind: message.CallGet, Key: message.KeyName(key)}
}

func acquireCall(lock, owner string, hold time.Duration) message.Call {
	return message.Call{
		Kind: message.CallAcquire, Lock: message.LockName(lock), Owner: message.OwnerName(owner), HoldMs: hold.Milliseconds(),
	}
}

func watchCall(group string, after int, wait time.Duration) message.Call {
	return message.Call{
		Kind: message.CallWatch, Group: message.KeyGroup(group), After: message.Revision(after), WaitMs: wait.Milliseconds(),
	}
}

func (c *cluster) String() string {
	text := ""
	for name, m := range c.members {
		text += fmt.Sprintf("%s: %+v\n", name, m.Status())
	}
	return text
}
