// Package soak runs the whole system on loopback, with real processes of its programs and with fake backends and a fake
// platform, under overlapping series of signals, restarts and configuration changes. Clients use each open connection
// until the proxy closes it or its process ends. A history records calls, responses, faults and samples, and checkers
// apply the rules to that history.
//
// The schedule is a pure function of the seed and the shape. The timing of the real processes differs by milliseconds
// from run to run.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"pumiceline/internal/controlplane/simulation"
	"pumiceline/internal/ctxtime"
)

// Options are the parameters of a run.
type Options struct {
	Programs   string        // folder of the system's programs
	Seed       uint64        // seed of the schedule
	FaultPhase time.Duration // time within which steps begin
	Processes  int           // coordinators and proxies together
	// Applications enables callers of locks, numbers, keys and watches.
	Applications bool
	// Losses runs coordinators alone under counted losses, in place of a schedule of signals for coordinators and proxies.
	// The seed draws the number of coordinators, the tolerance and the zones.
	Losses bool
	// HolderOutages cuts the lease holder off from the platform again and again, in place of a schedule, and the settings
	// allow so few calls to the platform that proxies cannot read the list themselves.
	HolderOutages bool
	Progress      io.Writer // receives a line about each phase; nil: discarded
	HistoryDir    string    // folder in which the history is written as SEED.json; empty: it is not written
}

func (o Options) shape() Shape {
	if o.Losses {
		return Shape{Coordinators: o.lossOptions().Members, FaultPhase: o.FaultPhase}
	}
	return NewShape(o.Processes, o.FaultPhase)
}

// lossOptions returns the options of a run with counted losses.
func (o Options) lossOptions() simulation.Options {
	options := simulation.DrawCountedLosses(o.Seed)
	options.FaultPhase = o.FaultPhase
	return options
}

// command returns the command that repeats the run.
func (o Options) command() string {
	size := fmt.Sprintf("--processes %d", o.Processes)
	if o.Losses {
		size = "--losses"
	}
	if o.HolderOutages {
		size += " --holder-outages"
	}
	return fmt.Sprintf("pumicectl soak --programs %s --first-seed %d --seeds 1 --duration %v %s --applications=%t",
		o.Programs, o.Seed, o.FaultPhase, size, o.Applications)
}

// Times of a run's phases.
const (
	startTimeout    = 60 * time.Second // all proxies must be ready within this time
	readyPoll       = 50 * time.Millisecond
	warmUpPhase     = 3 * time.Second // load before the first fault
	recoveredPhase  = 4 * time.Second // load after the recovery
	minFaultPhase   = 4 * time.Second
	firstChangeStep = 1 // increment of the version by the first change
)

// run is the state of one run.
type run struct {
	opts             Options
	recorder         *recorder
	fakes            *fakeServices
	fleet            *fleet
	operators        *operators
	applications     *applications
	losses           *lossRunner    // nil: the run plays a schedule
	background       sync.WaitGroup // goroutines of the load
	applicationCalls sync.WaitGroup // goroutines of the applications
	changes          sync.WaitGroup
}

// Run runs the system once under the schedule of a seed. It returns an error if the run itself fails; Result.Violations
// lists the faults of the system.
func Run(ctx context.Context, opts Options) (*Result, error) {
	if opts.FaultPhase < minFaultPhase {
		return nil, fmt.Errorf("the fault phase is %v; at least %v is wanted", opts.FaultPhase, minFaultPhase)
	}
	if opts.Progress == nil {
		opts.Progress = io.Discard
	}
	dir, err := os.MkdirTemp("", "pumiceline-soak")
	if err != nil {
		return nil, fmt.Errorf("create the run's folder: %w", err)
	}
	defer os.RemoveAll(dir)
	fakes, err := startFakeServices()
	defer fakes.close()
	if err != nil {
		return nil, err
	}
	r := &run{opts: opts, recorder: newRecorder(StatedBounds()), fakes: fakes}
	if r.fleet, err = newFleet(opts.shape(), opts.Programs, dir, fakes.platform, r.recorder); err != nil {
		return nil, err
	}
	defer r.fleet.close()
	coordinators := newCoordinatorList(r.fleet.ofRole(RoleCoordinator))
	r.operators = newOperators(coordinators, r.recorder)
	r.applications = &applications{coordinators: coordinators, recorder: r.recorder, seed: opts.Seed}
	var schedule Schedule
	if opts.Losses {
		r.fleet.setLossOptions(opts.lossOptions())
		r.losses = newLossRunner(r, coordinators, opts.lossOptions())
		r.recorder.history.HasLosses = true
	} else if opts.HolderOutages {
		r.fleet.setPlatformRate(scarcePlatformRate)
	} else {
		schedule = DrawSchedule(opts.Seed, opts.shape())
	}
	if err := r.execute(ctx, schedule); err != nil {
		return nil, err
	}
	r.recorder.history.Executions = fakes.executions.All()
	if opts.HistoryDir != "" {
		if err := writeHistory(opts, &r.recorder.history); err != nil {
			return nil, err
		}
	}
	result := newResult(opts, schedule, &r.recorder.history)
	if r.losses != nil {
		result.Losses = r.losses.injected
	}
	return result, nil
}

// writeHistory writes the history to a file, by which a violation can be traced.
func writeHistory(opts Options, h *History) error {
	text, err := json.Marshal(h)
	if err != nil {
		return fmt.Errorf("encode history: %w", err)
	}
	path := filepath.Join(opts.HistoryDir, fmt.Sprintf("%d.json", opts.Seed))
	if err := os.WriteFile(path, text, historyFileMode); err != nil {
		return fmt.Errorf("write history: %w", err)
	}
	return nil
}

const historyFileMode = 0o644

// execute carries out the phases of the run. When it returns, all goroutines of the run have ended, except those of the
// fleet if there was an error.
func (r *run) execute(ctx context.Context, schedule Schedule) error {
	loadContext, endLoad := context.WithCancel(ctx)
	changeContext, endChanges := context.WithCancel(ctx)
	defer func() {
		endChanges()
		r.changes.Wait()
		r.applicationCalls.Wait()
		endLoad()
		r.background.Wait()
	}()
	if err := r.start(ctx); err != nil {
		return err
	}
	r.startLoad(loadContext)
	if r.opts.Applications {
		r.applications.start(func(application func(context.Context)) {
			r.applicationCalls.Go(func() { application(changeContext) })
		})
	}
	r.mark(func(h *History) { h.LoadFrom = r.recorder.now() })
	if err := ctxtime.Sleep(ctx, warmUpPhase); err != nil {
		return err
	}
	r.mark(func(h *History) { h.FaultsFrom = r.recorder.now() })
	if len(r.fleet.ofRole(RoleProxy)) > 0 {
		r.changes.Go(func() { r.releaseBackends(changeContext) })
	}
	r.changes.Go(func() { r.sendInvalid(changeContext) })
	r.progress("fault phase of %v with %d steps", r.opts.FaultPhase, len(schedule))
	if err := r.injectFaults(ctx, changeContext, schedule); err != nil {
		return err
	}
	if err := r.fleet.awaitSettled(ctx); err != nil {
		return err
	}
	r.mark(func(h *History) { h.LastFault = r.recorder.now() })
	r.progress("recovery")
	if err := ctxtime.Sleep(ctx, r.recorder.history.Bounds.Recovery+recoveredPhase); err != nil {
		return err
	}
	endChanges()
	r.changes.Wait()
	r.applicationCalls.Wait()
	r.finish(ctx)
	return nil
}

// finish reads back acknowledged state and stops all processes.
func (r *run) finish(ctx context.Context) {
	r.operators.readAtEnd(ctx)
	if r.opts.Applications {
		r.applications.finish(ctx)
	}
	r.mark(func(h *History) { h.StopFrom = r.recorder.now() })
	r.progress("stop")
	r.fleet.stopAll()
}

// start starts all processes and waits until every proxy is ready.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.progress("start of %d processes", len(r.fleet.all()))
	if err := r.fleet.startAll(); err != nil {
		return err
	}
	if err := r.operators.change(ctx, Step{Action: ActionPut, VersionStep: firstChangeStep}); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return fmt.Errorf("the first change is not acknowledged: %w\n%s", ctx.Err(), r.fleet.lastOutputs())
	}
	client := &http.Client{Timeout: callTimeout}
	for _, proxy := range r.fleet.ofRole(RoleProxy) {
		for !isReady(client, proxy) {
			if err := ctxtime.Sleep(ctx, readyPoll); err != nil {
				return fmt.Errorf("%s is not ready: %w", proxy.Name, err)
			}
		}
	}
	return nil
}

func isReady(client *http.Client, proxy *node) bool {
	response, err := client.Get("http://" + proxy.ReadyAddress() + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startLoad starts the goroutines that run until ctx ends: clients, probes, reads of the configuration, and the
// sampler.
func (r *run) startLoad(ctx context.Context) {
	proxies := r.fleet.ofRole(RoleProxy)
	if len(proxies) > 0 {
		for _, client := range newClients(proxies, r.recorder) {
			r.background.Go(func() { client.run(ctx) })
		}
		prober := newProber(proxies, r.recorder)
		r.background.Go(func() { prober.run(ctx) })
	}
	r.background.Go(func() { r.operators.poll(ctx) })
	sampler := newSampler(r.fleet, r.recorder)
	r.background.Go(func() { sampler.run(ctx) })
}

// injectFaults injects the counted losses of the run, or carries out the schedule.
func (r *run) injectFaults(ctx, changeContext context.Context, schedule Schedule) error {
	if r.losses == nil {
		phase, cancel := context.WithTimeout(ctx, r.opts.FaultPhase)
		defer cancel()
		outages := newOutages(r.fleet.ofRole(RoleCoordinator), r.opts.HolderOutages, r.opts.Seed)
		r.background.Go(func() { outages.run(phase) })
		return r.runSchedule(ctx, changeContext, schedule)
	}
	r.changes.Go(func() {
		if err := r.losses.changeContinually(changeContext); err != nil {
			r.progress("%v", err)
		}
	})
	if err := r.losses.run(ctx); err != nil {
		return err
	}
	r.progress("final losses")
	return r.losses.end(ctx)
}

// runSchedule carries out the schedule. Each change runs in its own goroutine until it is settled or changeContext ends.
func (r *run) runSchedule(ctx, changeContext context.Context, schedule Schedule) error {
	started := time.Now()
	for _, step := range schedule {
		if err := ctxtime.Sleep(ctx, time.Until(started.Add(step.At))); err != nil {
			return err
		}
		if step.Action.IsChange() {
			r.changes.Go(func() { r.change(changeContext, step) })
			continue
		}
		if step.Action == ActionAdd {
			if err := r.fleet.addMachine(); err != nil {
				return err
			}
			continue
		}
		r.fleet.apply(step)
	}
	return ctxtime.Sleep(ctx, time.Until(started.Add(r.opts.FaultPhase)))
}

func (r *run) change(ctx context.Context, step Step) {
	if err := r.operators.change(ctx, step); err != nil {
		r.progress("change: %v", err)
	}
}

// sendInvalid sends invalid changes until ctx ends.
func (r *run) sendInvalid(ctx context.Context) {
	if err := r.operators.sendInvalid(ctx); err != nil {
		r.progress("invalid change: %v", err)
	}
}

// releaseBackends replaces backends until ctx ends.
func (r *run) releaseBackends(ctx context.Context) {
	if err := newReleases(r.fakes, r.recorder, r.opts.Seed).run(ctx); err != nil {
		r.progress("release: %v", err)
	}
}

func (r *run) mark(change func(h *History)) { r.recorder.edit(change) }

func (r *run) progress(format string, args ...any) {
	fmt.Fprintf(r.opts.Progress, "seed %d, %.1fs: %s\n", r.opts.Seed, r.recorder.now().Seconds(), fmt.Sprintf(format, args...))
}
