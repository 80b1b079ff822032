package executor

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pumiceline/internal/controlplane/placement/planner"
	"pumiceline/internal/logkey"
	"pumiceline/internal/message"
)

const (
	// removalNoticeTime is the time between OnModelsChanged without a model and that model's unload command. Proxies
	// that receive the change within it send no more requests for the model. The backend rejects the requests of
	// other proxies.
	removalNoticeTime = 80 * time.Millisecond
	// conflictBackoff is the pause after a conflict, when another command is in progress or the last report was
	// outdated, and after a command without an answer.
	conflictBackoff = 300 * time.Millisecond
	// maxAttempts bounds the attempts to send one command.
	maxAttempts = 8
	// adapterCommandTime is the pause after a command for an adapter, which a backend carries out within some milliseconds.
	adapterCommandTime = 50 * time.Millisecond
	// adapterRetryDelay is the pause before an adapter's command is sent again.
	adapterRetryDelay = 40 * time.Millisecond
)

// Intervals and time-outs of polling a backend's report until it is idle: before the first command, and after an unload
// and a load.
const (
	idlePollInterval   = 200 * time.Millisecond
	idleTimeout        = 20 * time.Second
	unloadPollInterval = 70 * time.Millisecond
	unloadTimeout      = 20 * time.Second // the backend finishes running requests first
	loadPollInterval   = 150 * time.Millisecond
	loadTimeout        = 15 * time.Second // in addition to the expected load time
	firstLoadPollShare = 0.9              // share of the expected load time that passes before the first poll
)

// errNotIdle is returned if a backend does not report in time that it is idle and has carried out the commands that it
// accepted.
var errNotIdle = errors.New("backend did not become idle in time")

// execution is one run of an executor.
type execution struct {
	*Executor
	task         *planner.Task
	models       []message.LoadedModel // models at the backend, by its last report and the commands sent since
	commandCount uint64                // commands accepted, by report and answers since; see Command.IfRevision
}

func (x *execution) backendID() message.BackendID { return x.task.Backend.ID }

func (x *execution) holds(name message.ModelName) bool {
	backend := message.Backend{Models: x.models}
	return backend.Holds(name)
}

// anyCommandCount, as minCommandCount, accepts every report.
const anyCommandCount = 0

// pollOptions are the options of pollIdle.
type pollOptions struct {
	minCommandCount uint64 // reports lag: one with a lower count is from before the last command, and is ignored
	interval        time.Duration
	timeout         time.Duration
}

// awaitIdle polls until no command is in progress and the report counts at least minCommandCount commands.
func (x *execution) awaitIdle(ctx context.Context, minCommandCount uint64) error {
	return x.pollIdle(ctx, pollOptions{minCommandCount: minCommandCount, interval: idlePollInterval, timeout: idleTimeout})
}

// pollIdle polls until the backend is idle, and stores the models and the command count of its report. The error is
// errNotIdle after the time-out.
func (x *execution) pollIdle(ctx context.Context, p pollOptions) error {
	deadline := time.Now().Add(p.timeout)
	for time.Now().Before(deadline) {
		report, err := x.Client.FetchReport(ctx, x.task.Backend)
		if err != nil {
			return err
		}
		if !report.IsExecuting && report.CommandCount >= p.minCommandCount {
			x.models, x.commandCount = report.Models, report.CommandCount
			return nil
		}
		if err := x.sleep(ctx, p.interval); err != nil {
			return err
		}
	}
	return errNotIdle
}

// send sends a command once, on the condition that the backend's command count is still x.commandCount. Without a
// lease it sends nothing and returns ErrFenced. A load beyond the capacity is not sent either.
func (x *execution) send(ctx context.Context, operation Operation, name message.ModelName) (Answer, error) {
	token, ok := x.LeaseToken()
	if !ok {
		return Rejected, ErrFenced
	}
	if operation == LoadModel && !x.task.Capacity.Fits(x.models, name) {
		return Rejected, errors.Errorf("no capacity for %s", name)
	}
	revision := x.commandCount
	answer := x.Client.SendCommand(ctx, x.task.Backend, Command{
		Operation: operation, Model: name.Base(), Adapter: name.Adapter(),
		IfRevision: &revision, Owner: x.Owner, FencingToken: token,
	})
	if answer == Accepted {
		x.commandCount++
	}
	if operation == LoadModel && name == x.task.Load && (answer == Accepted || answer == Unknown) {
		x.OnLoadStarted(x.backendID())
	}
	logrus.WithFields(logrus.Fields{
		logkey.Backend: x.backendID(), logkey.Operation: operation, logkey.Name: name, logkey.Answer: answer.String(),
	}).Debug("placement command sent")
	return answer, nil
}

// sendWithRetry sends a command until it is accepted or already met. After Conflict and Unknown it reads the
// backend's state again, so that the condition of the next attempt includes all commands that were carried out
// meanwhile.
func (x *execution) sendWithRetry(ctx context.Context, operation Operation, name message.ModelName) (Answer, error) {
	for range maxAttempts {
		answer, err := x.send(ctx, operation, name)
		if err != nil {
			return answer, err
		}
		switch answer {
		case Accepted, AlreadyMet:
			return answer, nil
		case Rejected:
			return answer, errors.Errorf("%s of %s rejected", operation, name)
		}
		if err := x.sleep(ctx, conflictBackoff); err != nil {
			return answer, err
		}
		if err := x.awaitIdle(ctx, anyCommandCount); err != nil {
			return answer, err
		}
	}
	return Conflict, errors.Errorf("%s of %s: no attempt of %d was accepted", operation, name, maxAttempts)
}

func (x *execution) unload(ctx context.Context, model message.ModelName) error {
	if !x.holds(model) {
		return nil
	}
	isModel := func(held message.LoadedModel) bool { return held.Name == model }
	x.models = slices.DeleteFunc(slices.Clone(x.models), isModel)
	x.OnModelsChanged(x.backendID(), x.models)
	if err := x.sleep(ctx, removalNoticeTime); err != nil {
		return err
	}
	if _, err := x.sendWithRetry(ctx, UnloadModel, model); err != nil {
		return err
	}
	return x.awaitUnload(ctx, model)
}

func (x *execution) awaitUnload(ctx context.Context, model message.ModelName) error {
	if err := x.sleep(ctx, unloadPollInterval); err != nil {
		return err
	}
	p := pollOptions{minCommandCount: x.commandCount, interval: unloadPollInterval, timeout: unloadTimeout}
	if err := x.pollIdle(ctx, p); err != nil {
		return errors.Wrapf(err, "unload %s", model)
	}
	if x.holds(model) {
		return errors.Errorf("%s is still loaded after its unload", model)
	}
	return nil
}

func (x *execution) load(ctx context.Context, model message.ModelName) error {
	if x.holds(model) {
		return nil
	}
	answer, err := x.sendWithRetry(ctx, LoadModel, model)
	if err != nil {
		return err
	}
	if answer == Accepted {
		if err := x.sleep(ctx, time.Duration(firstLoadPollShare*float64(x.task.LoadTime))); err != nil {
			return err
		}
	}
	p := pollOptions{minCommandCount: x.commandCount, interval: loadPollInterval, timeout: loadTimeout + x.task.LoadTime}
	if err := x.pollIdle(ctx, p); err != nil {
		return errors.Wrapf(err, "load %s", model)
	}
	x.OnModelsChanged(x.backendID(), x.models)
	if !x.holds(model) {
		return errors.Errorf("%s is not loaded after its load", model)
	}
	return nil
}

func (x *execution) unloadAdapter(ctx context.Context, adapter message.ModelName) error {
	if !x.holds(adapter) {
		return nil
	}
	if _, err := x.sendWithRetry(ctx, UnloadModel, adapter); err != nil {
		return err
	}
	if err := x.sleep(ctx, adapterCommandTime); err != nil {
		return err
	}
	return x.awaitIdle(ctx, x.commandCount)
}

// loadAdapter loads an adapter beside its model. After maxAttempts it gives up without an error: the next plan
// includes the adapter again if there is still demand for it.
func (x *execution) loadAdapter(ctx context.Context, adapter message.ModelName) error {
	if !x.holds(adapter.Base()) || x.holds(adapter) {
		return nil
	}
	for range maxAttempts {
		answer, err := x.send(ctx, LoadModel, adapter)
		if err != nil {
			return err
		}
		switch answer {
		case Accepted, AlreadyMet:
			return x.onAdapterLoaded(ctx, adapter)
		case Rejected:
			return errors.Errorf("%s of %s rejected", LoadModel, adapter)
		case Unknown:
			if err := x.awaitIdle(ctx, anyCommandCount); err != nil {
				return err
			}
			if x.holds(adapter) {
				return nil
			}
		}
		if err := x.sleep(ctx, adapterRetryDelay); err != nil {
			return err
		}
	}
	return x.awaitIdle(ctx, anyCommandCount)
}

func (x *execution) onAdapterLoaded(ctx context.Context, adapter message.ModelName) error {
	x.models = withAdapter(x.models, adapter)
	if err := x.sleep(ctx, adapterCommandTime); err != nil {
		return err
	}
	x.OnModelsChanged(x.backendID(), x.models)
	return nil
}

// withAdapter returns the models with one more adapter. It does not modify its argument, which may have been passed to
// OnModelsChanged and may be in use there.
func withAdapter(models []message.LoadedModel, adapter message.ModelName) []message.LoadedModel {
	changed := slices.Clone(models)
	for i := range changed {
		if changed[i].Name == adapter.Base() {
			changed[i].Adapters = append(slices.Clone(changed[i].Adapters), adapter.Adapter())
		}
	}
	return changed
}
