package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// configCommand reads, checks and changes the configuration.
func configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "pumicectl config <get|put|patch|diff|check>", ShortHelp: "read, check and change the configuration",
		Subcommands: []*ffcli.Command{
			configGetCommand(), configChangeCommand("put", http.MethodPut), configChangeCommand("patch", http.MethodPatch),
			configDiffCommand(), configCheckCommand(),
		},
		Exec: showHelp,
	}
}

func configGetCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl config get", flag.ContinueOnError)
	c := &coordinators{}
	c.register(flags)
	return &ffcli.Command{
		Name: "get", ShortUsage: "pumicectl config get --control ADDRESS,...", FlagSet: flags,
		ShortHelp: "print the newest acknowledged configuration",
		Exec: func(ctx context.Context, _ []string) error {
			document, err := c.readConfiguration(ctx)
			if err != nil {
				return err
			}
			fmt.Println(string(document))
			return nil
		},
	}
}

// configChangeCommand sends a file as a PUT or PATCH.
func configChangeCommand(name, method string) *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl config "+name, flag.ContinueOnError)
	c := &coordinators{}
	c.register(flags)
	base := flags.String("base", "", "version that the change is based on (If-Match); 0 for the first configuration")
	return &ffcli.Command{
		Name: name, ShortUsage: "pumicectl config " + name + " --control ADDRESS,... --base VERSION FILE", FlagSet: flags,
		ShortHelp: "send a change and wait until it is acknowledged",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || *base == "" {
				return flag.ErrHelp
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			r, err := c.send(ctx, request{method: method, path: "/config", ifMatch: *base, body: body})
			if err != nil {
				return err
			}
			if r.status != http.StatusOK {
				fmt.Fprintf(os.Stderr, "refused with %d: %s\n", r.status, r.body)
				return errFaultsFound
			}
			fmt.Println("acknowledged")
			return nil
		},
	}
}

func configDiffCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl config diff", flag.ContinueOnError)
	c := &coordinators{}
	c.register(flags)
	return &ffcli.Command{
		Name: "diff", ShortUsage: "pumicectl config diff --control ADDRESS,... FILE", FlagSet: flags,
		ShortHelp: "show which named items of a file differ from the configuration in force",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			target, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			current, err := c.readConfiguration(ctx)
			if err != nil {
				return err
			}
			lines, err := diff(current, target)
			if err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Println(line)
			}
			return nil
		},
	}
}
