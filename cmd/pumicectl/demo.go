package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"pumiceline/internal/demo"
)

const (
	defaultDemoLength = 12 * time.Second
	minDemoLength     = time.Second
)

// demoCommand runs the system on loopback. Its name is "try".
func demoCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl try", flag.ContinueOnError)
	programs := flags.String("programs", "", "folder of pumiceline-proxy and pumiceline-coordinator; by default the one of this program")
	length := flags.Duration("for", defaultDemoLength, "how long to send requests")
	showLogs := flags.Bool("logs", false, "show the logs of the processes")
	return &ffcli.Command{
		Name: "try", ShortUsage: "pumicectl try [flags]", FlagSet: flags,
		ShortHelp: "run three coordinators and three proxies on loopback with fake backends, and kill two coordinators under way",
		Exec: func(ctx context.Context, _ []string) error {
			if *length < minDemoLength {
				return errors.New("--for: at least 1s")
			}
			options := demo.Options{Programs: *programs, LoadPeriod: *length, Progress: os.Stdout}
			if options.Programs == "" {
				own, err := os.Executable()
				if err != nil {
					return errors.Wrap(err, "locate the programs")
				}
				options.Programs = filepath.Dir(own)
			}
			if *showLogs {
				options.Log = os.Stderr
			}
			return runDemo(ctx, options)
		},
	}
}

func runDemo(ctx context.Context, options demo.Options) error {
	result, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	printDemoResult(os.Stdout, result)
	if err := result.Violation(); err != nil {
		fmt.Fprintln(os.Stderr, "fault:", err)
		return errFaultsFound
	}
	return nil
}

func printDemoResult(out io.Writer, r *demo.Result) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "REQUESTS\tSERVED\tREFUSED\tFAILED\tRUN TWICE\tINCOMPLETE")
	for _, row := range []struct {
		name  string
		count demo.RequestCounts
	}{{"streams", r.Streams}, {"documents", r.Documents}} {
		c := row.count
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\n", row.name, c.Served, c.Rejected, c.Failed, c.Duplicated, c.Incomplete)
	}
	_ = table.Flush() // a closed pipe ends the program
	fmt.Fprintf(out, "models loaded by order: %d\n", r.ModelLoads)
	fmt.Fprintf(out, "changes acknowledged: %d, the last is version %d, read back: %d\n", r.AcknowledgedChanges, r.AcknowledgedVersion, r.ReadVersion)
	fmt.Fprintf(out, "election: %d terms, at most %d leader at a time, without a leader for at most %v; the issuer %s was killed\n",
		r.Election.Terms, r.Election.LeadersAtOnce, r.Election.LongestVacancy.Round(time.Millisecond), r.KilledIssuer)
	fmt.Fprintf(out, "killed: %s; longest time between acknowledgements: %v\n", r.KilledCoordinator, r.LongestGap.Round(time.Millisecond))
}
