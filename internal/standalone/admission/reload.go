package admission

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"pumiceline/internal/splitmix"
)

// returningValueFactor is the weight of the returning lane, relative to the value of the most valuable class. The
// weight is high because capacity is reserved for the requests of this lane.
const returningValueFactor = 8.0

// The lanes of a tenant are numbered in this order: one for each class, one for requests that return at their
// Retry-After, then one for each class beyond the tenant's quota.

func laneCount(classes int) int                      { return 2*classes + 1 }
func returningLane(classes int) int32                { return int32(classes) }
func overQuotaLane(classes int, class int32) int32   { return class + int32(classes) + 1 }
func isOverQuotaLane(classes int, lane int32) bool   { return lane > int32(classes) }
func classOfOverQuota(classes int, lane int32) int32 { return lane - int32(classes) - 1 }

// useSettings replaces the settings and resets tenants and queues to empty ones.
func (c *Controller) useSettings(settings Settings) {
	c.settings = settings
	c.tenants = make([]tenant, len(settings.Tenants))
	c.tenantOrder = newFairQueue(len(settings.Tenants))
	for i := range c.tenants {
		c.tenantOrder.flows[i].weight = positiveWeight(settings.Tenants[i].Share)
		c.tenants[i] = tenant{
			lanes:           newLanes(&settings),
			retryTokens:     settings.RetryBurst,
			quotaTokens:     math.Max(1, settings.Tenants[i].Rate),
			quotaRefilledAt: c.now,
			reservedWork:    make([]float64, 1+int(settings.MaxRetryAfter/reservationSlot)),
		}
	}
	sum := 0.0
	for _, class := range settings.Classes {
		sum += float64(class.Work)
	}
	c.meanWork = sum / float64(len(settings.Classes))
	c.limit.setBounds(settings.MinLimit, settings.MaxLimit)
	c.salt = splitmix.Mix(settings.Seed + 1)
}

// newLanes returns the empty lanes of a tenant.
func newLanes(settings *Settings) fairQueue {
	classes := len(settings.Classes)
	lanes := newFairQueue(laneCount(classes))
	maxValue := 0.0
	for i, class := range settings.Classes {
		lanes.flows[i].weight = positiveWeight(class.Value)
		lanes.flows[overQuotaLane(classes, int32(i))].weight = positiveWeight(class.Value * settings.OverQuotaFactor)
		maxValue = math.Max(maxValue, class.Value)
	}
	lanes.flows[returningLane(classes)].weight = positiveWeight(maxValue * returningValueFactor)
	return lanes
}

// ApplySettings replaces the settings, or changes nothing if next is invalid. Requests in flight stay in flight. Queued
// requests are queued again in the order of their arrival, or rejected if their tenant is gone or the queue is full.
func (c *Controller) ApplySettings(now Time, next Settings, out []Decision) ([]Decision, error) {
	if err := next.Check(); err != nil {
		return out, fmt.Errorf("admission settings: %w", err)
	}
	out = c.advanceTo(now, out)
	mapping := newIndexMapping(&c.settings, &next)
	queued, oldTenants := c.queuedByArrival(), c.tenants
	c.admitByHeap, c.queued = c.admitByHeap[:0], 0
	c.useSettings(next)
	for old, index := range mapping.tenants {
		if index != noIndex {
			c.tenants[index].stats = oldTenants[old].stats
			c.tenants[index].stats.Queued = 0
		}
	}
	c.moveEntries(mapping)
	for _, index := range queued {
		e := &c.entries[index]
		isTenantGone := e.tenant == noIndex
		if isTenantGone {
			e.tenant = 0 // the rejection is counted in the statistics of the first tenant
		}
		if isTenantGone || c.queued >= c.settings.MaxQueued {
			out = c.reject(index, QueueFull, out)
			continue
		}
		c.enqueue(index)
	}
	return c.admitQueued(out), nil
}

// queuedByArrival returns the queued entries in the order of their arrival.
func (c *Controller) queuedByArrival() []int32 {
	var queued []int32
	for i := range c.entries {
		if c.entries[i].state == stateQueued {
			queued = append(queued, int32(i))
		}
	}
	slices.SortFunc(queued, func(a, b int32) int {
		return cmp.Or(cmp.Compare(c.entries[a].arrivedAt, c.entries[b].arrivedAt), cmp.Compare(a, b))
	})
	return queued
}

// moveEntries maps the tenants and lanes of the entries to the indexes of the new settings. A queued entry whose tenant
// is gone gets the tenant noIndex.
func (c *Controller) moveEntries(mapping indexMapping) {
	for i := range c.entries {
		e := &c.entries[i]
		if e.state == stateFree {
			continue
		}
		e.tenant, e.lane = mapping.tenants[e.tenant], mapping.lane(e.lane)
		if e.state == stateInFlight && e.tenant == noIndex {
			e.tenant = 0 // its end is counted in the statistics of the first tenant
		}
	}
}

// indexMapping maps the tenants and classes of old settings to their indexes in new settings, or to noIndex if they are
// gone.
type indexMapping struct {
	tenants    []int32
	classes    []int32
	newClasses int
}

// newIndexMapping maps tenants and classes by their names.
func newIndexMapping(old, next *Settings) indexMapping {
	tenantIndex, classIndex := map[string]int32{}, map[string]int32{}
	for i, t := range next.Tenants {
		tenantIndex[t.Name] = int32(i)
	}
	for i, class := range next.Classes {
		classIndex[class.Name] = int32(i)
	}
	m := indexMapping{newClasses: len(next.Classes)}
	for _, t := range old.Tenants {
		m.tenants = append(m.tenants, indexOr(tenantIndex, t.Name))
	}
	for _, class := range old.Classes {
		m.classes = append(m.classes, indexOr(classIndex, class.Name))
	}
	return m
}

// indexOr returns the index of a name, or noIndex if the name is not in indexes.
func indexOr(indexes map[string]int32, name string) int32 {
	if index, ok := indexes[name]; ok {
		return index
	}
	return noIndex
}

// lane returns the new lane for an old lane. Requests of a class that is gone move to the returning lane, so that they
// are served first.
func (m *indexMapping) lane(old int32) int32 {
	oldClasses := len(m.classes)
	isOverQuota := isOverQuotaLane(oldClasses, old)
	class := old
	if isOverQuota {
		class = classOfOverQuota(oldClasses, old)
	}
	if int(class) >= oldClasses || m.classes[class] == noIndex {
		return returningLane(m.newClasses)
	}
	if isOverQuota {
		return overQuotaLane(m.newClasses, m.classes[class])
	}
	return m.classes[class]
}
