package planner

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// computeSite chooses a site without any stored result: the same rule as servicePlan.siteAt.
func computeSite(p *servicePlan, backend *Backend, model configuration.Model) (s site, ok bool) {
	freeMB := p.service.Runtime.WeightCapacityMB - p.capacity.UsedMB(backend.Models)
	held := slices.Clone(backend.Models)
	sort.SliceStable(held, func(i, j int) bool {
		return p.computeEvictionLoss(held[i].Name) < p.computeEvictionLoss(held[j].Name)
	})
	for _, candidate := range held {
		if freeMB >= model.WeightsMB {
			break
		}
		s.evictions = append(s.evictions, candidate.Name)
		s.loss += p.computeEvictionLoss(candidate.Name)
		freeMB += p.capacity.loadedMB(candidate)
	}
	if freeMB < model.WeightsMB {
		return site{}, false
	}
	if !backend.Cached[model.Name] {
		s.loss += storeLoadLoss
	}
	s.loss += inFlightLoss * float64(p.in.InFlight[backend.ID])
	for _, kept := range backend.Models {
		if !slices.Contains(s.evictions, kept.Name) {
			s.loss += neighbourLoss * p.expectedRate(kept.Name)
		}
	}
	s.backend = backend
	return s, true
}

// Stored results give the same sites as a computation without them, also after replicas were placed.
func TestSiteAt_StoredResultsFollowPlacements(t *testing.T) {
	const modelCount = 30
	random := rand.New(rand.NewPCG(1, 2))
	in := randomInput(random, modelCount)
	p := newServicePlan(in, in.Services["s"])
	for range 200 {
		model := p.service.Runtime.Models[random.IntN(modelCount)]
		backend := p.backends[random.IntN(len(p.backends))]
		want, wantOK := computeSite(p, backend, model)
		got, gotOK := p.siteAt(backend, model)
		assert.Equal(t, wantOK, gotOK)
		assert.Equal(t, want.evictions, got.evictions)
		assert.Same(t, want.backend, got.backend)
		assert.InDelta(t, want.loss, got.loss, 1e-12) // some processors round a product and a sum together
		if gotOK && random.IntN(4) == 0 {
			p.placeAt(&got, model)
		}
	}
}

// randomInput draws models of different sizes, what 12 backends hold, and the demand.
func randomInput(random *rand.Rand, modelCount int) *Input {
	runtime := &configuration.Runtime{WeightCapacityMB: 300, AdapterSlots: 4}
	var reports []message.ModelDemand
	for i := range modelCount {
		name := message.ModelName(fmt.Sprintf("m%d", i))
		runtime.Models = append(runtime.Models, configuration.Model{Name: name, WeightsMB: float64(60 + random.IntN(200))})
		reports = append(reports, message.ModelDemand{Service: "s", Model: name, Arrivals: float64(random.IntN(9))})
	}
	runtime.IndexModels()
	in := &Input{
		Now: start, Demand: NewDemandTable(), Services: map[string]*configuration.Service{"s": {Name: "s", Runtime: runtime}},
		InFlight: map[message.BackendID]int{}, ModelLoadsAllowed: map[string]int{"s": modelCount},
	}
	in.Demand.Update(start, reports)
	for i := range 12 {
		backend := Backend{Cached: map[message.ModelName]bool{"m1": true, "m2": i%2 == 0}}
		backend.ID, backend.Service = message.BackendID(fmt.Sprint(i)), "s"
		for _, j := range random.Perm(modelCount)[:random.IntN(4)] {
			backend.Models = append(backend.Models, message.LoadedModel{Name: runtime.Models[j].Name})
		}
		in.InFlight[backend.ID] = random.IntN(10)
		in.Backends = append(in.Backends, backend)
	}
	return in
}

// The lease holder plans ten times a second, and its other work waits meanwhile: it reads the list of backends too. So
// a plan must not take time in proportion to the square of the number of models.
func TestPlan_TimeGrowsAtMostLinearlyWithModels(t *testing.T) {
	const models, factor, allowance = 500, 4, 2
	small := shortestPlanTime(t, models)
	large := shortestPlanTime(t, factor*models)
	assert.Less(t, large, factor*allowance*small, "%d models take %v, %d take %v", models, small, factor*models, large)
}

// shortestPlanTime is the shortest CPU time of several plans for a number of models. The backends stay the same.
func shortestPlanTime(t *testing.T, models int) time.Duration {
	t.Helper()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := time.Hour
	for range 5 {
		in := largeInput(start, models, 160)
		began := threadTime(t)
		Plan(in)
		shortest = min(shortest, threadTime(t)-began)
	}
	return shortest
}

// threadTime is the CPU time that the calling thread has taken. Unlike the clock it leaves out the time in which the
// thread waits for a core, which a long plan beside other processes does and a short one does not.
func threadTime(t *testing.T) time.Duration {
	t.Helper()
	var taken unix.Timespec
	require.NoError(t, unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &taken))
	return time.Duration(taken.Nano())
}
