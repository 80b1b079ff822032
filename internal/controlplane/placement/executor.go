package placement

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/message"
)

// Times of carrying out a task.
const (
	pollUnload     = 70 * time.Millisecond
	pollLoad       = 150 * time.Millisecond
	pollRest       = 200 * time.Millisecond
	adapterPause   = 50 * time.Millisecond
	conflictPause  = 300 * time.Millisecond
	adapterRetry   = 40 * time.Millisecond
	announceTime   = 80 * time.Millisecond // from telling the proxies that a model goes until it is unloaded
	unloadPatience = 20 * time.Second
	loadPatience   = 15 * time.Second
	firstPoll      = 0.9 // of the load's time
	maxConflicts   = 8
)

// ErrFenced ends a task whose owner no longer holds the lease.
var ErrFenced = errors.New("the lease is over")

// Fence returns the token with which an order may be given now; ok is false when the lease ends too soon.
type Fence func() (token message.FencingToken, ok bool)

// Executor carries out tasks at backends.
type Executor struct {
	Caller *Caller
	Owner  string
	Fence  Fence
	// Publish tells what a backend holds now, or what proxies may still use of it.
	Publish func(backend message.BackendID, models []message.LoadedModel)
	// Started tells that the task's load has begun, or may have.
	Started func(backend message.BackendID)
	// Pause waits; tests put their own in its place. Nil: the steady clock's.
	Pause func(ctx context.Context, span time.Duration) error
}

// run is one task under way.
type run struct {
	*Executor
	task   *Task
	models []message.LoadedModel // as known now
	orders uint64                // count of orders as the backend should have it
}

// Run carries a task out. It returns what the backend holds as far as that is known; known is false where it is not.
func (e *Executor) Run(ctx context.Context, task *Task) (models []message.LoadedModel, known bool, err error) {
	r := &run{Executor: e, task: task}
	if err := r.sync(ctx, 0); err != nil {
		return nil, false, err
	}
	for _, model := range task.Unload {
		if err := r.unload(ctx, model); err != nil {
			return r.models, false, err
		}
	}
	if task.Load != "" {
		if err := r.load(ctx, task.Load); err != nil {
			return r.models, false, err
		}
	}
	if err := r.adapters(ctx); err != nil {
		return r.models, false, err
	}
	return r.models, true, nil
}

// sync waits for a report that knows of all orders given so far and has none under way.
func (r *run) sync(ctx context.Context, least uint64) error {
	deadline := time.Now().Add(unloadPatience)
	for time.Now().Before(deadline) {
		report, err := r.Caller.Report(ctx, r.task.Backend)
		if err != nil {
			return err
		}
		if !report.InUse && report.Orders >= least {
			r.models, r.orders = report.Models, report.Orders
			return nil
		}
		if err := r.pause(ctx, pollRest); err != nil {
			return err
		}
	}
	return errors.New("the backend does not come to rest")
}

// give gives an order and counts it.
func (r *run) give(ctx context.Context, operation string, name message.ModelName) (Answer, error) {
	token, ok := r.Fence()
	if !ok {
		return Refused, ErrFenced
	}
	if operation == Load && !r.task.Room.Fits(r.models, name) {
		return Refused, errors.Errorf("no room for %s", name)
	}
	revision := r.orders
	answer := r.Caller.Order(ctx, r.task.Backend, Order{
		Operation: operation, Model: message.ModelOf(name), Adapter: message.AdapterOf(name),
		IfRevision: &revision, Owner: r.Owner, Fence: token,
	})
	if answer == Taken {
		r.orders++
	}
	if operation == Load && name == r.task.Load && (answer == Taken || answer == Unknown) {
		r.Started(r.task.Backend.ID)
	}
	logrus.WithFields(logrus.Fields{"backend": r.task.Backend.ID, "operation": operation, "name": name, "answer": answer}).Debug("order")
	return answer, nil
}

// insist gives an order until it is taken; conflicts and silence are followed by a look at the backend.
func (r *run) insist(ctx context.Context, operation string, name message.ModelName) (Answer, error) {
	for range maxConflicts {
		answer, err := r.give(ctx, operation, name)
		if err != nil {
			return answer, err
		}
		switch answer {
		case Taken, Held:
			return answer, nil
		case Refused:
			return answer, errors.Errorf("%s of %s is refused", operation, name)
		}
		if err := r.pause(ctx, conflictPause); err != nil {
			return answer, err
		}
		if err := r.sync(ctx, 0); err != nil {
			return answer, err
		}
	}
	return Conflict, errors.Errorf("%s of %s meets one conflict after another", operation, name)
}

func (r *run) unload(ctx context.Context, model message.ModelName) error {
	if !r.holds(model) {
		return nil
	}
	r.models = slices.DeleteFunc(slices.Clone(r.models), func(m message.LoadedModel) bool { return m.Name == model })
	r.Publish(r.task.Backend.ID, r.models)
	if err := r.pause(ctx, announceTime); err != nil {
		return err
	}
	if _, err := r.insist(ctx, Unload, model); err != nil {
		return err
	}
	return r.awaitUnload(ctx, model)
}

// awaitUnload polls until the model is gone; its runs have to end first.
func (r *run) awaitUnload(ctx context.Context, model message.ModelName) error {
	deadline := time.Now().Add(unloadPatience)
	for time.Now().Before(deadline) {
		if err := r.pause(ctx, pollUnload); err != nil {
			return err
		}
		report, err := r.Caller.Report(ctx, r.task.Backend)
		if err != nil {
			return err
		}
		if report.InUse || report.Orders < r.orders {
			continue
		}
		r.models, r.orders = report.Models, report.Orders
		if r.holds(model) {
			return errors.Errorf("%s was not unloaded", model)
		}
		return nil
	}
	return errors.Errorf("%s takes too long to be unloaded", model)
}

func (r *run) holds(name message.ModelName) bool {
	held := message.Backend{Models: r.models}
	return held.Holds(name)
}

func (r *run) load(ctx context.Context, model message.ModelName) error {
	if r.holds(model) {
		return nil
	}
	answer, err := r.insist(ctx, Load, model)
	if err != nil {
		return err
	}
	if answer == Taken {
		if err := r.pause(ctx, time.Duration(firstPoll*float64(r.task.LoadTime))); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(loadPatience + r.task.LoadTime)
	for time.Now().Before(deadline) {
		report, err := r.Caller.Report(ctx, r.task.Backend)
		if err != nil {
			return err
		}
		if report.Orders >= r.orders && !report.InUse {
			r.models, r.orders = report.Models, report.Orders
			r.Publish(r.task.Backend.ID, r.models)
			if !r.holds(model) {
				return errors.Errorf("%s was not loaded", model)
			}
			return nil
		}
		if err := r.pause(ctx, pollLoad); err != nil {
			return err
		}
	}
	return errors.Errorf("%s takes too long to load", model)
}

// adapters gives the orders on adapters one after the other; what was taken is there within some milliseconds.
func (r *run) adapters(ctx context.Context) error {
	if len(r.task.Drop)+len(r.task.Adapters) == 0 {
		return nil
	}
	for _, name := range r.task.Drop {
		if !r.holds(name) {
			continue
		}
		if _, err := r.insist(ctx, Unload, name); err != nil {
			return err
		}
		if err := r.pause(ctx, adapterPause); err != nil {
			return err
		}
		if err := r.sync(ctx, r.orders); err != nil {
			return err
		}
	}
	for _, name := range r.task.Adapters {
		if !r.holds(message.ModelOf(name)) || r.holds(name) {
			continue
		}
		if err := r.loadAdapter(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) loadAdapter(ctx context.Context, name message.ModelName) error {
	for range maxConflicts {
		answer, err := r.give(ctx, Load, name)
		if err != nil {
			return err
		}
		switch answer {
		case Taken, Held:
			r.models = withAdapter(r.models, name)
			if err := r.pause(ctx, adapterPause); err != nil {
				return err
			}
			r.Publish(r.task.Backend.ID, r.models)
			return nil
		case Refused:
			return errors.Errorf("%s is refused", name)
		case Unknown:
			if err := r.sync(ctx, 0); err != nil {
				return err
			}
			if r.holds(name) {
				return nil
			}
		}
		if err := r.pause(ctx, adapterRetry); err != nil {
			return err
		}
	}
	return r.sync(ctx, 0)
}

// withAdapter returns models with one adapter more; the lists given are not changed.
func withAdapter(models []message.LoadedModel, name message.ModelName) []message.LoadedModel {
	out := slices.Clone(models)
	for i := range out {
		if out[i].Name == message.ModelOf(name) {
			out[i].Adapters = append(slices.Clone(out[i].Adapters), message.AdapterOf(name))
		}
	}
	return out
}

func (r *run) pause(ctx context.Context, span time.Duration) error {
	if r.Pause != nil {
		return r.Pause(ctx, span)
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
