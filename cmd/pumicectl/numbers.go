package main

import (
	"context"
	"flag"
	"io"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pumiceline/internal/message"
)

// numbersCommand draws numbers that never repeat.
func numbersCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "numbers", ShortUsage: "pumicectl numbers next", ShortHelp: "draw numbers that never repeat",
		Subcommands: []*ffcli.Command{numbersNextCommand(out)},
		Exec:        showHelp,
	}
}

// drawnNumber is the output of next with --json.
type drawnNumber struct {
	Counter string `json:"counter"`
	Number  uint64 `json:"value"`
}

func numbersNextCommand(out io.Writer) *ffcli.Command {
	f, flags := newApplicationFlags("numbers next")
	return &ffcli.Command{
		Name: "next", ShortUsage: "pumicectl numbers next --control ADDRESS,... COUNTER", FlagSet: flags,
		ShortHelp: "draw a number above all that were given under the name",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			number, err := client.NewCounter(message.KeyName(args[0])).Next(ctx)
			if err != nil {
				return err
			}
			return f.print(out, drawnNumber{args[0], number}, strconv.FormatUint(number, 10))
		},
	}
}
