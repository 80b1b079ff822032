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

// simulateCommand plays simulated clusters of coordinators.
func simulateCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl simulate", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "number of seeds")
	members := flags.Int("members", 4, "coordinators")
	tolerance := flags.Int("tolerance", 1, "machines that may be lost at one time")
	volatile := flags.Int("volatile", 0, "so many of the members, the first seeds among them, have no disk")
	length := flags.Duration("length", 20*time.Second, "simulated time with faults")
	wild := flags.Bool("wild", false, "losses overlap beyond the tolerance; never more lost disks than it allows")
	drawn := flags.Bool("drawn", false, "draw members, tolerance, disks and overlaps from each seed")
	shrink := flags.Bool("shrink", false, "leave out of each failing run what it does not need, and print its story")
	jobs := flags.Int("jobs", max(1, runtime.NumCPU()/2), "seeds at a time")
	pauses := flags.Bool("pauses", false, "measure how long nothing is acknowledged after each kind of loss, over the seeds")
	asJSON := flags.Bool("json", false, "print one JSON object a seed")
	return &ffcli.Command{
		Name: "simulate", ShortUsage: "pumicectl simulate [flags]", FlagSet: flags,
		ShortHelp: "play coordinators over a simulated network, disks and clocks, and check every rule",
		Exec: func(ctx context.Context, _ []string) error {
			if *pauses {
				return printPauses(simulation.MeasurePauses(*members, *tolerance, *seeds))
			}
			shape := simulation.Options{Members: *members, Tolerance: *tolerance, Volatile: *volatile, Length: *length, Wild: *wild}
			series := series{first: *seed, count: *seeds, jobs: *jobs, asJSON: *asJSON, shrink: *shrink}
			series.options = func(seed uint64) simulation.Options {
				if *drawn {
					return simulation.Drawn(seed)
				}
				options := shape
				options.Seed = seed
				return options
			}
			return series.play(ctx)
		},
	}
}

func printPauses(pauses []simulation.Pause) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "LOSS\tPAUSE MEDIAN\tLONGEST\tPUT TO ACKNOWLEDGEMENT P50\tP99")
	for _, p := range pauses {
		fmt.Fprintf(table, "%v\t%v\t%v\t%v\t%v\n", p.Kind, p.Median.Round(time.Millisecond), p.Longest.Round(time.Millisecond),
			p.Wait50.Round(100*time.Microsecond), p.Wait99.Round(100*time.Microsecond))
	}
	return table.Flush()
}

// series is a row of seeds to play.
type series struct {
	first, count   uint64
	jobs           int
	asJSON, shrink bool
	options        func(seed uint64) simulation.Options
}

type playedSeed struct {
	Seed   uint64             `json:"Seed"`
	Result *simulation.Result `json:"Result"`
	Story  string             `json:"Story,omitempty"`
}

// playOne plays a seed; a failing one is shrunk where that is wanted.
func (s *series) playOne(seed uint64) playedSeed {
	options := s.options(seed)
	played := playedSeed{Seed: seed, Result: simulation.Run(options)}
	if s.shrink && len(played.Result.Violations) > 0 {
		played.Story = simulation.Story(simulation.Shrink(options))
	}
	return played
}

func (s *series) play(ctx context.Context) error {
	seeds, played := make(chan uint64), make(chan playedSeed)
	var workers sync.WaitGroup
	for range max(1, s.jobs) {
		workers.Go(func() {
			for seed := range seeds {
				played <- s.playOne(seed)
			}
		})
	}
	go func() {
		defer close(played)
		defer workers.Wait()
		defer close(seeds)
		for seed := s.first; seed < s.first+s.count && ctx.Err() == nil; seed++ {
			seeds <- seed
		}
	}()
	began := time.Now()
	broken, total := 0, 0
	for p := range played {
		total++
		s.print(p)
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

func (s *series) print(p playedSeed) {
	if s.asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(p) // a closed pipe ends the program
	}
	for _, violation := range p.Result.Violations {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", p.Seed, violation)
	}
	fmt.Fprint(os.Stderr, p.Story)
}
