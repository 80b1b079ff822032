// Command pumicectl is the operator's tool: it reads, checks and changes the configuration, shows how the system
// stands, and plays simulated clusters.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitFailure = 1 // the command was carried out and found a fault
	exitUsage   = 2
)

// errFound says that a command found faults, which it has printed.
var errFound = errors.New("faults were found")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		Name: "pumicectl", ShortUsage: "pumicectl <command> [flags]", ShortHelp: "operate the system",
		Subcommands: []*ffcli.Command{configCommand(), statusCommand(), simulateCommand(), checkSettingsCommand(), tryCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	if err := root.Parse(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "pumicectl:", err)
		}
		os.Exit(exitUsage)
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(exitUsage)
	case errors.Is(err, errFound):
		os.Exit(exitFailure)
	default:
		fmt.Fprintln(os.Stderr, "pumicectl:", err)
		os.Exit(exitFailure)
	}
}
