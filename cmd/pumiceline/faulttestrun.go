package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/faulttest"
)

// faulttestRunCmd is `pumiceline faulttest run`.
type faulttestRunCmd struct {
	File string `arg:"" help:"The script." type:"existingfile"`
	Seed uint64 `help:"What the script's random faults are drawn from." default:"1"`
	Out  string `help:"File for the result and the history, as JSON." type:"path"`
}

// scriptResult is the outcome of a script. Its JSON form is stored.
type scriptResult struct {
	Seed           uint64            `json:"seed"`
	Proxies        []requestCounts   `json:"proxies"`
	AfterLastFault requestCounts     `json:"after"`  // of all proxies, from recoveryTime after the last fault's end
	ProxyFailures  []string          `json:"faults"` // proxies that ended by themselves or did not stop in order
	History        []faulttest.Event `json:"history"`
}

// requestCounts counts requests by their result.
type requestCounts struct {
	Sent     int `json:"asked"`
	Served   int `json:"served"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`
}

func (c requestCounts) plus(s fakestandalone.RequestStats) requestCounts {
	return requestCounts{c.Sent + s.Sent, c.Served + s.Served, c.Rejected + s.Rejected, c.Failed + s.Failed}
}

// String returns the counts as the command prints them.
func (c requestCounts) String() string {
	return fmt.Sprintf("%d sent, %d served, %d rejected, %d failed", c.Sent, c.Served, c.Rejected, c.Failed)
}

// recoveryTime is the time after the last fault's end during which failed requests still count as caused by the fault.
const recoveryTime = time.Second

// Run runs a script and prints the requests by their result. It returns an error if a proxy ended by itself or did not
// stop in order.
func (c *faulttestRunCmd) Run(out output) error {
	script, err := faulttest.ReadScript(c.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	run, err := newScriptRun(script)
	defer run.close()
	if err != nil {
		return err
	}
	if err := run.start(ctx); err != nil {
		return err
	}
	result := run.execute(ctx, script.Schedule(c.Seed))
	result.Seed = c.Seed
	result.ProxyFailures = run.stopProxies()
	result.History = run.History()
	fmt.Fprintf(out, "%s, seed %d\n%s", script.Title, c.Seed, run)
	for i, counts := range result.Proxies {
		fmt.Fprintf(out, "proxy %d: %v\n", i, counts)
	}
	fmt.Fprintf(out, "after the last fault: %v\n", result.AfterLastFault)
	if err := writeResult(c.Out, result); err != nil {
		return err
	}
	if len(result.ProxyFailures) > 0 {
		return fmt.Errorf("faulttest: %v; again with: pumiceline faulttest run %s --seed %d",
			result.ProxyFailures, c.File, c.Seed)
	}
	return nil
}

// execute sends requests to the proxies for the script's length, injects the faults meanwhile, and counts the requests by
// their result.
func (r *scriptRun) execute(ctx context.Context, schedule []faulttest.ScheduledFault) (result scriptResult) {
	startedAt := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load, endLoad := context.WithDeadline(ctx, startedAt.Add(time.Duration(r.script.Length)*time.Microsecond))
	defer endLoad()
	var generators []*fakestandalone.LoadGenerator
	var running sync.WaitGroup
	for _, addr := range r.proxyAddrs {
		g := &fakestandalone.LoadGenerator{BaseURL: "http://" + addr,
			RequestsPerSecond: r.script.Rate / float64(r.script.Proxies),
			Classes:           fakestandalone.Classes, Tenants: fakestandalone.Tenants}
		generators = append(generators, g)
		running.Go(func() { g.Run(load) })
	}
	faulttest.RunSchedule(schedule, startedAt, ctx.Done(), r.inject)
	select {
	case <-time.After(recoveryTime):
	case <-load.Done():
	}
	for _, g := range generators {
		result.Proxies = append(result.Proxies, requestCounts{}.plus(g.TakeStats()))
	}
	running.Wait()
	for i, g := range generators {
		stats := g.TakeStats()
		result.Proxies[i] = result.Proxies[i].plus(stats)
		result.AfterLastFault = result.AfterLastFault.plus(stats)
	}
	return result
}
