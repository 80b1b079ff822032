package placement

import (
	"fmt"
	"slices"
	"sort"
)

// adapterWant is an adapter that has fewer copies than it should.
type adapterWant struct {
	model   string
	adapter string
	copies  int
	worth   float64
}

// placeAdapters loads adapters beside their models: those that are asked for, and for busy models all that fit, as an
// adapter arrives in milliseconds but the first request for it would wait.
func (p *plan) placeAdapters() {
	added := map[*Backend]*Task{}
	for _, wanted := range p.adapterWants() {
		backend := p.adapterTarget(wanted, added)
		if backend == nil {
			continue
		}
		task := added[backend]
		if task == nil {
			task = &Task{Backend: backend.Backend, Service: p.service.Name, Room: Room{p.service.Runtime}, Reason: "adapters are wanted"}
			added[backend] = task
		}
		if drop, ok := p.adapterToDrop(backend, task, wanted); ok && drop != "" {
			task.Drop = append(task.Drop, drop)
		} else if !ok {
			continue
		}
		task.Adapters = append(task.Adapters, wanted.model+"/"+wanted.adapter)
	}
	for _, backend := range p.backends {
		if task := added[backend]; task != nil && len(task.Adapters) > 0 {
			backend.Busy = true
			p.tasks = append(p.tasks, *task)
		}
	}
}

func (p *plan) adapterWants() []adapterWant {
	var out []adapterWant
	for _, model := range p.service.Runtime.Models {
		if model.Adapters == 0 || p.copies[model.Name] == 0 {
			continue
		}
		held := p.adapterCopies(model.Name)
		busy := p.desired[model.Name] > 1
		for i := 1; i <= model.Adapters; i++ {
			adapter := fmt.Sprintf("a%d", i)
			demand := p.in.Demand.Of(p.service.Name, model.Name+"/"+adapter)
			asked := demand.Waiting > 0 || demand.Missed > 0.05 || !demand.LastAsked.IsZero() && p.in.Now.Sub(demand.LastAsked) < keepAsked
			if held[adapter] >= minAdapterCopies || !asked && !busy {
				continue
			}
			worth := max(demand.Fast, demand.Slow) + waitingWorth*(float64(demand.Waiting)+demand.Missed) + 0.01
			out = append(out, adapterWant{model: model.Name, adapter: adapter, copies: held[adapter], worth: worth})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].worth > out[j].worth })
	return out
}

func (p *plan) adapterCopies(model string) map[string]int {
	held := map[string]int{}
	for _, backend := range p.backends {
		for _, m := range backend.Models {
			if m.Name != model {
				continue
			}
			for _, adapter := range m.Adapters {
				held[adapter]++
			}
		}
	}
	return held
}

// adapterTarget is the holder of the model with the most free places for adapters.
func (p *plan) adapterTarget(wanted adapterWant, added map[*Backend]*Task) *Backend {
	var best *Backend
	fewest := 0
	for _, backend := range p.backends {
		if backend.Busy || !holds(backend, wanted.model) {
			continue
		}
		count := p.adapterCount(backend, added[backend])
		if best == nil || count < fewest {
			best, fewest = backend, count
		}
	}
	return best
}

func (p *plan) adapterCount(backend *Backend, task *Task) int {
	count := countAdapters(backend.Models)
	if task != nil {
		count += len(task.Adapters) - len(task.Drop)
	}
	return count
}

// adapterToDrop names the adapter that has to go for another; ok is false where none is worth less.
func (p *plan) adapterToDrop(backend *Backend, task *Task, wanted adapterWant) (drop string, ok bool) {
	if p.adapterCount(backend, task) < p.service.Runtime.AdapterSlots && p.adapterFits(backend, task, wanted) {
		return "", true
	}
	least := wanted.worth / gainOverVictim
	for _, model := range backend.Models {
		for _, adapter := range model.Adapters {
			name := model.Name + "/" + adapter
			if slices.Contains(task.Drop, name) {
				continue
			}
			demand := p.in.Demand.Of(p.service.Name, name)
			if worth := max(demand.Fast, demand.Slow) + 0.008; worth < least {
				least, drop = worth, name
			}
		}
	}
	return drop, drop != ""
}

// adapterFits reports whether the weights of one more adapter fit.
func (p *plan) adapterFits(backend *Backend, task *Task, wanted adapterWant) bool {
	used := p.used(backend)
	for _, name := range task.Adapters {
		used += p.adapterSize(name)
	}
	return used+p.adapterSize(wanted.model+"/"+wanted.adapter) <= p.service.Runtime.WeightsMB
}

func (p *plan) adapterSize(name string) float64 { return Room{p.service.Runtime}.SizeOf(name) }
