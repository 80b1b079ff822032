package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"pumiceline/internal/fake/fakestandalone"
	"pumiceline/internal/singleton"
	"pumiceline/internal/singleton/leaseclient"
	"pumiceline/internal/singleton/raftmember"
	"pumiceline/internal/standalone/deployfile"
	"pumiceline/internal/standalone/discoverycache"
)

// ownerCmd is the fleet's work: who agrees on it, who does it, and what operators may ask.
type ownerCmd struct {
	Member  ownerMemberCmd  `cmd:"" help:"Be one of the few that agree on who owns which work."`
	Run     ownerRunCmd     `cmd:"" help:"Be an instance that does the work that it owns, until told to stop."`
	Status  ownerStatusCmd  `cmd:"" help:"Show the members, and who owns what."`
	Release ownerReleaseCmd `cmd:"" help:"Take a work away from its owner; somebody else may get it."`
	Move    ownerMoveCmd    `cmd:"" help:"Have a work go to an instance."`
	Receive ownerReceiveCmd `cmd:"" help:"Stand in for an outside system that records effects with their tokens."`
}

// fleetArgs are what all of them take.
type fleetArgs struct {
	Fleet string     `help:"The fleet's file (deploy/fleet.toml)." type:"existingfile" required:""`
	Level slog.Level `help:"Least level of the log lines that are written." default:"INFO"`
}

func (f *fleetArgs) open(who string) (*deployfile.Fleet, *slog.Logger, error) {
	fleet, err := deployfile.ReadFleet(f.Fleet)
	return fleet, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: f.Level})).With("who", who), err
}

const (
	statusTimeout  = time.Second     // for all members' status
	requestTimeout = 2 * time.Second // for a request to the leader, which has to be found first
)

func membersOf(fleet *deployfile.Fleet) *raftmember.Client {
	return &raftmember.Client{Fleet: fleet.Name, Members: fleet.Members}
}

// untilTold ends at SIGTERM or SIGINT.
func untilTold() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

type ownerMemberCmd struct {
	fleetArgs
	ID     uint64 `help:"This member's number in the file." required:""`
	Dir    string `help:"Folder for what it may not forget." type:"existingdir" required:""`
	Listen string `help:"Where to listen, where that is not the address in the file."`
}

// Run takes part until told to stop. It ends with an error where its disk fails or is older than it should be.
func (c *ownerMemberCmd) Run() error {
	fleet, log, err := c.open(fmt.Sprint("member ", c.ID))
	if err != nil {
		return err
	}
	stop, cancel := untilTold()
	defer cancel()
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is an error with its place, and no crash
	member, err := raftmember.Open(raftmember.Options{Fleet: fleet.Name, ID: c.ID, Members: fleet.Members, Dir: c.Dir, Settings: fleet.Settings, Log: log})
	if err != nil {
		return err
	}
	if c.Listen == "" {
		c.Listen = fleet.Members[c.ID]
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	return member.Run(stop, ln)
}

type ownerRunCmd struct {
	fleetArgs
	Name      string  `help:"This instance's name." required:""`
	Zone      string  `help:"Where it stands: of two that own as much, the one whose zone owns less gets the next."`
	Build     uint64  `help:"Newer builds are preferred."`
	Mirror    string  `help:"Where to serve the copy of the roster, for proxies here and mirrors elsewhere; none if it is not given."`
	History   string  `help:"File for when each effect was sent and what came of it, a JSON object a line." type:"path"`
	ClockRate float64 `hidden:"" help:"Of this process's clock, for tests." default:"1"`
}

// Run does what this instance owns: a step is one effect, sent to the work's receiver.
func (c *ownerRunCmd) Run() error {
	fleet, log, err := c.open(c.Name)
	if err != nil {
		return err
	}
	stop, cancel := untilTold()
	defer cancel()
	opts := leaseclient.Options{Fleet: fleet.Name, Name: c.Name, Life: singleton.Incarnation(rand.Uint64()), Zone: c.Zone, Build: c.Build, Settings: fleet.Settings, Log: log, Rate: c.ClockRate,
		Members: fleet.Members, Works: map[string]leaseclient.Step{}}
	told := io.Discard
	if c.History != "" {
		file, err := os.OpenFile(c.History, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
		if err != nil {
			return fmt.Errorf("owner: %w", err)
		}
		defer file.Close()
		told = file
	}
	for work, receiver := range fleet.Receivers {
		opts.Works[work] = leaseclient.Sender(receiver, c.Name, told)
	}
	var here *discoverycache.Mirror // its work's step says whether discovery is heard here
	if fleet.Roster != "" && c.Mirror != "" {
		opts.Addr = c.Mirror
		opts.Works[fleet.Roster] = func(context.Context, leaseclient.Act) error {
			if !here.Direct() {
				return errors.New("owner: discovery is not heard here")
			}
			return nil
		}
	}
	agent, err := leaseclient.New(opts)
	if err != nil {
		return err
	}
	if opts.Addr == "" {
		agent.Run(stop)
		return nil
	}
	here = discoverycache.New(discoverycache.Options{Discovery: fleet.Discovery, Spread: time.Duration(fleet.Settings.LeaseDuration) * time.Microsecond, Log: log,
		Owner: func() (string, uint64, bool) {
			addr, token, here := agent.Owner(fleet.Roster)
			return addr, uint64(token), here
		}}, time.Now())
	ln, err := net.Listen("tcp", c.Mirror)
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	running, end := context.WithCancel(context.Background())
	server := &http.Server{Handler: here, ReadHeaderTimeout: 5 * time.Second}
	var all sync.WaitGroup
	all.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the mirror no longer listens", "error", err)
		}
	})
	all.Go(func() { here.Run(running) })
	agent.Run(stop)
	end()
	server.Close()
	all.Wait()
	return nil
}

type ownerStatusCmd struct {
	fleetArgs
	JSON bool `help:"As JSON."`
}

// Run shows the members and the work. It fails where there is no quorum: then nothing new is owned.
func (c *ownerStatusCmd) Run(out output) error {
	fleet, _, err := c.open("status")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s := membersOf(fleet).Status(ctx)
	if c.JSON {
		text, err := json.MarshalIndent(s, "", " ")
		if err != nil {
			return fmt.Errorf("owner: %w", err)
		}
		fmt.Fprintln(out, string(text))
	} else {
		t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "MEMBER\tADDRESS\tLEADER\tTERM\tAPPLIED\tCHANGES")
		for _, id := range slices.Sorted(maps.Keys(fleet.Members)) {
			if m, there := s.Members[id]; there {
				fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%d\t%d\n", id, fleet.Members[id], m.Leader, m.Term, m.Applied, m.HolderChanges)
			} else {
				fmt.Fprintf(t, "%d\t%s\tsilent: %s\n", id, fleet.Members[id], s.Unreachable[id])
			}
		}
		latest := s.MostCurrent()
		fmt.Fprintln(t, "\nWORK\tOWNER\tTOKEN\tPROGRESS\tWANTED")
		for _, work := range slices.Sorted(maps.Keys(latest.Assignments)) {
			w, age := latest.Assignments[work], "unknown"
			if ms, there := latest.ProgressAgeMs[work]; there {
				age = fmt.Sprintf("%d ms ago", ms)
			}
			owner := w.Holder
			if owner == "" {
				owner, age = "nobody", "-"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", work, owner, w.Token, age, w.DesiredHolder)
		}
		if err := t.Flush(); err != nil {
			return fmt.Errorf("owner: %w", err)
		}
	}
	if !s.HasQuorum {
		return errors.New("owner: no majority of the members follows one leader: nothing new is owned until one does")
	}
	return nil
}

type ownerReleaseCmd struct {
	fleetArgs
	Work string `arg:"" help:"The work."`
}

// Run takes a work away. Its owner may go on until it hears of it; its effects count no more once another has begun.
func (c *ownerReleaseCmd) Run() error {
	fleet, _, err := c.open("release")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return membersOf(fleet).Release(ctx, c.Work)
}

type ownerMoveCmd struct {
	fleetArgs
	Work string `arg:"" help:"The work."`
	To   string `arg:"" help:"The instance; an empty one takes the wish back." optional:""`
}

// Run has a work go to an instance once its owner has ended the step that is under way.
func (c *ownerMoveCmd) Run() error {
	fleet, _, err := c.open("move")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return membersOf(fleet).SetDesiredHolder(ctx, c.Work, c.To)
}

type ownerReceiveCmd struct {
	Listen   string `help:"Where to listen." default:"127.0.0.1:7310"`
	File     string `help:"Where effects are written down, a line each." type:"path" required:""`
	Unfenced bool   `help:"Take whatever comes, as a system that can't compare tokens would."`
}

// Run records effects until told to stop.
func (c *ownerReceiveCmd) Run() error {
	r, err := fakestandalone.NewRecorder(c.File)
	if err != nil {
		return err
	}
	defer r.Close()
	r.Unfenced = c.Unfenced
	stop, cancel := untilTold()
	defer cancel()
	server := &http.Server{Addr: c.Listen, Handler: r, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(stop, func() { server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("owner: %w", err)
	}
	return nil
}
