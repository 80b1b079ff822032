package coordinator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/message"
)

// newMemberLoop returns the loop of member "b" in a view of "a", which holds the lease, "b", "c" and "d".
func newMemberLoop(t *testing.T) *replicaLoop {
	t.Helper()
	hub := distribution.NewHub(4 * time.Second)
	go hub.Run(t.Context())
	loop := &replicaLoop{hub: hub, self: message.Member{Address: "b", Identity: "id-b"}}
	members := []message.Member{{Address: "a"}, {Address: "b"}, {Address: "c"}, {Address: "d"}}
	loop.snapshot.Store(&membershipSnapshot{isMember: true, leaseHolder: "a", view: message.View{Members: members}})
	return loop
}

// newStandby returns the controller of a member without the lease, whose platform counts the reads of an empty list.
func newStandby(t *testing.T, loop *replicaLoop) (c *controller, reads chan struct{}) {
	t.Helper()
	reads = make(chan struct{}, 100)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads <- struct{}{}
		_, _ = w.Write([]byte(`{"backends":[],"nextPage":null}`))
	}))
	t.Cleanup(platform.Close)
	settings := &bootstrap.Settings{
		Bounds: bootstrap.Bounds{Drain: 4 * time.Second}, Tolerance: 2,
		Platform: bootstrap.Platform{Address: strings.TrimPrefix(platform.URL, "http://")},
	}
	return newController(loop, settings), reads
}

// A member reads the platform once its list is so old that neither the lease holder nor a member before it reads.
func TestController_StandbyReadsOldList(t *testing.T) {
	for _, c := range []struct {
		name    string
		holder  string
		age     time.Duration
		wantAny bool
	}{
		{"as old as lists are while the holder reads", "a", 1700 * time.Millisecond, false},
		{"the first standby waits for nobody", "a", 1800 * time.Millisecond, true},
		{"the second waits for the first", "c", 1900 * time.Millisecond, false},
		{"and no longer", "c", 2000 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			loop := newMemberLoop(t)
			snapshot := *loop.snapshot.Load()
			snapshot.leaseHolder = c.holder
			controller, reads := newStandby(t, loop)
			now := time.Now()
			list := &discovery.BackendList{ObservedAt: now.Add(-c.age)}
			controller.pollWithoutLease(t.Context(), &snapshot, list, now)
			assert.Equal(t, c.wantAny, controller.polling)
			if c.wantAny {
				<-reads
				(<-controller.events)(now)
				assert.Equal(t, uint64(1), loop.hub.Monitor().Status(now).Reads)
			}
		})
	}
}

func TestController_StandbyReadsFirstList(t *testing.T) {
	loop := newMemberLoop(t)
	controller, _ := newStandby(t, loop)
	controller.pollWithoutLease(t.Context(), loop.snapshot.Load(), nil, time.Now())
	assert.True(t, controller.polling, "there is no list yet")
	controller, _ = newStandby(t, loop)
	controller.pollWithoutLease(t.Context(), &membershipSnapshot{}, nil, time.Now())
	assert.False(t, controller.polling, "proxies do not poll a coordinator outside the view")
}

// A lease holder that cannot read the platform goes by what another member has read.
func TestController_AdoptsNewerListOfPeer(t *testing.T) {
	loop := newMemberLoop(t)
	controller, _ := newStandby(t, loop)
	controller.leaseToken = 7
	now := time.Now()
	own := &discovery.BackendList{ObservedAt: now.Add(-3 * time.Second), Pages: 7}
	controller.listed = own
	controller.adoptPeerList(&discovery.BackendList{ObservedAt: now, Revision: message.BackendsRevision{Token: 7, Number: 1}})
	assert.Same(t, own, controller.listed, "the hub has the holder's own list")
	controller.adoptPeerList(&discovery.BackendList{ObservedAt: now.Add(-4 * time.Second)})
	assert.Same(t, own, controller.listed, "the peer's list is older")
	controller.adoptPeerList(&discovery.BackendList{ObservedAt: now})
	assert.Equal(t, now, controller.listed.ObservedAt)
	assert.Equal(t, 7, controller.listed.Pages)
}

// A coordinator polls its peers, those that read the platform first in front, only while its own list is too old.
func TestPeerSubscriber_PollsWhileListIsOld(t *testing.T) {
	loop := newMemberLoop(t)
	s := &peerSubscriber{loop: loop, budget: discovery.NewBudget(4 * time.Second)}
	assert.Empty(t, s.Addresses(), "every member reads the first list itself")
	list := &discovery.BackendList{ObservedAt: time.Now().Add(-time.Second), Backends: []message.Backend{{ID: "old"}}}
	list.SetDigest()
	loop.hub.SetBackends(list)
	assert.Empty(t, s.Addresses(), "the list is fresh")

	loop = newMemberLoop(t)
	old := *list
	old.ObservedAt = time.Now().Add(-3 * time.Second)
	loop.hub.SetBackends(&old)
	s.loop = loop
	assert.Equal(t, []string{"c", "d"}, s.Addresses())

	request := s.PollRequest()
	assert.Equal(t, old.Digest, request.BackendDigest)
	require.NotNil(t, request.BackendsVersion)
	newer := &discovery.BackendList{Backends: []message.Backend{{ID: "new"}}}
	newer.SetDigest()
	response := &message.PollResponse{BackendsKnown: true, BackendsAgeMs: 2900, Backends: newer.UpdateSince(&old)}
	assert.Equal(t, distribution.OutcomeStale, s.Apply(response, time.Now()), "newer, but too old: the next member is polled")
	assert.Equal(t, newer.Digest, loop.hub.Backends().Digest)
	s.PollRequest()
	response = &message.PollResponse{BackendsKnown: true, BackendsAgeMs: 100}
	assert.Equal(t, distribution.OutcomeNewer, s.Apply(response, time.Now()))
	assert.Empty(t, s.Addresses())
	assert.Equal(t, distribution.OutcomeStale, s.Apply(&message.PollResponse{}, time.Now()), "the member has no list")
}
