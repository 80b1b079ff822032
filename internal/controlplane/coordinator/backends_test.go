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

// What a task saw at a backend counts until discovery has certainly caught up, and as long as a task runs there.
func TestController_ObservedModelsPrecedeDiscovery(t *testing.T) {
	const maxLag = 800 * time.Millisecond
	hub := distribution.NewHub()
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
	assert.True(t, hub.Backends().Backends[0].Holds("m"), "proxies need not wait for the next poll of discovery")
	c.onModelsObserved("b", nil, seen)
	assert.False(t, hub.Backends().Backends[0].Holds("m"), "proxies learn of an unload before its command")
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

// What a task of a lost lease reports is not used.
func TestController_IgnoresObservationsWithoutLease(t *testing.T) {
	c := newController(&replicaLoop{}, &bootstrap.Settings{})
	c.onModelsObserved("b", []message.LoadedModel{{Name: "m"}}, time.Now())
	assert.Empty(t, c.observed)
}
