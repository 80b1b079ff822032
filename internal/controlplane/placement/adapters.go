package placement

import (
	"fmt"
	"slices"
	"sort"

	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/message"
)

// adapterWant is an adapter that has fewer copies than it should.
type adapterWant struct {
	model   message.ModelName
	adapter string
	asked   bool
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
		task.Adapters = append(task.Adapters, wanted.model.WithAdapter(wanted.adapter))
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
		for _, wanted := range p.rankAdapters(model) {
			if held[wanted.adapter] < p.adapterTargetCopies(model, wanted) {
				out = append(out, wanted)
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].worth > out[j].worth })
	return out
}

// adapterTargetCopies is how many copies of an adapter there should be: one of each of a busy model's, and more of
// those that are asked for while the places of its holders suffice for all.
func (p *plan) adapterTargetCopies(model configuration.Model, wanted adapterWant) int {
	if p.desired[model.Name] <= 1 && !wanted.asked {
		return 0
	}
	if wanted.worth < adapterBusyRate {
		return 1
	}
	holders := p.copies[model.Name]
	return max(1, min(holders, holders*p.service.Runtime.AdapterSlots/model.Adapters))
}

// adapterGain is what a swap of adapters must be worth, in requests a second.
const adapterGain = 0.05

// adapterBusyRate is the rate, in requests a second, from which an adapter gets more than one copy.
const adapterBusyRate = 0.3

// rankAdapters returns all adapters of a model, those that are worth most first.
func (p *plan) rankAdapters(model configuration.Model) []adapterWant {
	out := make([]adapterWant, 0, model.Adapters)
	for i := 1; i <= model.Adapters; i++ {
		adapter := fmt.Sprintf("a%d", i)
		demand := p.in.Demand.Of(p.service.Name, model.Name.WithAdapter(adapter))
		asked := demand.Waiting > 0 || demand.Missed > 0.05 || !demand.LastAsked.IsZero() && p.in.Now.Sub(demand.LastAsked) < keepAsked
		worth := max(demand.Fast, demand.Slow) + waitingWorth*(float64(demand.Waiting)+demand.Missed) + 0.01
		out = append(out, adapterWant{model: model.Name, adapter: adapter, asked: asked, worth: worth})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].worth > out[j].worth })
	return out
}

// adaptersFor are the adapters that a new copy of a model gets with it: those that have the fewest copies.
func (p *plan) adaptersFor(model configuration.Model, chosen *option) []message.ModelName {
	if p.desired[model.Name] <= 1 {
		return nil
	}
	places := p.service.Runtime.AdapterSlots
	for _, kept := range chosen.backend.Models {
		if !slices.Contains(chosen.victims, kept.Name) {
			places -= len(kept.Adapters)
		}
	}
	held := p.adapterCopies(model.Name)
	ranked := p.rankAdapters(model)
	sort.SliceStable(ranked, func(i, j int) bool { return held[ranked[i].adapter] < held[ranked[j].adapter] })
	var names []message.ModelName
	for _, wanted := range ranked[:max(0, min(places, len(ranked)))] {
		names = append(names, wanted.model.WithAdapter(wanted.adapter))
	}
	return names
}

func (p *plan) adapterCopies(model message.ModelName) map[string]int {
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
		if backend.Busy || !holds(backend, wanted.model) || backend.Holds(wanted.model.WithAdapter(wanted.adapter)) || planned(added[backend], wanted) {
			continue
		}
		count := p.adapterCount(backend, added[backend])
		if best == nil || count < fewest {
			best, fewest = backend, count
		}
	}
	return best
}

func planned(task *Task, wanted adapterWant) bool {
	return task != nil && slices.Contains(task.Adapters, wanted.model.WithAdapter(wanted.adapter))
}

func (p *plan) adapterCount(backend *Backend, task *Task) int {
	count := countAdapters(backend.Models)
	if task != nil {
		count += len(task.Adapters) - len(task.Drop)
	}
	return count
}

// adapterToDrop names the adapter that has to go for another; ok is false where none is worth less.
func (p *plan) adapterToDrop(backend *Backend, task *Task, wanted adapterWant) (drop message.ModelName, ok bool) {
	if p.adapterCount(backend, task) < p.service.Runtime.AdapterSlots && p.adapterFits(backend, task, wanted) {
		return "", true
	}
	if !wanted.asked {
		return "", false // nothing goes for what nobody asked for
	}
	least := wanted.worth/gainOverVictim - adapterGain
	for _, model := range backend.Models {
		for _, adapter := range model.Adapters {
			name := model.Name.WithAdapter(adapter)
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
	return used+p.adapterSize(wanted.model.WithAdapter(wanted.adapter)) <= p.service.Runtime.WeightsMB
}

func (p *plan) adapterSize(name message.ModelName) float64 {
	return Room{p.service.Runtime}.SizeOf(name)
}
