package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"pumiceline/internal/soak"
)

// Defaults of a soak.
const (
	defaultSoakPhase     = 30 * time.Second
	defaultSoakProcesses = 12
	maxPrintedViolations = 20 // per run; the JSON output has all of them
)

// soakCommand runs the soak test for a range of seeds, one after the other.
func soakCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl soak", flag.ContinueOnError)
	programs := flags.String("programs", "", "folder of pumiceline-proxy and pumiceline-coordinator; by default the one of this program")
	first := flags.Uint64("first-seed", 1, "first seed")
	seeds := flags.Uint64("seeds", 1, "number of seeds")
	phase := flags.Duration("duration", defaultSoakPhase, "how long faults are injected in a run")
	processes := flags.Int("processes", defaultSoakProcesses, "coordinators and proxies together")
	losses := flags.Bool("losses", false, "run coordinators alone under losses within the tolerance, counted as operators count them; the seed draws their number")
	outages := flags.Bool("holder-outages", false, "cut the lease holder off from the platform again and again, in place of signals, restarts and changes")
	applications := flags.Bool("applications", true, "call for locks, numbers, keys and watches too")
	asJSON := flags.Bool("json", false, "print one JSON object per seed")
	histories := flags.String("histories", "", "folder that gets the history of each run, as SEED.json")
	showPhases := flags.Bool("phases", false, "print the phases of each run")
	return &ffcli.Command{
		Name: "soak", ShortUsage: "pumicectl soak [flags]", FlagSet: flags,
		ShortHelp: "run the system on loopback under series of signals, restarts and changes, and check the rules",
		Exec: func(ctx context.Context, _ []string) error {
			options := soak.Options{Programs: *programs, FaultPhase: *phase, Processes: *processes, Applications: *applications,
				Losses: *losses, HolderOutages: *outages, HistoryDir: *histories}
			if options.Programs == "" {
				own, err := os.Executable()
				if err != nil {
					return errors.Wrap(err, "locate the programs")
				}
				options.Programs = filepath.Dir(own)
			}
			if *showPhases {
				options.Progress = os.Stderr
			}
			return runSoak(ctx, options, *first, *seeds, *asJSON)
		},
	}
}

// runSoak runs the seeds in order and prints the result of each. It stops when ctx ends or a run returns an error.
func runSoak(ctx context.Context, options soak.Options, first, seeds uint64, asJSON bool) error {
	failed := 0
	for seed := first; seed < first+seeds; seed++ {
		options.Seed = seed
		result, err := soak.Run(ctx, options)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if err := printSoakResult(result, asJSON); err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			failed++
		}
	}
	if !asJSON {
		fmt.Printf("%d seeds, %d broke a rule\n", seeds, failed)
	}
	return faultsFoundIf(failed > 0)
}

func printSoakResult(result *soak.Result, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
			return errors.Wrap(err, "print the result")
		}
	} else {
		fmt.Println(result)
	}
	for i, violation := range result.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(os.Stderr, "and %d more\n", len(result.Violations)-i)
			break
		}
		fmt.Fprintf(os.Stderr, "seed %d: %v\n  plays again with: %s\n", result.Seed, violation, result.Command)
	}
	return nil
}
