package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/message"
)

// A service whose plan failed is left out for failedPlanBackoff: the failure is not logged with every tick, and the
// lease holder goes on planning the other services.
func TestController_PlanFailureBacksOff(t *testing.T) {
	now := time.Now()
	c := newController(&replicaLoop{}, &bootstrap.Settings{})
	c.config = &configuration.Config{Services: map[string]*configuration.Service{"bad": {Name: "bad"}, "good": {Name: "good"}}}
	assert.Len(t, c.plannedServices(now), 2)
	c.onPlanFailure(&planner.ServiceFailure{Service: "bad", Cause: "test"}, now)
	assert.NotContains(t, c.plannedServices(now.Add(failedPlanBackoff-time.Millisecond)), "bad")
	assert.Contains(t, c.plannedServices(now), "good")
	assert.Contains(t, c.plannedServices(now.Add(failedPlanBackoff)), "bad")

	c.onLeaseAcquired(&membershipSnapshot{leaseToken: message.FencingToken(2)})
	assert.Contains(t, c.plannedServices(now), "bad", "failures of an earlier lease do not count")
}
