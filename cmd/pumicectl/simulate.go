package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pumiceline/internal/simulation"
)

// simulateCommand plays simulated clusters of coordinators.
func simulateCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl simulate", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "number of seeds")
	members := flags.Int("members", 4, "coordinators")
	tolerance := flags.Int("tolerance", 1, "machines that may be lost at one time")
	volatile := flags.Int("volatile", 0, "so many of the members, the first seeds among them, have no disk")
	length := flags.Duration("length", 20*time.Second, "simulated time with faults")
	wild := flags.Bool("wild", false, "faults beyond the tolerance, without lost disks")
	jobs := flags.Int("jobs", max(1, runtime.NumCPU()/2), "seeds at a time")
	asJSON := flags.Bool("json", false, "print one JSON object a seed")
	return &ffcli.Command{
		Name: "simulate", ShortUsage: "pumicectl simulate [flags]", FlagSet: flags,
		ShortHelp: "play coordinators over a simulated network, disks and clocks, and check every rule",
		Exec: func(ctx context.Context, _ []string) error {
			options := simulation.Options{Members: *members, Tolerance: *tolerance, Volatile: *volatile, Length: *length, Wild: *wild}
			return playSeeds(ctx, options, *seed, *seeds, *jobs, *asJSON)
		},
	}
}

type playedSeed struct {
	Seed   uint64
	Result *simulation.Result
}

func playSeeds(ctx context.Context, options simulation.Options, first, count uint64, jobs int, asJSON bool) error {
	seeds, played := make(chan uint64), make(chan playedSeed)
	var workers sync.WaitGroup
	for range max(1, jobs) {
		workers.Go(func() {
			for seed := range seeds {
				own := options
				own.Seed = seed
				played <- playedSeed{seed, simulation.Run(own)}
			}
		})
	}
	go func() {
		defer close(played)
		defer workers.Wait()
		defer close(seeds)
		for seed := first; seed < first+count && ctx.Err() == nil; seed++ {
			seeds <- seed
		}
	}()
	began := time.Now()
	broken, total := 0, 0
	for p := range played {
		total++
		if asJSON {
			_ = json.NewEncoder(os.Stdout).Encode(p) // a closed pipe ends the program
		}
		for _, violation := range p.Result.Violations {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", p.Seed, violation)
		}
		if len(p.Result.Violations) > 0 {
			broken++
		}
	}
	fmt.Printf("%d seeds, %d broke a rule, %.0f seeds a minute\n", total, broken, float64(total)/time.Since(began).Minutes())
	if broken > 0 {
		return errFound
	}
	return nil
}
