package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/singleton/raftmember"
	"pumiceline/internal/standalone/deployfile"
)

// singletonCmd is `pumiceline singleton`: the members that agree on who holds which role, the instances that carry the
// roles out, and the operators' requests. Its alias `owner` is its earlier name.
type singletonCmd struct {
	Member  singletonMemberCmd  `cmd:"" help:"Run one of the members that agree on who holds which role."`
	Run     singletonRunCmd     `cmd:"" help:"Run an instance that carries out the roles that it holds, until it is stopped."`
	Status  singletonStatusCmd  `cmd:"" help:"Show the members, and who holds which role."`
	Release singletonReleaseCmd `cmd:"" help:"End the lease of a role's holder; another instance may get it."`
	Move    singletonMoveCmd    `cmd:"" help:"Have a role go to an instance."`
	Receive singletonReceiveCmd `cmd:"" help:"Run a fake of an outside system that records effects with their fencing tokens."`
}

// fleetFlags are the flags of all commands that need the fleet's file.
type fleetFlags struct {
	Fleet string     `help:"The fleet's file (deploy/fleet.toml)." type:"existingfile" required:""`
	Level slog.Level `help:"Least level of the log lines that are written." default:"INFO"`
}

// open reads the fleet's file and returns a logger that adds the name of the process to each line.
func (f *fleetFlags) open(process string) (*deployfile.Fleet, *slog.Logger, error) {
	signal.Ignore(syscall.SIGPIPE) // it would end the process when the reader of the log has gone
	fleet, err := deployfile.ReadFleet(f.Fleet)
	return fleet, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: f.Level})).With("who", process), err
}

// readHeaderTimeout limits how long a client of the receiver or of the discovery cache may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// untilSignal returns a context that ends at SIGTERM or SIGINT.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type singletonMemberCmd struct {
	fleetFlags
	ID     uint64 `help:"This member's number in the file." required:""`
	Dir    string `help:"Folder of its store: vote, log and snapshots." type:"existingdir" required:""`
	Listen string `help:"Where to listen, where that is not the address in the file."`

	VolatileDir string `help:"Folder in memory for the mark that proves the store to be the newest after a restart of the process, such as a tmpfs. Without one every other member has to accept each start." type:"existingdir"`
	TrustDisk   bool   `help:"Start though not every other member can accept the store: it is known to be the newest one."`
}

// Run runs the member until it is stopped. It returns an error if the member's disk fails or is older than the writes
// that the member acknowledged, or if the member is started elsewhere.
func (c *singletonMemberCmd) Run() error {
	fleet, log, err := c.open(fmt.Sprint("member ", c.ID))
	if err != nil {
		return err
	}
	ctx, cancel := untilSignal()
	defer cancel()
	// A write beyond the limit on file sizes then returns an error instead of crashing the process.
	signal.Ignore(syscall.SIGXFSZ)
	member, err := raftmember.Open(raftmember.Options{Fleet: fleet.Name, ID: c.ID, Members: fleet.Members, Dir: c.Dir,
		Settings: fleet.Settings, Log: log, VolatileDir: c.VolatileDir, TrustDisk: c.TrustDisk})
	if err != nil {
		return err
	}
	if c.Listen == "" {
		c.Listen = fleet.Members[c.ID]
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("member %d: %w", c.ID, err)
	}
	return member.Run(ctx, ln)
}

type singletonReceiveCmd struct {
	Listen   string `help:"Where to listen." default:"127.0.0.1:7310"`
	File     string `help:"Where effects are recorded, a line each." type:"path" required:""`
	Unfenced bool   `help:"Accept whatever comes, as a system that can't compare tokens would."`
}

// Run records effects until it is stopped.
func (c *singletonReceiveCmd) Run() error {
	r, err := fakestandalone.NewRecorder(c.File)
	if err != nil {
		return err
	}
	defer r.Close()
	r.Unfenced = c.Unfenced
	ctx, cancel := untilSignal()
	defer cancel()
	server := &http.Server{Addr: c.Listen, Handler: r, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("recorder of effects: %w", err)
	}
	return nil
}
