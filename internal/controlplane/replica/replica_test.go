package replica

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// accept takes every change: its version is its body's first byte.
func accept(state *message.ChainState, call *message.ConfigRequest) ValidationResult {
	for _, change := range state.History {
		if string(change.Digest) == string(call.Body) {
			return ValidationResult{Status: http.StatusOK}
		}
	}
	if call.IfMatch != fmt.Sprint(state.Version) {
		return ValidationResult{Status: http.StatusPreconditionFailed}
	}
	change := message.Change{Version: uint64(call.Body[0]), Base: state.Version, Digest: call.Body}
	return ValidationResult{Status: http.StatusOK, Apply: true, Change: change, Document: call.Body}
}

// group is a few replicas whose messages the test passes on.
type group struct {
	t       *testing.T
	members []*Replica
	now     time.Duration
	queue   []message.Message
	results []message.ConfigResponse
	lines   []string
	absent  []int                         // members that nothing reaches
	lost    func(m *message.Message) bool // messages that get lost
}

func newGroup(t *testing.T, count int) *group { return newTolerantGroup(t, count, 1) }

// newTolerantGroup makes a group that bears the loss of so many members.
func newTolerantGroup(t *testing.T, count, tolerance int) *group {
	g := &group{t: t}
	var seeds []string
	for i := range count {
		seeds = append(seeds, address(i))
	}
	for i := range count {
		options := Options{Self: message.Member{Address: address(i)}, Seeds: seeds, Tolerance: tolerance, LeaseDuration: 2 * time.Second, FirstStart: true}
		g.members = append(g.members, New(options, accept, 0, message.ControlState{}, message.ChainState{}))
	}
	return g
}

func address(i int) string { return fmt.Sprintf("m%d", i) }

func (g *group) take(out Output) {
	g.queue = append(g.queue, out.Immediate...)
	g.queue = append(g.queue, out.AfterSync...)
}

// tick lets time pass at all members but those left out, and delivers all messages.
func (g *group) tick(span time.Duration, without ...int) {
	for passed := time.Duration(0); passed < span; passed += 50 * time.Millisecond {
		g.now += 50 * time.Millisecond
		for i, member := range g.members {
			if !contains(without, i) {
				g.take(member.Tick(g.now))
			}
		}
		g.deliver(without...)
	}
}

func contains(list []int, value int) bool {
	for _, item := range list {
		if item == value {
			return true
		}
	}
	return false
}

func (g *group) deliver(without ...int) {
	for len(g.queue) > 0 {
		m := g.queue[0]
		g.queue = g.queue[1:]
		if g.lost != nil && g.lost(&m) {
			continue
		}
		if m.ConfigResponse != nil {
			g.results = append(g.results, *m.ConfigResponse)
			continue
		}
		for i, member := range g.members {
			if address(i) == m.ToAddress && !contains(without, i) && !contains(g.absent, i) {
				copied := m
				g.note(&copied)
				g.take(member.Step(g.now, &copied))
			}
		}
	}
}

// note keeps the lines of the chain's messages for approved transcripts.
func (g *group) note(m *message.Message) {
	from, to := strings.TrimPrefix(string(m.From), "seed-"), strings.TrimPrefix(string(m.To), "seed-")
	switch {
	case m.Replicate != nil && m.Replicate.Change != nil:
		g.lines = append(g.lines, fmt.Sprintf("%s -> %s: change %d", from, to, m.Replicate.Sequence))
	case m.Replicate != nil && m.Replicate.Snapshot != nil:
		g.lines = append(g.lines, fmt.Sprintf("%s -> %s: snapshot %d", from, to, m.Replicate.Sequence))
	case m.Committed != nil && from != to:
		g.lines = append(g.lines, fmt.Sprintf("%s -> %s: committed %d", from, to, m.Committed.Sequence))
	case m.ConfirmRequest != nil:
		g.lines = append(g.lines, fmt.Sprintf("%s -> %s: confirm", from, to))
	case m.AcceptResponse != nil:
		g.lines = append(g.lines, fmt.Sprintf("%s -> %s: accepted", from, to))
	}
}

func (g *group) call(at int, method, ifMatch, body string) {
	member := g.members[at]
	m := &message.Message{
		From: member.Identity(), FromAddress: address(at), To: member.Identity(), View: member.View().Number,
		ConfigRequest: &message.ConfigRequest{ID: uint64(len(g.results) + 1), Method: method, IfMatch: ifMatch, Body: []byte(body)},
	}
	g.take(member.Step(g.now, m))
	g.deliver()
}

func TestAChangeTravelsDownTheChain(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(time.Second)
	g.lines = nil
	g.call(1, http.MethodPut, "0", "\x05x")
	require.Len(t, g.results, 1)
	assert.Equal(t, http.StatusOK, g.results[0].Status)
	assert.Equal(t, []string{
		"m0 -> m1: change 1", "m1 -> m2: change 1", "m2 -> m1: committed 1", "m1 -> m0: committed 1",
	}, g.lines)
	for _, member := range g.members {
		assert.Equal(t, uint64(5), member.CommittedState().Version)
	}
}

func TestReadsAndRefusalsAskAMajority(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(time.Second)
	g.call(0, http.MethodPut, "0", "\x05x")
	g.lines = nil
	g.call(0, http.MethodGet, "", "")
	g.call(2, http.MethodPut, "3", "\x09y")
	assert.Equal(t, []string{
		"m2 -> m0: confirm", "m2 -> m1: confirm", "m2 -> m2: confirm",
		"m0 -> m0: confirm", "m0 -> m1: confirm", "m0 -> m2: confirm",
	}, g.lines)
	require.Len(t, g.results, 3)
	assert.Equal(t, "\x05x", string(g.results[1].Body))
	assert.Equal(t, http.StatusPreconditionFailed, g.results[2].Status)
}

func TestASilentMemberLeavesTheViewAndComesBack(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(time.Second)
	g.tick(2*time.Second, 1)
	require.Len(t, g.members[0].View().Members, 2, "in well under two seconds")
	g.call(0, http.MethodPut, "0", "\x05x")
	require.Len(t, g.results, 1, "the rest can still take changes")
	g.tick(2 * time.Second)
	require.Len(t, g.members[0].View().Members, 3)
	assert.Equal(t, uint64(5), g.members[1].CommittedState().Version, "it got what it missed")
	view := g.members[0].View()
	assert.Equal(t, message.MemberID("seed-m1"), view.Members[2].Identity, "a member that returns stands at the tail")
}

func TestAMinorityDecidesNothing(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(time.Second)
	g.tick(5*time.Second, 1, 2)
	assert.Equal(t, message.ViewNumber(1), g.members[0].View().Number)
	g.absent = []int{1, 2}
	g.call(0, http.MethodPut, "0", "\x05x")
	g.call(0, http.MethodPut, "7", "\x09y")
	g.call(0, http.MethodGet, "", "")
	assert.Empty(t, g.results, "neither an acknowledgement nor a refusal nor a read")
}

func TestAReplacedIdentityIsNotTheOldMember(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(time.Second)
	g.call(0, http.MethodPut, "0", "\x05x")
	options := g.members[1].options
	options.FirstStart = false
	options.Self.Identity = "fresh"
	g.members[1] = New(options, accept, 0, message.ControlState{}, message.ChainState{})
	assert.False(t, g.members[1].IsMember(), "an empty disk makes a new member")
	g.tick(3 * time.Second)
	assert.True(t, g.members[1].IsSynced())
	assert.Equal(t, uint64(5), g.members[1].CommittedState().Version)
	assert.Equal(t, -1, indexOfMember(g.members[0].View().Members, "seed-m1"), "the old identity is out")
}

// Found by the simulated cluster: a snapshot that was overtaken by a change put the tail back.
func TestWithinAViewTheStateOnlyGrows(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(time.Second)
	g.call(0, http.MethodPut, "0", "\x05x")
	old := g.members[1].CommittedState()
	g.call(0, http.MethodPut, "5", "\x06y")
	tail := g.members[2]
	late := &message.Message{
		From: "seed-m1", FromAddress: "m1", To: "seed-m2", View: tail.View().Number,
		Replicate: &message.Replicate{Sequence: old.Sequence, Digest: old.Digest, Snapshot: &old},
	}
	tail.Step(g.now, late)
	assert.Equal(t, uint64(6), tail.CommittedState().Version)
	assert.Equal(t, uint64(6), tail.chain.Version)
	restarted := New(tail.options, accept, 0, tail.control, tail.chain)
	restarted.Step(g.now, late)
	assert.Equal(t, uint64(6), restarted.chain.Version, "nor after a restart")
}

func holder(g *group) int {
	for i, member := range g.members {
		if _, ok := member.Lease(g.now); ok {
			return i
		}
	}
	return -1
}

func TestTheLeaseHasOneHolderAndRisingTokens(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(5 * time.Second)
	first := holder(g)
	require.GreaterOrEqual(t, first, 0)
	lease, _ := g.members[first].Lease(g.now)
	g.tick(8*time.Second, first)
	_, ok := g.members[first].Lease(g.now)
	assert.False(t, ok, "a holder that stood still finds its lease over by the steady clock")
	second := holder(g)
	require.GreaterOrEqual(t, second, 0)
	next, _ := g.members[second].Lease(g.now)
	assert.Greater(t, next.Token, lease.Token)
}

// Found by the simulated cluster: grants that were still on their way revived a lease after its release.
func TestLateGrantsDoNotReviveAReleasedLease(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(5 * time.Second)
	index := holder(g)
	member := g.members[index]
	round := member.lease.requestID
	member.SetDiskStalled(true)
	g.now += 50 * time.Millisecond
	member.Tick(g.now)
	for i := range g.members {
		member.Step(g.now, &message.Message{
			From: message.MemberID("seed-" + address(i)), To: member.Identity(), View: member.View().Number,
			LeaseGrant: &message.LeaseGrant{RequestID: round, Granted: true},
		})
	}
	_, ok := member.Lease(g.now)
	assert.False(t, ok)
}

// Found by the simulated cluster: a holder that restarted renewed under its old token.
func TestARestartedHolderNeedsAHigherToken(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(5 * time.Second)
	index := holder(g)
	lease, _ := g.members[index].Lease(g.now)
	grantor := g.members[(index+1)%3]
	request := &message.Message{
		From: g.members[index].Identity(), FromAddress: address(index), To: grantor.Identity(), View: grantor.View().Number,
		LeaseRequest: &message.LeaseRequest{Token: lease.Token, RequestID: 999},
	}
	out := grantor.Step(g.now, request)
	require.Len(t, out.AfterSync, 1)
	assert.False(t, out.AfterSync[0].LeaseGrant.Granted)
}

func TestALeavingMemberIsTakenOutAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.tick(2 * time.Second)
	g.members[2].SetLeaving()
	g.tick(600 * time.Millisecond)
	assert.Len(t, g.members[0].View().Members, 2)
	assert.False(t, g.members[2].IsMember())
}
