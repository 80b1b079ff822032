package planner

import (
	"fmt"
	"testing"
	"time"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// largeInput is the input for a service with many models, three of them at each backend. Every fifth was requested.
func largeInput(now time.Time, models, backends int) *Input {
	const modelsPerBackend, requestedOneIn = 3, 5
	runtime := &configuration.Runtime{WeightCapacityMB: 220_000, AdapterSlots: 8}
	demand := NewDemandTable()
	var reports []message.ModelDemand
	name := func(i int) message.ModelName { return message.ModelName(fmt.Sprintf("model-%d", i%models)) }
	for i := range models {
		runtime.Models = append(runtime.Models, configuration.Model{
			Name: name(i), WeightsMB: 70_000, Adapters: i % 2, AdapterMB: 100, LoadTime: 4 * time.Second,
		})
		if i%requestedOneIn == 0 {
			reports = append(reports, message.ModelDemand{Service: "s", Model: name(i), Arrivals: 2, InFlight: 1})
		}
	}
	runtime.IndexModels()
	demand.Update(now, reports)
	in := &Input{
		Now: now, Demand: demand, Services: map[string]*configuration.Service{"s": {Name: "s", Runtime: runtime}},
		ModelLoadsAllowed: map[string]int{"s": 92},
	}
	for i := range backends {
		backend := message.Backend{ID: message.BackendID(fmt.Sprint(i)), Service: "s"}
		for j := range modelsPerBackend {
			backend.Models = append(backend.Models, message.LoadedModel{Name: name(modelsPerBackend*i + j)})
		}
		in.Backends = append(in.Backends, Backend{Backend: backend})
	}
	return in
}

// BenchmarkPlan plans for 2,096 models at 320 backends.
func BenchmarkPlan(b *testing.B) {
	now := time.Now()
	for b.Loop() {
		b.StopTimer()
		in := largeInput(now, 2096, 320)
		b.StartTimer()
		Plan(in)
	}
}
