// Package demo runs the whole system on loopback, with real processes of its programs and fakes of what surrounds it. It
// kills the coordinator that holds the controller lease, and counts all requests and configuration changes by their result.
//
// Goroutines: one sends the load, and one for each process awaits its end. Run waits for all of them.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pumiceline/internal/ctxtime"
	"pumiceline/internal/fake/fakesystem"
)

// Options are the parameters of a run.
type Options struct {
	Programs   string        // folder of the system's programs
	LoadPeriod time.Duration // for how long requests are sent
	Log        io.Writer     // for the output of the processes; nil: discarded
	Progress   io.Writer     // for a line about each step; nil: discarded
}

const (
	coordinatorCount = 3
	proxyCount       = 3
	startTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	changesPerRun    = 20 // of the configuration, about
	firstVersion     = 1  // of the configuration, put by awaitReady
)

// demo is one run.
type demo struct {
	opts       Options
	dir        string // of the nodes' settings and state
	executions *fakesystem.ExecutionCounter
	platform   *fakesystem.Platform
	backends   []*fakesystem.Backend
	nodes      []*node // coordinators first, then proxies
	client     *http.Client
	result     Result
}

// Run runs the system once. An error is one of the run itself; Result.Violation says what the system did wrong.
func Run(ctx context.Context, opts Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "pumiceline-demo")
	if err != nil {
		return nil, errors.Wrap(err, "create the run's folder")
	}
	defer os.RemoveAll(dir)
	if opts.Log == nil {
		opts.Log = io.Discard
	}
	if opts.Progress == nil {
		opts.Progress = io.Discard
	}
	d := &demo{opts: opts, dir: dir, executions: fakesystem.NewExecutionCounter(), client: &http.Client{}}
	defer d.close()
	if err := d.startFakes(); err != nil {
		return nil, err
	}
	if err := d.startNodes(); err != nil {
		return nil, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return nil, err
	}
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	for _, backend := range d.backends {
		d.result.ModelLoads += backend.ModelLoads()
	}
	return &d.result, nil
}

// startFakes starts backends and the platform. One model is resident at no backend.
func (d *demo) startFakes() error {
	for i, models := range [][]string{{"small"}, {"small", "large"}, {"large"}} {
		err := d.startBackend(&fakesystem.Backend{ID: fmt.Sprintf("model-%d", i), Service: modelService, Zone: "z0", Capacity: 32,
			ModelLoadTime: modelLoadTime, StreamEvents: eventsPerStream}, models...)
		if err != nil {
			return err
		}
	}
	for i := range 2 {
		err := d.startBackend(&fakesystem.Backend{ID: fmt.Sprintf("documents-%d", i), Service: documentService, Zone: "z0",
			Capacity: 8})
		if err != nil {
			return err
		}
	}
	d.platform = &fakesystem.Platform{}
	return d.platform.Start(d.backends...)
}

func (d *demo) startBackend(b *fakesystem.Backend, models ...string) error {
	if err := b.Start(d.executions, models...); err != nil {
		return err
	}
	d.backends = append(d.backends, b)
	return nil
}

// run sends requests for the load period, changes the configuration meanwhile, kills the lease holder after a third of the
// period and starts it again after two thirds.
func (d *demo) run(ctx context.Context) error {
	load := newLoad(d)
	ended := make(chan struct{})
	deadline := time.Now().Add(d.opts.LoadPeriod)
	go func() {
		defer close(ended)
		load.run(ctx, deadline)
	}()
	fault := &coordinatorFault{demo: d, killAt: time.Now().Add(d.opts.LoadPeriod / 3)}
	lastChange := time.Now()
	for version := uint64(firstVersion + 1); time.Now().Before(deadline) && ctx.Err() == nil; version++ {
		if err := fault.step(ctx); err != nil {
			return err
		}
		if err := d.putConfiguration(ctx, version); err != nil {
			return errors.Wrapf(err, "put version %d", version)
		}
		d.result.LongestGap = max(d.result.LongestGap, time.Since(lastChange))
		lastChange = time.Now()
		if err := ctxtime.Sleep(ctx, d.opts.LoadPeriod/changesPerRun); err != nil {
			return err
		}
	}
	<-ended
	d.result.Streams, d.result.Documents = load.counts()
	return d.readConfiguration(ctx)
}

// coordinatorFault kills the coordinator that holds the controller lease, and starts it again.
type coordinatorFault struct {
	*demo
	killAt    time.Time
	killed    *node // nil: not yet
	restarted bool
}

// step kills or starts the coordinator if that is due, else does nothing.
func (f *coordinatorFault) step(ctx context.Context) error {
	if f.killed == nil && time.Now().After(f.killAt) {
		f.killed = f.leaseHolder(ctx)
		f.result.KilledCoordinator = f.killed.Name
		f.progress("killing %s, which holds the controller lease", f.killed.Name)
		f.killed.process.kill()
	}
	if f.killed == nil || f.restarted || !time.Now().After(f.killAt.Add(f.opts.LoadPeriod/3)) {
		return nil
	}
	f.restarted = true
	f.killed.FirstStart = false
	f.progress("starting %s again", f.killed.Name)
	return f.startNode(f.killed)
}

func (d *demo) progress(format string, args ...any) {
	fmt.Fprintf(d.opts.Progress, format+"\n", args...)
}

// close ends all processes and fakes.
func (d *demo) close() {
	var ending sync.WaitGroup
	for _, n := range d.nodes {
		if n.process != nil {
			ending.Go(n.process.stop)
		}
	}
	ending.Wait()
	if d.platform != nil && d.platform.Address != "" {
		d.platform.Close()
	}
	for _, backend := range d.backends {
		backend.Close()
	}
}
