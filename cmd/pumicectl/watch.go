package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/samber/lo"

	"pumiceline/internal/coordinationclient"
	"pumiceline/internal/message"
)

// watchCommand prints the puts to a group of keys until it is interrupted.
func watchCommand(out io.Writer) *ffcli.Command {
	f, flags := newApplicationFlags("watch")
	after := flags.Uint64("after", 0, "revision after which puts are wanted; 0: the present one")
	return &ffcli.Command{
		Name: "watch", ShortUsage: "pumicectl watch --control ADDRESS,... [--after REVISION] GROUP", FlagSet: flags,
		ShortHelp: "print the puts to a group of keys (their names up to the first dot, dot included) as they take effect",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			return f.printBatches(ctx, out, client.NewWatch(message.KeyGroup(args[0]), message.Revision(*after)))
		},
	}
}

// printBatches prints the batches that a watch returns. An interrupt ends it without an error.
func (f *applicationFlags) printBatches(ctx context.Context, out io.Writer, watch *coordinationclient.Watch) error {
	for {
		batch, err := watch.Next(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := f.print(out, batch, describeBatch(batch)); err != nil {
			return err
		}
	}
}

func describeBatch(batch coordinationclient.Batch) string {
	if batch.IsReset {
		return fmt.Sprintf("at revision %d; puts up to it are not shown", batch.Revision)
	}
	return strings.Join(lo.Map(batch.Events, func(e coordinationclient.Event, _ int) string {
		return fmt.Sprintf("%d %s %s", e.Revision, e.Key, e.Value)
	}), "\n")
}
