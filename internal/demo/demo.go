// Package demo runs the whole system on loopback, with real processes of its programs and with fake backends and a fake
// platform. It kills the coordinator that holds the controller lease, and later the one that decides the calls of
// applications. It counts requests by their result, and acknowledged configuration changes. Meanwhile two candidates of
// an election campaign, and must lead one at a time.
//
// Goroutines: one sends the load and starts one per request, one samples the leaders of the election, one runs each
// candidate, and one waits for the end of each process. Run waits for all of them.
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
	LoadPeriod time.Duration // time for which requests are sent
	Log        io.Writer     // receives the output of the processes; nil: discarded
	Progress   io.Writer     // receives a line about each step; nil: discarded
}

const (
	coordinatorCount = 3
	proxyCount       = 3
	startTimeout     = 20 * time.Second
	pollInterval     = 20 * time.Millisecond
	changesPerRun    = 20 // upper bound of configuration changes: the pause between two is LoadPeriod/changesPerRun
	firstVersion     = 1  // version of the configuration that awaitReady puts
)

// demo is one run.
type demo struct {
	opts       Options
	dir        string // folder of the nodes' settings and state
	executions *fakesystem.ExecutionCounter
	platform   *fakesystem.Platform
	backends   []*fakesystem.Backend
	nodes      []*node // coordinators first, then proxies
	client     *http.Client
	result     Result
}

// Run runs the system once. It returns an error if the run itself fails; Result.Violation reports faults of the system.
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

// startFakes starts backends and the platform. No backend has rareModel loaded, so that the system must load it.
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

// run sends requests for the load period. At the same time it changes the configuration, runs the election and kills
// coordinators.
func (d *demo) run(ctx context.Context) error {
	sender := newLoad(d)
	election, err := newElection(d.controlAddresses())
	if err != nil {
		return err
	}
	deadline := time.Now().Add(d.opts.LoadPeriod)
	loadContext, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { sender.run(ctx, deadline) })
	background.Go(func() { d.result.Election = election.run(loadContext) })
	err = d.changeConfiguration(ctx, deadline, d.newFaults())
	if err != nil {
		cancel() // ends the election; without changes the run is not judged
	}
	background.Wait()
	if err != nil {
		return err
	}
	d.result.Streams, d.result.Documents = sender.counts()
	return d.readConfiguration(ctx)
}

// changeConfiguration puts successive versions until the deadline, and carries out the faults that are due.
func (d *demo) changeConfiguration(ctx context.Context, deadline time.Time, faults []*coordinatorFault) error {
	lastChange := time.Now()
	for version := uint64(firstVersion + 1); time.Now().Before(deadline) && ctx.Err() == nil; version++ {
		for _, fault := range faults {
			if err := fault.stepIfDue(ctx); err != nil {
				return err
			}
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
	return nil
}

func (d *demo) progress(format string, args ...any) {
	fmt.Fprintf(d.opts.Progress, format+"\n", args...)
}

// close stops all processes and fakes.
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
