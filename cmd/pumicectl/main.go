// Command pumicectl is the operator's tool: it reads, checks and changes the configuration, shows the state of each
// coordinator, uses locks, numbers, keys and watches as applications do, simulates clusters of coordinators, and runs the
// system on loopback as a demonstration.
//
// Exit codes: 0 done; 1 a fault was found, a change was rejected, or the command failed; 2 wrong usage.
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
	exitFailure = 1
	exitUsage   = 2
)

// errFaultsFound is returned by a command that was carried out and has printed the faults that it found.
var errFaultsFound = errors.New("faults were found")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &ffcli.Command{
		Name: "pumicectl", ShortUsage: "pumicectl <command> [flags]", ShortHelp: "operate the system",
		Subcommands: []*ffcli.Command{
			configCommand(), statusCommand(),
			locksCommand(os.Stdout), numbersCommand(os.Stdout), keysCommand(os.Stdout), watchCommand(os.Stdout),
			simulateCommand(), simulateCoordinationCommand(), soakCommand(), checkSettingsCommand(), demoCommand(),
		},
		Exec: showHelp,
	}
	if err := root.Parse(os.Args[1:]); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			printError(err)
		}
		os.Exit(exitUsage)
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
	case errors.Is(err, flag.ErrHelp):
		os.Exit(exitUsage)
	case errors.Is(err, errFaultsFound):
		os.Exit(exitFailure)
	default:
		printError(err)
		os.Exit(exitFailure)
	}
}

func printError(err error) { fmt.Fprintln(os.Stderr, "pumicectl:", err) }

// showHelp is the Exec of commands that only have subcommands.
func showHelp(context.Context, []string) error { return flag.ErrHelp }
