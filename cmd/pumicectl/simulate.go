package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pumiceline/internal/controlplane/simulation"
)

// simulateCommand runs simulated clusters of coordinators.
func simulateCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl simulate", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "number of seeds")
	members := flags.Int("members", 4, "coordinators")
	tolerance := flags.Int("tolerance", 1, "machines that may be lost at one time")
	diskless := flags.Int("volatile", 0, "number of members without a disk, the first seeds among them")
	length := flags.Duration("length", 20*time.Second, "simulated time during which faults are injected")
	beyondTolerance := flags.Bool("wild", false, "let faults overlap beyond the tolerance; never more lost disks than it allows")
	drawn := flags.Bool("drawn", false, "draw members, tolerance, disks and overlaps at random from each seed")
	counted := flags.Bool("counted", false, "draw the shape and losses that are within the tolerance as operators count it")
	shrink := flags.Bool("shrink", false, "reduce each failing run to the faults that it needs, and print its trace")
	jobs := flags.Int("jobs", max(1, runtime.NumCPU()/2), "seeds that run in parallel")
	measureRecovery := flags.Bool("pauses", false, "measure how long nothing is acknowledged after each kind of fault, over the seeds")
	asJSON := flags.Bool("json", false, "print one JSON object per seed")
	return &ffcli.Command{
		Name: "simulate", ShortUsage: "pumicectl simulate [flags]", FlagSet: flags,
		ShortHelp: "run coordinators over a simulated network, disks and clocks, and check the invariants",
		Exec: func(ctx context.Context, _ []string) error {
			if *measureRecovery {
				return printRecoveryTimes(simulation.MeasureRecovery(*members, *tolerance, *seeds))
			}
			configured := simulation.Options{
				Members: *members, Tolerance: *tolerance, Diskless: *diskless, FaultPhase: *length,
				BeyondTolerance: *beyondTolerance,
			}
			runner := seedRunner{first: *seed, count: *seeds, jobs: *jobs, asJSON: *asJSON, shrink: *shrink}
			runner.options = func(seed uint64) simulation.Options {
				switch {
				case *counted:
					return simulation.DrawCountedLosses(seed)
				case *drawn:
					return simulation.DrawOptions(seed)
				}
				options := configured
				options.Seed = seed
				return options
			}
			return runner.run(ctx)
		},
	}
}

// printRecoveryTimes prints how long each kind of fault interrupts acknowledgements.
func printRecoveryTimes(times []simulation.RecoveryTime) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "LOSS\tPAUSE MEDIAN\tLONGEST\tPUT TO ACKNOWLEDGEMENT P50\tP99")
	for _, t := range times {
		fmt.Fprintf(table, "%v\t%v\t%v\t%v\t%v\n", t.Kind, t.Median.Round(time.Millisecond), t.Longest.Round(time.Millisecond),
			t.AckP50.Round(100*time.Microsecond), t.AckP99.Round(100*time.Microsecond))
	}
	return table.Flush()
}

// seedRunner simulates a range of seeds, several in parallel.
type seedRunner struct {
	first, count uint64
	jobs         int
	asJSON       bool
	shrink       bool // reduce each failing run to the faults that it needs, and print its trace
	options      func(seed uint64) simulation.Options
}

// seedResult is the JSON output for one seed.
type seedResult struct {
	Seed   uint64             `json:"Seed"`
	Result *simulation.Result `json:"Result"`
	Trace  string             `json:"Story,omitempty"` // of the reduced run, where it failed
}

func (r *seedRunner) runSeed(seed uint64) seedResult {
	options := r.options(seed)
	result := seedResult{Seed: seed, Result: simulation.Run(options)}
	if r.shrink && len(result.Result.Violations) > 0 {
		result.Trace = simulation.Trace(simulation.Shrink(options))
	}
	return result
}

// run simulates and prints all seeds, until ctx ends.
func (r *seedRunner) run(ctx context.Context) error {
	started := time.Now()
	failed, total := 0, 0
	for result := range r.start(ctx) {
		total++
		r.print(result)
		if len(result.Result.Violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d broke a rule, %.0f seeds a minute\n", total, failed, float64(total)/time.Since(started).Minutes())
	return faultsFoundIf(failed > 0)
}

// start starts the workers. The channel is closed when they have ended; the caller must receive until then.
func (r *seedRunner) start(ctx context.Context) <-chan seedResult {
	seeds, results := make(chan uint64), make(chan seedResult)
	var workers sync.WaitGroup
	for range max(1, r.jobs) {
		workers.Go(func() {
			for seed := range seeds {
				results <- r.runSeed(seed)
			}
		})
	}
	go func() {
		defer close(results)
		defer workers.Wait()
		defer close(seeds)
		for seed := r.first; seed < r.first+r.count && ctx.Err() == nil; seed++ {
			seeds <- seed
		}
	}()
	return results
}

func (r *seedRunner) print(result seedResult) {
	if r.asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(result) // a closed pipe ends the program
	}
	for _, violation := range result.Result.Violations {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", result.Seed, violation)
	}
	fmt.Fprint(os.Stderr, result.Trace)
}
