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

	"pumiceline/internal/controlplane/coordinationsim"
)

// simulateCoordinationCommand simulates clusters of coordinators that serve locks, numbers and keys to applications.
func simulateCoordinationCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl simulate-coordination", flag.ContinueOnError)
	runner := coordinationRunner{}
	flags.Uint64Var(&runner.first, "first-seed", 1, "first seed")
	flags.Uint64Var(&runner.count, "seeds", 1, "number of seeds")
	flags.BoolVar(&runner.shrink, "shrink", false, "reduce each failing run to the faults that it needs, and print its trace")
	flags.BoolVar(&runner.asJSON, "json", false, "print one JSON object per seed")
	flags.IntVar(&runner.jobs, "jobs", max(1, runtime.NumCPU()/2), "seeds that run in parallel")
	options := flags.String("options", "", "replay the run with these options, as a failing run prints them, and print its trace")
	measure := flags.Bool("pauses", false, "measure how long no call is answered after the loss of an issuer, over the seeds")
	members := flags.Int("members", 5, "coordinators that are measured")
	tolerance := flags.Int("tolerance", 2, "disks that may be lost at one time, of those that are measured")
	return &ffcli.Command{
		Name: "simulate-coordination", ShortUsage: "pumicectl simulate-coordination [flags]", FlagSet: flags,
		ShortHelp: "run locks, numbers and keys over a simulated network, disks and clocks, and check what applications observe",
		Exec: func(ctx context.Context, _ []string) error {
			switch {
			case *options != "":
				return replayCoordination(*options)
			case *measure:
				return printIssuerLosses(*members, *tolerance, runner.count)
			}
			return runner.run(ctx)
		},
	}
}

// replayCoordination runs one simulation again and prints its trace.
func replayCoordination(text string) error {
	options, err := coordinationsim.ParseOptions(text)
	if err != nil {
		return err
	}
	fmt.Print(coordinationsim.Trace(options))
	return faultsFoundIf(len(coordinationsim.Run(options).Violations) > 0)
}

// printIssuerLosses prints for each kind of loss of an issuer how long no call is answered and how long calls take, and
// how long calls take without a loss.
func printIssuerLosses(members, tolerance int, seeds uint64) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "LOSS\tNO ANSWER P50\tP99\tLONGEST\tCALL P50\tP99")
	for _, t := range coordinationsim.MeasureRecovery(members, tolerance, seeds) {
		fmt.Fprintf(table, "%v\t%v\t%v\t%v\t%v\t%v\n", t.Kind, t.Median.Round(time.Millisecond), t.P99.Round(time.Millisecond),
			t.Longest.Round(time.Millisecond), t.CallP50.Round(100*time.Microsecond), t.CallP99.Round(100*time.Microsecond))
	}
	withoutLoss := coordinationsim.MeasureCalm(members, tolerance, seeds)
	fmt.Fprintf(table, "none\t\t\t\t%v\t%v\n", withoutLoss.CallP50.Round(100*time.Microsecond),
		withoutLoss.CallP99.Round(100*time.Microsecond))
	return table.Flush()
}

// coordinationRunner simulates a range of seeds, several in parallel.
type coordinationRunner struct {
	first, count uint64
	jobs         int
	asJSON       bool
	shrink       bool
}

// coordinationResult is the JSON output for one seed.
type coordinationResult struct {
	Seed    uint64                   `json:"Seed"`
	Options *coordinationsim.Options `json:"Options,omitempty"` // replay a failing run; reduced with --shrink
	Result  *coordinationsim.Result  `json:"Result"`
	trace   string
}

func (r *coordinationRunner) runSeed(seed uint64) coordinationResult {
	options := coordinationsim.DrawOptions(seed)
	result := coordinationResult{Seed: seed, Result: coordinationsim.Run(options)}
	if len(result.Result.Violations) == 0 {
		return result
	}
	if r.shrink {
		options = coordinationsim.Shrink(options)
		result.trace = coordinationsim.Trace(options)
	}
	result.Options = &options
	return result
}

// run simulates and prints all seeds, until ctx ends.
func (r *coordinationRunner) run(ctx context.Context) error {
	started := time.Now()
	failed, total, lateRefusals, lostHolds := 0, 0, 0, 0
	for result := range r.start(ctx) {
		total++
		lateRefusals += result.Result.LateRefusals
		lostHolds += result.Result.LostHolds
		r.print(result)
		if len(result.Result.Violations) > 0 {
			failed++
		}
	}
	fmt.Fprintf(os.Stderr, "%d seeds, %d broke a rule, %d refusals of free locks, %d holds lost early, %.0f seeds a minute\n",
		total, failed, lateRefusals, lostHolds, float64(total)/time.Since(started).Minutes())
	return faultsFoundIf(failed > 0)
}

// start starts the workers. The channel is closed when they have ended; the caller must receive until then.
func (r *coordinationRunner) start(ctx context.Context) <-chan coordinationResult {
	seeds, results := make(chan uint64), make(chan coordinationResult)
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

func (r *coordinationRunner) print(result coordinationResult) {
	if r.asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(result) // a closed pipe ends the program
	}
	for _, violation := range result.Result.Violations {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", result.Seed, violation)
	}
	if result.Options != nil {
		fmt.Fprintf(os.Stderr, "replay: pumicectl simulate-coordination --options '%v'\n%s", result.Options, result.trace)
	}
}
