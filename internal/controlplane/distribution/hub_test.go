package distribution

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution/inflight"
	"pumiceline/internal/message"
)

// newServingHub runs the hub of a coordinator that serves, until the test ends.
func newServingHub(t *testing.T) *Hub {
	t.Helper()
	hub := newUnavailableHub(t)
	hub.SetStatus(Status{Members: hub.status.Load().Members, ServingUntil: time.Now().Add(time.Hour)})
	return hub
}

// newUnavailableHub runs the hub of a coordinator that does not serve, until the test ends.
func newUnavailableHub(t *testing.T) *Hub {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	hub := NewHub(0)
	hub.SetStatus(Status{Members: []message.Member{{Address: "m"}}})
	go hub.Run(ctx)
	return hub
}

// poll makes a poll and waits for its response.
func poll(t *testing.T, hub *Hub, from string, request message.PollRequest) *message.PollResponse {
	t.Helper()
	response := make(chan *message.Message, 1)
	hub.HandlePoll(from, request, func(m *message.Message) { response <- m })
	return (<-response).PollResponse
}

func backendList(id message.BackendID, observed time.Time) *discovery.BackendList {
	list := &discovery.BackendList{ObservedAt: observed, Backends: []message.Backend{{ID: id, Service: "s", Address: "a"}}}
	list.SetDigest()
	return list
}

func TestHub_SendsOnlyNewerVersions(t *testing.T) {
	hub := newServingHub(t)
	hub.SetConfig(message.ConfigUpdate{Sequence: 3, Document: []byte("c")})
	hub.SetBackends(backendList("b", time.Now()))
	first := poll(t, hub, "p", message.PollRequest{})
	require.NotNil(t, first.Config)
	require.NotNil(t, first.Backends)
	second := poll(t, hub, "p", message.PollRequest{ConfigSequence: 3, BackendDigest: first.Backends.Digest})
	assert.Nil(t, second.Config)
	assert.Nil(t, second.Backends)
	assert.True(t, second.BackendsKnown)
}

func TestHub_AnswersPendingPollOnNewConfig(t *testing.T) {
	hub := newServingHub(t)
	response := make(chan *message.Message, 1)
	hub.HandlePoll("p", message.PollRequest{MaxWaitMs: 60_000}, func(m *message.Message) { response <- m })
	hub.SetConfig(message.ConfigUpdate{Sequence: 1})
	assert.Equal(t, uint64(1), (<-response).PollResponse.Config.Sequence)
}

func TestHub_RejectsPollsWhileNotServing(t *testing.T) {
	response := poll(t, newUnavailableHub(t), "p", message.PollRequest{MaxWaitMs: 60_000})
	assert.True(t, response.Unavailable)
	assert.Equal(t, "m", response.Members[0].Address)
}

// A process that was paused or partitioned may get no newer status. It stops serving when its clock passes
// ServingUntil.
func TestHub_StopsServingAtServingUntil(t *testing.T) {
	hub := newServingHub(t)
	hub.SetConfig(message.ConfigUpdate{Sequence: 1})
	assert.NotNil(t, poll(t, hub, "p", message.PollRequest{}).Config)
	hub.SetStatus(Status{ServingUntil: time.Now().Add(-time.Millisecond)})
	response := poll(t, hub, "p", message.PollRequest{})
	assert.True(t, response.Unavailable)
	assert.Nil(t, response.Config)
}

func TestHub_IgnoresOlderConfigAndBackends(t *testing.T) {
	hub := newServingHub(t)
	now := time.Now()
	hub.SetConfig(message.ConfigUpdate{Sequence: 5})
	hub.SetConfig(message.ConfigUpdate{Sequence: 4})
	hub.SetBackends(backendList("new", now))
	hub.SetBackends(backendList("old", now.Add(-time.Second)))
	response := poll(t, hub, "p", message.PollRequest{})
	assert.Equal(t, uint64(5), response.Config.Sequence)
	assert.Equal(t, message.BackendID("new"), response.Backends.Backends[0].ID)
}

func TestHub_CollectDemandSumsOverSubscribers(t *testing.T) {
	hub := newServingHub(t)
	for _, from := range []string{"p", "q"} {
		poll(t, hub, from, message.PollRequest{
			Proxies: 1, Demand: []message.ModelDemand{{Service: "s", Model: "m", Arrivals: 2, Waiting: 1}},
			Loads: []message.BackendLoad{{Backend: "b", InFlight: 3}},
		})
	}
	reported := hub.CollectDemand()
	assert.Equal(t, []message.ModelDemand{{Service: "s", Model: "m", Arrivals: 4, Waiting: 2}}, reported.Models)
	assert.Equal(t, []message.BackendLoad{{Backend: "b", InFlight: 6}}, reported.Loads)
	assert.Equal(t, 2, reported.Proxies)
	reported = hub.CollectDemand()
	waiting := []message.ModelDemand{{Service: "s", Model: "m", Waiting: 2}}
	assert.Equal(t, waiting, reported.Models, "arrivals are counted once")
}

func TestHub_SendsTotalLoadsAsDeltas(t *testing.T) {
	hub := newServingHub(t)
	report := func(inFlight ...int) {
		var loads []message.BackendLoad
		for i, count := range inFlight {
			if count > 0 {
				loads = append(loads, message.BackendLoad{Backend: message.BackendID(rune('a' + i)), InFlight: count})
			}
		}
		poll(t, hub, "other", message.PollRequest{Loads: loads})
	}
	var copied inflight.DeltaDecoder
	pollFrom := func(version uint64) (sent int, inFlight map[message.BackendID]int) {
		response := poll(t, hub, "me", message.PollRequest{LoadVersion: version})
		inFlight = map[message.BackendID]int{}
		for _, load := range copied.Apply(inflight.DeltaOf(response)) {
			inFlight[load.Backend] = load.InFlight
		}
		return len(response.TotalLoads), inFlight
	}
	report(10, 20, 30)
	sent, inFlight := pollFrom(0)
	assert.Equal(t, 3, sent)
	assert.Equal(t, map[message.BackendID]int{"a": 10, "b": 20, "c": 30}, inFlight)
	report(10, 21, 0)
	sent, inFlight = pollFrom(copied.Version())
	assert.Equal(t, 1, sent, "a change below the threshold is not sent, a load that became 0 is")
	assert.Equal(t, map[message.BackendID]int{"a": 10, "b": 20}, inFlight)
	report(10, 30, 5)
	sent, inFlight = pollFrom(7)
	assert.Equal(t, 3, sent, "a subscriber with another version gets all loads")
	assert.Equal(t, map[message.BackendID]int{"a": 10, "b": 30, "c": 5}, inFlight)
}

// After Run has ended, calls do not block and return zero values.
func TestHub_CallsReturnAfterEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	hub := NewHub(0)
	ended := make(chan struct{})
	go func() {
		hub.Run(ctx)
		close(ended)
	}()
	cancel()
	<-ended
	for range 2 * commandQueueLength { // more than the queue takes
		hub.SetBackends(&discovery.BackendList{})
	}
	assert.Nil(t, hub.Backends())
	assert.Zero(t, hub.Proxies())
	assert.Empty(t, hub.CollectDemand().Models)
}

// versionOf returns the version of a list that a subscriber got at the present time.
func versionOf(list *discovery.BackendList) *message.BackendsVersion {
	return &message.BackendsVersion{AgeMs: time.Since(list.ObservedAt).Milliseconds(), Revision: list.Revision}
}

// A subscriber that has read the platform itself, or polled another hub before, has a newer list than the hub. An answer
// at once with the older list would make it poll without a pause.
func TestHub_DoesNotAnswerWithOlderBackends(t *testing.T) {
	hub := newServingHub(t)
	now := time.Now()
	hub.SetBackends(backendList("old", now.Add(-2*time.Second)))
	own := backendList("own", now)
	const wait = 120 * time.Millisecond
	response := poll(t, hub, "p", message.PollRequest{
		BackendDigest: own.Digest, BackendsVersion: versionOf(own), MaxWaitMs: int(wait.Milliseconds()),
	})
	assert.GreaterOrEqual(t, response.WaitedMs, wait.Milliseconds(), "the hub has nothing newer")
	assert.Nil(t, response.Backends)

	response = poll(t, hub, "earlier build", message.PollRequest{BackendDigest: own.Digest, MaxWaitMs: 60_000})
	assert.NotNil(t, response.Backends, "a subscriber without a version gets any other list")
	response = poll(t, hub, "no list", message.PollRequest{MaxWaitMs: 60_000})
	assert.NotNil(t, response.Backends)
}

// Lists of one lease holder are ordered by their revisions, whatever the estimated times of their readings are.
func TestHub_AnswersByRevisionOfSameLeaseHolder(t *testing.T) {
	hub := newServingHub(t)
	now := time.Now()
	first, second := backendList("first", now), backendList("second", now.Add(-time.Second))
	first.Revision = message.BackendsRevision{Token: 7, Number: 1}
	second.Revision = message.BackendsRevision{Token: 7, Number: 2}
	hub.SetBackends(second)
	response := poll(t, hub, "p", message.PollRequest{
		BackendDigest: first.Digest, BackendsVersion: versionOf(first), MaxWaitMs: 60_000,
	})
	assert.NotNil(t, response.Backends)
}

// A pending poll is answered when the same backends were read again, so that the subscriber's list does not age.
func TestHub_AnswersPendingPollOnLaterReading(t *testing.T) {
	hub := NewHub(time.Second)
	hub.SetStatus(Status{ServingUntil: time.Now().Add(time.Hour)})
	go hub.Run(t.Context())
	now := time.Now()
	list := backendList("b", now.Add(-time.Second))
	hub.SetBackends(list)
	response := make(chan *message.Message, 1)
	hub.HandlePoll("p", message.PollRequest{
		BackendDigest: list.Digest, BackendsVersion: versionOf(list), MaxWaitMs: 60_000,
	}, func(m *message.Message) { response <- m })
	hub.SetBackends(backendList("b", now))
	answered := (<-response).PollResponse
	assert.Nil(t, answered.Backends, "the backends are the same")
	assert.Less(t, answered.BackendsAgeMs, int64(900))
	assert.Equal(t, int64(1000), hub.Monitor().Status(now).OldestMs, "the first list was 1 s old when it was replaced")
}

// What only the lease holder supplies has an end when it supplies nothing any more.
func TestState_TotalsOfLeaseHolderEnd(t *testing.T) {
	now := time.Now()
	s := &state{subscriptions: newSubscriptionTable(), totals: clusterTotals{receivedAt: now, Totals: Totals{
		Loads:             []message.BackendLoad{{Backend: "b", InFlight: 9}},
		PendingModelLoads: []message.PendingModelLoad{{Model: "m", ReadyInMs: 5000}},
	}}}
	own := []message.BackendLoad{{Backend: "b", InFlight: 2}}
	s.subscriptions.record("p", &message.PollRequest{Loads: own}, now.Add(totalsLifetime))
	assert.Equal(t, 9, s.totalLoads(now.Add(totalsLifetime))[0].InFlight)
	assert.Len(t, s.totals.remainingModelLoads(now.Add(totalsLifetime)), 1)
	later := now.Add(totalsLifetime + time.Millisecond)
	assert.Equal(t, own, s.totalLoads(later))
	assert.Empty(t, s.totals.remainingModelLoads(later))
}

// The sums follow each report, and a subscriber that reports no more is not counted.
func TestSubscriptionTable_SumsFollowReports(t *testing.T) {
	table, now := newSubscriptionTable(), time.Now()
	report := func(subscriber string, at time.Time, loads ...message.BackendLoad) {
		table.record(subscriber, &message.PollRequest{Loads: loads, Proxies: 1}, at)
	}
	report("p", now, message.BackendLoad{Backend: "a", InFlight: 1, QueuedPrefillMs: 20}, message.BackendLoad{Backend: "b", InFlight: 4})
	report("q", now, message.BackendLoad{Backend: "a", InFlight: 2})
	want := []message.BackendLoad{{Backend: "a", InFlight: 3, QueuedPrefillMs: 20}, {Backend: "b", InFlight: 4}}
	assert.ElementsMatch(t, want, table.sumLoads(now))
	assert.ElementsMatch(t, want, table.sumLoads(now), "nothing was reported in between")
	report("p", now.Add(time.Second), message.BackendLoad{Backend: "b", InFlight: 1})
	want = []message.BackendLoad{{Backend: "a", InFlight: 2}, {Backend: "b", InFlight: 1}}
	assert.ElementsMatch(t, want, table.sumLoads(now.Add(time.Second)))
	later := now.Add(reportLifetime + time.Millisecond)
	assert.Equal(t, []message.BackendLoad{{Backend: "b", InFlight: 1}}, table.sumLoads(later), "q has not reported for too long")
	assert.Equal(t, 1, table.countProxies(now.Add(subscriptionLifetime+time.Millisecond)))
}

// A list is as good as it is fresh: a coordinator that must not serve its configuration still passes its list on.
func TestHub_PassesListOnWhileNotServing(t *testing.T) {
	hub := newUnavailableHub(t)
	hub.SetConfig(message.ConfigUpdate{Sequence: 3, Document: []byte("c")})
	hub.SetBackends(backendList("b", time.Now().Add(-time.Second)))
	response := poll(t, hub, "p", message.PollRequest{MaxWaitMs: 10})
	assert.True(t, response.Unavailable)
	assert.Nil(t, response.Config)
	assert.Zero(t, response.Proxies)
	require.NotNil(t, response.Backends)
	assert.InDelta(t, 1000, response.BackendsAgeMs, 500)
}
