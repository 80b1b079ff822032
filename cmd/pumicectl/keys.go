package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"pumiceline/internal/coordinationclient"
	"pumiceline/internal/message"
)

// keysCommand reads and sets keys.
func keysCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "keys", ShortUsage: "pumicectl keys <get|put>", ShortHelp: "read and set small keys of applications",
		Subcommands: []*ffcli.Command{keysGetCommand(out), keysPutCommand(out)},
		Exec:        showHelp,
	}
}

// keyState is the output of get and put with --json.
type keyState struct {
	Key      string           `json:"name"`
	Value    string           `json:"value"`
	Revision message.Revision `json:"revision"`
}

func keysGetCommand(out io.Writer) *ffcli.Command {
	f, flags := newApplicationFlags("keys get")
	return &ffcli.Command{
		Name: "get", ShortUsage: "pumicectl keys get --control ADDRESS,... KEY", FlagSet: flags,
		ShortHelp: "print the revision and value of a key",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			entry, err := client.NewKey(message.KeyName(args[0])).Get(ctx)
			if err != nil {
				return err
			}
			return f.print(out, keyState{args[0], entry.Value, entry.Revision}, fmt.Sprintf("%d %s", entry.Revision, entry.Value))
		},
	}
}

// anyRevision is the value of --if-revision for a put that takes effect at any revision of the key.
const anyRevision = -1

func putKey(ctx context.Context, key *coordinationclient.Key, value string, ifRevision int64) (message.Revision, error) {
	if ifRevision == anyRevision {
		return key.Set(ctx, value)
	}
	if ifRevision < 0 {
		return 0, errors.New("--if-revision: must be -1 or more")
	}
	return key.Put(ctx, value, message.Revision(ifRevision))
}

func keysPutCommand(out io.Writer) *ffcli.Command {
	f, flags := newApplicationFlags("keys put")
	ifRevision := flags.Int64("if-revision", anyRevision, "revision that the key must have; 0: it was never put; -1: any")
	return &ffcli.Command{
		Name: "put", ShortUsage: "pumicectl keys put --control ADDRESS,... [--if-revision REVISION] KEY VALUE", FlagSet: flags,
		ShortHelp: "set a key to a value that it never had, and print its new revision",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			client, err := f.client()
			if err != nil {
				return err
			}
			revision, err := putKey(ctx, client.NewKey(message.KeyName(args[0])), args[1], *ifRevision)
			if err != nil {
				return err
			}
			return f.print(out, keyState{args[0], args[1], revision}, fmt.Sprintf("acknowledged at revision %d", revision))
		},
	}
}
