// Package executor carries out the planner's tasks at backends: it sends commands one after the other, each only under the
// controller lease and only for the state that the backend has reported.
package executor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
)

// ErrFenced ends a task whose owner does not hold the lease any more, or not for long enough to send a command.
var ErrFenced = errors.New("controller lease has ended")

// TokenFunc returns the fencing token with which a command may be sent now; ok is false when the lease ends too soon.
type TokenFunc func() (token message.FencingToken, ok bool)

// Executor carries out tasks. All fields but Sleep must be set. Run may be called from several goroutines, for one task a
// backend at a time.
type Executor struct {
	Client     *BackendClient
	Owner      string // identity of the lease holder, for the backends' logs
	LeaseToken TokenFunc
	// OnModelsChanged takes what a backend holds now. Before a model is unloaded it is called without that model, so that
	// proxies stop sending requests for it.
	OnModelsChanged func(backend message.BackendID, models []message.LoadedModel)
	// OnLoadStarted is called when the load of the task's model has started, or may have.
	OnLoadStarted func(backend message.BackendID)
	// Sleep waits for a duration, or until ctx ends, and then returns its error. Tests replace it; nil: the real clock's.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// Run carries a task out and returns what the backend holds then. After an error a part of the task may have been carried
// out, and what the backend holds is not known. The error is ErrFenced where the lease ended, and that of ctx where ctx
// ended.
func (e *Executor) Run(ctx context.Context, task *planner.Task) ([]message.LoadedModel, error) {
	x := &execution{Executor: e, task: task}
	if err := x.awaitIdle(ctx, anyCommandCount); err != nil {
		return nil, err
	}
	for _, model := range task.Unload {
		if err := x.unload(ctx, model); err != nil {
			return nil, err
		}
	}
	if task.Load != "" {
		if err := x.load(ctx, task.Load); err != nil {
			return nil, err
		}
	}
	for _, adapter := range task.UnloadAdapters {
		if err := x.unloadAdapter(ctx, adapter); err != nil {
			return nil, err
		}
	}
	for _, adapter := range task.LoadAdapters {
		if err := x.loadAdapter(ctx, adapter); err != nil {
			return nil, err
		}
	}
	return x.models, nil
}

func (e *Executor) sleep(ctx context.Context, duration time.Duration) error {
	if e.Sleep != nil {
		return e.Sleep(ctx, duration)
	}
	return ctxtime.Sleep(ctx, duration)
}
