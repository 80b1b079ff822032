// Package executor carries out the planner's tasks at backends. It sends commands one after the other. Each command
// is sent only while the controller lease is held, and takes effect only if the backend is still in the state that it
// reported.
package executor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/ctxtime"
	"pumiceline/internal/message"
)

// ErrFenced ends a task when its owner has lost the lease, or the rest of the lease is too short to send a command.
var ErrFenced = errors.New("controller lease has ended")

// TokenFunc returns the fencing token with which a command may be sent now. ok is false if the lease is lost or ends
// too soon.
type TokenFunc func() (token message.FencingToken, ok bool)

// Executor carries out tasks. All fields but Sleep must be set. Run may be called from several goroutines, with at
// most one task at a time for each backend.
type Executor struct {
	Client     *BackendClient
	Owner      string // identity of the lease holder, for the backends' logs
	LeaseToken TokenFunc
	// OnModelsChanged is called with the models that a backend holds. Before a model is unloaded it is called without
	// that model, so that proxies stop sending requests for it.
	OnModelsChanged func(backend message.BackendID, models []message.LoadedModel)
	// OnLoadStarted is called when the load of the task's model has started, or may have.
	OnLoadStarted func(backend message.BackendID)
	// Sleep waits for a duration and returns nil, or until ctx ends and returns the error of ctx. Tests replace it;
	// nil: the real clock is used.
	Sleep func(ctx context.Context, duration time.Duration) error
}

// Run carries out a task and returns what the backend holds afterwards. After an error, part of the task may have
// been carried out, and it is not known what the backend holds. The error is ErrFenced if the lease ended, and that
// of ctx if ctx ended.
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
