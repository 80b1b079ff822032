package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/docreader"
)

// configCheckCommand checks a configuration without a coordinator.
func configCheckCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "pumicectl config check FILE", ShortHelp: "show every fault of a configuration and its path",
		Exec: func(_ context.Context, args []string) error {
			return checkFile(args, func(document []byte) (string, error) {
				config, err := configuration.ParseNew(document)
				if err != nil {
					return "", err
				}
				return fmt.Sprintf("version %d: %d routes, %d services, no fault", config.Version, len(config.Routes), len(config.Services)), nil
			})
		},
	}
}

// checkSettingsCommand checks the settings file of a process.
func checkSettingsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "check-settings", ShortUsage: "pumicectl check-settings FILE", ShortHelp: "show every fault of a settings file and its path",
		Exec: func(_ context.Context, args []string) error {
			return checkFile(args, func(text []byte) (string, error) {
				_, err := bootstrap.Parse(text)
				return "no fault", err
			})
		},
	}
}

// checkFile reads the file that the only argument names, and prints its faults, or the summary that check returns.
func checkFile(args []string, check func(text []byte) (summary string, err error)) error {
	if len(args) != 1 {
		return flag.ErrHelp
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	summary, err := check(text)
	if err != nil {
		printFaults(args[0], err)
		return errFaultsFound
	}
	fmt.Println(summary)
	return nil
}

// printFaults prints the faults of a file, one per line.
func printFaults(file string, err error) {
	var faults *docreader.Error
	if !errors.As(err, &faults) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return
	}
	for _, finding := range faults.Findings {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, finding)
	}
	if faults.HasMore {
		fmt.Fprintf(os.Stderr, "%s: and more faults\n", file)
	}
}
