package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pumiceline/internal/coordinationclient"
	"pumiceline/internal/message"
)

// defaultHold is how long a lock is held where --hold is not given.
const defaultHold = 30 * time.Second

// locksCommand acquires, renews and releases locks.
func locksCommand(out io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name: "locks", ShortUsage: "pumicectl locks <acquire|renew|release>", ShortHelp: "acquire, renew and release locks of applications",
		Subcommands: []*ffcli.Command{locksAcquireCommand(out), locksRenewCommand(out), locksReleaseCommand(out)},
		Exec:        showHelp,
	}
}

// lockFlags are the flags of the commands on locks.
type lockFlags struct {
	*applicationFlags
	owner string
	hold  time.Duration
	token uint64
}

func newLockFlags(command string) (*lockFlags, *flag.FlagSet) {
	application, flags := newApplicationFlags("locks " + command)
	f := &lockFlags{applicationFlags: application}
	flags.StringVar(&f.owner, "owner", "", "name of the owner; who asks under the holder's name is taken for the holder")
	return f, flags
}

func (f *lockFlags) registerHold(flags *flag.FlagSet) {
	flags.DurationVar(&f.hold, "hold", defaultHold, "how long the lock is held unless it is renewed, from 1ms to 10m")
}

func (f *lockFlags) registerToken(flags *flag.FlagSet) {
	flags.Uint64Var(&f.token, "token", 0, "fencing token that acquire printed")
}

// lock returns the lock that the arguments name. The error is flag.ErrHelp where one is missing.
func (f *lockFlags) lock(args []string) (*coordinationclient.Lock, error) {
	if len(args) != 1 || f.owner == "" {
		return nil, flag.ErrHelp
	}
	client, err := f.client()
	if err != nil {
		return nil, err
	}
	return client.NewLock(message.LockName(args[0]), message.OwnerName(f.owner), f.hold), nil
}

// heldLock is lock for commands that need the fencing token too. The error is flag.ErrHelp where the token is missing.
func (f *lockFlags) heldLock(args []string) (*coordinationclient.Lock, error) {
	if f.token == 0 {
		return nil, flag.ErrHelp
	}
	return f.lock(args)
}

// lockState is the output of acquire and renew with --json.
type lockState struct {
	Lock  string               `json:"lock"`
	Owner string               `json:"owner"`
	Token message.FencingToken `json:"fenceNo"`
	Until time.Time            `json:"until"` // by this machine's clock
}

func (f *lockFlags) printHold(out io.Writer, lock string, hold *coordinationclient.Hold) error {
	until := hold.Until()
	result := lockState{Lock: lock, Owner: f.owner, Token: hold.Token(), Until: until.Round(0)}
	return f.print(out, result, fmt.Sprintf("held until %s, token %d", until.Format(time.TimeOnly), hold.Token()))
}

func locksAcquireCommand(out io.Writer) *ffcli.Command {
	f, flags := newLockFlags("acquire")
	f.registerHold(flags)
	return &ffcli.Command{
		Name: "acquire", ShortUsage: "pumicectl locks acquire --control ADDRESS,... --owner OWNER [--hold 30s] LOCK", FlagSet: flags,
		ShortHelp: "acquire a lock, or acquire it again as its holder",
		Exec: func(ctx context.Context, args []string) error {
			lock, err := f.lock(args)
			if err != nil {
				return err
			}
			hold, err := lock.Acquire(ctx)
			if err != nil {
				return err
			}
			return f.printHold(out, args[0], hold)
		},
	}
}

func locksRenewCommand(out io.Writer) *ffcli.Command {
	f, flags := newLockFlags("renew")
	f.registerHold(flags)
	f.registerToken(flags)
	return &ffcli.Command{
		Name: "renew", FlagSet: flags, ShortHelp: "hold a lock for longer",
		ShortUsage: "pumicectl locks renew --control ADDRESS,... --owner OWNER --token TOKEN [--hold 30s] LOCK",
		Exec: func(ctx context.Context, args []string) error {
			lock, err := f.heldLock(args)
			if err != nil {
				return err
			}
			hold, err := lock.Renew(ctx, message.FencingToken(f.token))
			if err != nil {
				return err
			}
			return f.printHold(out, args[0], hold)
		},
	}
}

func locksReleaseCommand(out io.Writer) *ffcli.Command {
	f, flags := newLockFlags("release")
	f.registerToken(flags)
	return &ffcli.Command{
		Name: "release", ShortUsage: "pumicectl locks release --control ADDRESS,... --owner OWNER --token TOKEN LOCK", FlagSet: flags,
		ShortHelp: "give a lock back; one that is not held any more stays as it is",
		Exec: func(ctx context.Context, args []string) error {
			lock, err := f.heldLock(args)
			if err != nil {
				return err
			}
			if err := lock.Release(ctx, message.FencingToken(f.token)); err != nil {
				return err
			}
			return f.print(out, struct{}{}, "released")
		},
	}
}
