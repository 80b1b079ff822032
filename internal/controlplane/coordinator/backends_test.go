package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/discovery"
	"pumiceline/internal/controlplane/distribution"
	"pumiceline/internal/message"
)

// The models that a task observed at a backend take precedence until discovery has certainly caught up, and while a
// task runs there.
func TestController_ObservedModelsPrecedeDiscovery(t *testing.T) {
	const maxLag = 800 * time.Millisecond
	hub := distribution.NewHub(0)
	go hub.Run(t.Context())
	settings := &bootstrap.Settings{Platform: bootstrap.Platform{MaxLag: maxLag}}
	c := newController(&replicaLoop{hub: hub}, settings)
	c.leaseToken = 1
	seen := time.Now()
	listed := func(observedAt time.Time) *discovery.BackendList {
		return &discovery.BackendList{Backends: []message.Backend{{ID: "b", Service: "s", Address: "a:1"}}, ObservedAt: observedAt}
	}
	c.onBackendsRead(listed(seen), nil)
	c.onModelsObserved("b", []message.LoadedModel{{Name: "m"}}, seen)

	behind := listed(seen.Add(maxLag + leaseHolderPollInterval))
	c.onBackendsRead(behind, nil)
	require.Len(t, hub.Backends().Backends, 1)
	assert.True(t, hub.Backends().Backends[0].Holds("m"), "discovery may be behind")
	assert.True(t, c.placementBackends(seen)[0].Holds("m"))

	caughtUp := listed(behind.ObservedAt.Add(time.Millisecond))
	c.running["b"] = &runningTask{}
	c.onBackendsRead(caughtUp, nil)
	assert.True(t, hub.Backends().Backends[0].Holds("m"), "a task runs there")
	assert.True(t, c.placementBackends(seen)[0].Busy)

	delete(c.running, "b")
	c.onBackendsRead(listed(caughtUp.ObservedAt.Add(time.Millisecond)), nil)
	assert.False(t, hub.Backends().Backends[0].Holds("m"), "discovery has caught up")
}

// Models that are reported by a task of a lost lease are ignored.
func TestController_IgnoresObservationsWithoutLease(t *testing.T) {
	c := newController(&replicaLoop{}, &bootstrap.Settings{})
	c.onModelsObserved("b", []message.LoadedModel{{Name: "m"}}, time.Now())
	assert.Empty(t, c.observed)
}

// A model that requests wait for is published at once. Other changes are published with the next poll of discovery.
func TestController_PublishesAwaitedModelsAtOnce(t *testing.T) {
	hub := distribution.NewHub(0)
	go hub.Run(t.Context())
	c := newController(&replicaLoop{hub: hub}, &bootstrap.Settings{})
	c.leaseToken = 1
	now := time.Now()
	list := func(observedAt time.Time) *discovery.BackendList {
		return &discovery.BackendList{Backends: []message.Backend{{ID: "b", Service: "s", Address: "a:1"}}, ObservedAt: observedAt}
	}
	c.demand.Update(now, []message.ModelDemand{{Service: "s", Model: "awaited", Waiting: 1}, {Service: "s", Model: "other", Arrivals: 1}})
	c.onBackendsRead(list(now), nil)
	c.onModelsObserved("b", []message.LoadedModel{{Name: "other"}}, now)
	assert.False(t, hub.Backends().Backends[0].Holds("other"))
	both := []message.LoadedModel{{Name: "other"}, {Name: "awaited"}}
	c.onModelsObserved("b", both, now)
	assert.True(t, hub.Backends().Backends[0].Holds("awaited"))
	c.onModelsObserved("b", both[:1], now)
	assert.True(t, hub.Backends().Backends[0].Holds("awaited"), "an unload is published with the next poll")
	c.onBackendsRead(list(now.Add(time.Millisecond)), nil)
	assert.False(t, hub.Backends().Backends[0].Holds("awaited"))
}
