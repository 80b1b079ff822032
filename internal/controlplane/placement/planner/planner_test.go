package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

var start = time.Unix(1_000_000, 0)

// models are the models that a backend holds.
type models []message.ModelName

// fleet is a service of backends with capacity for two models each, and ten models m0 to m9.
type fleet struct {
	runtime  *configuration.Runtime
	backends []Backend
	demand   *DemandTable
	now      time.Time
}

func newFleet(holdings ...models) *fleet {
	f := &fleet{demand: NewDemandTable(), now: start, runtime: &configuration.Runtime{
		BatchSize: 8, WeightCapacityMB: 210, AdapterSlots: 3, LoadsPerSecond: 2,
	}}
	for i := range 10 {
		f.runtime.Models = append(f.runtime.Models, configuration.Model{
			Name: message.ModelName(fmt.Sprintf("m%d", i)), WeightsMB: 100, LoadTime: 5 * time.Second, AdapterMB: 1,
		})
	}
	for i, names := range holdings {
		backend := Backend{Cached: map[message.ModelName]bool{}}
		backend.ID, backend.Service = message.BackendID(fmt.Sprintf("b%d", i)), "s"
		for _, name := range names {
			backend.Models = append(backend.Models, message.LoadedModel{Name: name})
		}
		f.backends = append(f.backends, backend)
	}
	return f
}

// request reports requests at the given rates, in requests a second by model, for a while.
func (f *fleet) request(span time.Duration, rates map[message.ModelName]float64) {
	for elapsed := time.Duration(0); elapsed < span; elapsed += 100 * time.Millisecond {
		f.now = f.now.Add(100 * time.Millisecond)
		var reports []message.ModelDemand
		for model, rate := range rates {
			reports = append(reports, message.ModelDemand{
				Service: "s", Model: model, Arrivals: rate / 10, InFlight: int(rate / 2),
			})
		}
		f.demand.Update(f.now, reports)
	}
}

// reportWaiting reports requests that wait for a model.
func (f *fleet) reportWaiting(model message.ModelName, waiting int) {
	f.now = f.now.Add(100 * time.Millisecond)
	report := message.ModelDemand{Service: "s", Model: model, Arrivals: float64(waiting), Waiting: waiting}
	f.demand.Update(f.now, []message.ModelDemand{report})
}

func (f *fleet) plan(loadsAllowed int) []Task {
	tasks, failures := Plan(&Input{
		Now: f.now, Services: map[string]*configuration.Service{"s": {Name: "s", Runtime: f.runtime}},
		Backends: append([]Backend{}, f.backends...), Demand: f.demand, Loading: map[string]map[message.ModelName]int{},
		ModelLoadsAllowed: map[string]int{"s": loadsAllowed},
	})
	if len(failures) > 0 {
		panic(failures[0].Error())
	}
	return tasks
}

// loads returns the backend of each load, by model.
func loads(tasks []Task) map[string]string {
	out := map[string]string{}
	for _, task := range tasks {
		if task.Load != "" {
			out[string(task.Load)] = string(task.Backend.ID)
		}
	}
	return out
}

// Regression test: plans that were made before the first request did nothing but evict replicas.
func TestPlan_LoadsNothingBeforeAnyDemand(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m0", "m2"}, models{"m3", "m4"})
	assert.Empty(t, loads(f.plan(10)))
}

func TestPlan_MissingModelReplacesLeastValuable(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m8", "m2"}, models{"m3", "m4"})
	f.request(10*time.Second, map[message.ModelName]float64{"m0": 0.5, "m1": 0.3, "m2": 0.3, "m3": 0.3, "m8": 0.3})
	f.reportWaiting("m7", 1)
	tasks := f.plan(10)
	assert.Equal(t, map[string]string{"m7": "b2"}, loads(tasks))
	assert.Equal(t, []message.ModelName{"m4"}, tasks[0].Unload, "the only model without requests")
}

func TestPlan_BusyModelGetsMoreReplicas(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m2", "m3"}, models{"m4", "m5"}, models{"m6", "m8"})
	f.request(20*time.Second, map[message.ModelName]float64{"m0": 12})
	found := loads(f.plan(10))
	assert.Contains(t, found, "m0")
	assert.Contains(t, found, "m1", "the next model in the configured list gets one too, ahead of its demand")
}

func TestPlan_RespectsModelLoadsAllowed(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m2", "m3"}, models{"m4", "m5"})
	for _, model := range []message.ModelName{"m6", "m7", "m8"} {
		f.reportWaiting(model, 1)
	}
	assert.Len(t, loads(f.plan(1)), 1)
	assert.Empty(t, loads(f.plan(0)))
	f.backends[1].Cached["m8"] = true
	assert.Equal(t, map[string]string{"m8": "b1"}, loads(f.plan(0)), "a load from a backend's own disk does not count")
}

func TestPlan_PrefersCachedModel(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m2", "m3"}, models{"m4", "m5"})
	f.backends[2].Cached["m9"] = true
	f.reportWaiting("m9", 1)
	tasks := f.plan(10)
	assert.Equal(t, map[string]string{"m9": "b2"}, loads(tasks))
	assert.Less(t, tasks[0].LoadTime, 5*time.Second)
}

func TestPlan_BusyDrainingAndLeavingBackendsGetNoTasks(t *testing.T) {
	f := newFleet(models{"m0"}, models{"m1"}, models{"m2"}, models{"m3"})
	f.backends[0].Busy = true
	f.backends[1].Draining = true
	f.backends[2].TimeLeftMs = 900
	f.reportWaiting("m9", 1)
	assert.Equal(t, map[string]string{"m9": "b3"}, loads(f.plan(10)))
}

func TestPlan_ReplacesReplicaOfLeavingBackend(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m2"})
	f.request(5*time.Second, map[message.ModelName]float64{"m1": 0.4})
	f.backends[0].TimeLeftMs = 1500
	assert.Equal(t, "b1", loads(f.plan(10))["m1"])
}

func TestPlan_SpreadsAdaptersOfBusyModelOverReplicas(t *testing.T) {
	f := newFleet(models{"m0"}, models{"m0"})
	f.runtime.Models[0].Adapters = 5
	f.request(5*time.Second, map[message.ModelName]float64{"m0": 4})
	placed := map[message.ModelName]int{}
	for _, task := range f.plan(0) {
		assert.LessOrEqual(t, len(task.LoadAdapters), f.runtime.AdapterSlots)
		for _, adapter := range task.LoadAdapters {
			placed[adapter]++
		}
	}
	assert.Len(t, placed, 5)
}

func TestPlan_UnrequestedAdapterEvictsNone(t *testing.T) {
	f := newFleet(models{"m0"})
	f.runtime.Models[0].Adapters = 9
	f.backends[0].Models[0].Adapters = []string{"a1", "a2", "a3"}
	f.request(5*time.Second, map[message.ModelName]float64{"m0": 4})
	assert.Empty(t, f.plan(0))
	f.reportWaiting("m0/a7", 2)
	tasks := f.plan(0)
	assert.Len(t, tasks, 1)
	assert.Equal(t, []message.ModelName{"m0/a7"}, tasks[0].LoadAdapters)
	assert.Len(t, tasks[0].UnloadAdapters, 1)
}

func TestPlan_RespectsCapacity(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m2", "m3"}, models{"m4"})
	f.runtime.Models[0].Adapters = 3
	f.request(5*time.Second, map[message.ModelName]float64{"m0": 9, "m5": 2, "m6": 1, "m7": 0.5})
	for _, task := range f.plan(10) {
		held := map[message.ModelName]bool{}
		for _, model := range task.Backend.Models {
			held[model.Name] = true
		}
		for _, unloaded := range task.Unload {
			delete(held, unloaded)
		}
		if task.Load != "" {
			held[task.Load] = true
		}
		assert.LessOrEqual(t, float64(len(held))*100, f.runtime.WeightCapacityMB, "%+v", task)
	}
}

// Regression test: a model was loaded for waiting requests, and the requests were sent to its backend. The next plan
// evicted the model for a busy one, and the backend rejected the requests that it had not begun.
func TestPlan_KeepsModelWithRequestsInFlight(t *testing.T) {
	f := newFleet(models{"m0", "m1"}, models{"m4", "m7"})
	f.request(20*time.Second, map[message.ModelName]float64{"m0": 12, "m4": 0.9})
	f.reportWaiting("m7", 1)
	f.now = f.now.Add(100 * time.Millisecond)
	report := []message.ModelDemand{
		{Service: "s", Model: "m0", Arrivals: 1.2, InFlight: 6}, {Service: "s", Model: "m4", Arrivals: 0.1},
		{Service: "s", Model: "m7", InFlight: 1},
	}
	f.demand.Update(f.now, report)
	for _, task := range f.plan(10) {
		assert.NotContains(t, task.Unload, message.ModelName("m7"))
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.demand.Update(f.now, report[:2])
	tasks := f.plan(10)
	assert.Equal(t, "b1", loads(tasks)["m0"])
	assert.Equal(t, []message.ModelName{"m7"}, tasks[0].Unload, "an idle model is evicted first")
}

// Regression test: replicas of busy models evicted each other again and again, as rates over some seconds vary by a
// third. Each swap costs a load, and neither replica is available during it.
func TestPlan_SimilarValuesDoNotEvictEachOther(t *testing.T) {
	f := newFleet(models{"m0", "m4"}, models{"m0", "m7"})
	f.request(20*time.Second, map[message.ModelName]float64{"m0": 4, "m4": 6.6, "m7": 4})
	for _, task := range f.plan(10) {
		assert.Empty(t, task.Unload, "%s for %v", task.Load, task.Unload)
	}
}
