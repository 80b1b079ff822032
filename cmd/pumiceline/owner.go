package main

import (
	"bytes"
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
	"net/url"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"pumiceline/internal/mirror"
	"pumiceline/internal/operator"
	"pumiceline/internal/owner"
	"pumiceline/internal/ownership"
	"pumiceline/internal/quorum"
	"pumiceline/internal/standin"
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

func (f *fleetArgs) open(who string) (*operator.Fleet, *slog.Logger, error) {
	fleet, err := operator.ReadFleet(f.Fleet)
	return fleet, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: f.Level})).With("who", who), err
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
	member, err := quorum.Open(quorum.Options{ID: c.ID, Members: fleet.Members, Dir: c.Dir, Settings: fleet.Settings, Log: log})
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
	opts := owner.Options{Name: c.Name, Life: rand.Uint64(), Zone: c.Zone, Build: c.Build, Settings: fleet.Settings, Log: log, Rate: c.ClockRate,
		Members: fleet.Members, Works: map[string]owner.Step{}}
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
		opts.Works[work] = func(ctx context.Context, act owner.Act) error {
			return act(func(e ownership.Effect) error {
				if err := json.NewEncoder(told).Encode(tellEffect{e, time.Now().UnixNano(), "sent"}); err != nil {
					return fmt.Errorf("owner: %w", err)
				}
				did, err := sendEffect(ctx, receiver, c.Name, e)
				return errors.Join(err, json.NewEncoder(told).Encode(tellEffect{e, time.Now().UnixNano(), did}))
			})
		}
	}
	var copy *mirror.Mirror // its work's step says whether discovery is heard here
	if fleet.Roster != "" && c.Mirror != "" {
		opts.Addr = c.Mirror
		opts.Works[fleet.Roster] = func(context.Context, owner.Act) error {
			if !copy.Direct() {
				return errors.New("owner: discovery is not heard here")
			}
			return nil
		}
	}
	agent, err := owner.New(opts)
	if err != nil {
		return err
	}
	if opts.Addr == "" {
		agent.Run(stop)
		return nil
	}
	copy = mirror.New(mirror.Options{Discovery: fleet.Discovery, Spread: time.Duration(fleet.Settings.Lease) * time.Microsecond, Log: log,
		Owner: func() (string, uint64, bool) { return agent.Owner(fleet.Roster) }}, time.Now())
	ln, err := net.Listen("tcp", c.Mirror)
	if err != nil {
		return fmt.Errorf("owner: %w", err)
	}
	running, end := context.WithCancel(context.Background())
	server := &http.Server{Handler: copy, ReadHeaderTimeout: 5 * time.Second}
	var all sync.WaitGroup
	all.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			log.Error("the mirror no longer listens", "error", err)
		}
	})
	all.Go(func() { copy.Run(running) })
	agent.Run(stop)
	end()
	server.Close()
	all.Wait()
	return nil
}

// tellEffect is a line of a history: when an effect was sent, or what came of it.
type tellEffect struct {
	ownership.Effect
	At  int64  `json:"at"`  // Unix time in nanoseconds
	Did string `json:"did"` // sent, taken, refused, unknown
}

// sendEffect sends an effect to its receiver and says what came of it. An error says that it may not have come, or why it does not count.
func sendEffect(ctx context.Context, receiver, from string, e ownership.Effect) (did string, err error) {
	text, err := json.Marshal(e)
	if err != nil {
		return "unknown", fmt.Errorf("owner: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, receiver, bytes.NewReader(text))
	if err != nil {
		return "unknown", fmt.Errorf("owner: %w", err)
	}
	req.GetBody = nil // written once: a second copy would not count, but it would look like a fault of the work
	req.Header.Set("X-From", from)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "unknown", fmt.Errorf("owner: %w", err)
	}
	defer resp.Body.Close()
	why, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	switch resp.StatusCode {
	case http.StatusOK:
		return "taken", nil
	case http.StatusConflict:
		did = "refused"
	default:
		did = "unknown"
	}
	return did, fmt.Errorf("owner: effect %d of token %d: %s: %s", e.Serial, e.Token, resp.Status, bytes.TrimSpace(why))
}

type ownerStatusCmd struct {
	fleetArgs
	JSON bool `help:"As JSON."`
}

// fleetStatus is what the members say.
type fleetStatus struct {
	Quorum  bool                     `json:"quorum"` // a majority follows one leader
	Members map[uint64]quorum.Status `json:"members"`
	Silent  map[uint64]string        `json:"silent,omitempty"` // by member, why nothing is known of it
}

// askMembers asks all members how they are, by a moment.
func askMembers(by time.Time, fleet *operator.Fleet) fleetStatus {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	type said struct {
		id  uint64
		s   quorum.Status
		err error
	}
	all := make(chan said, len(fleet.Members))
	for id, addr := range fleet.Members {
		go func() {
			one := said{id: id}
			var resp *http.Response
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/status", nil)
			if err == nil {
				resp, err = http.DefaultClient.Do(req)
			}
			if err == nil {
				err = json.NewDecoder(resp.Body).Decode(&one.s)
				resp.Body.Close()
			}
			one.err = err
			all <- one
		}()
	}
	out, follow := fleetStatus{Members: map[uint64]quorum.Status{}, Silent: map[uint64]string{}}, map[uint64]int{}
	for range fleet.Members {
		if one := <-all; one.err != nil {
			out.Silent[one.id] = one.err.Error()
		} else {
			out.Members[one.id] = one.s
			follow[one.s.Leader]++
		}
	}
	for leader, n := range follow {
		out.Quorum = out.Quorum || leader != 0 && n > len(fleet.Members)/2
	}
	return out
}

// latest is the status of the member that knows most: the leader's, or that of who has applied most.
func (f *fleetStatus) latest() (best quorum.Status) {
	for id, s := range f.Members {
		if s.Leader == id || best.Leader != best.ID && s.Applied >= best.Applied || best.ID == 0 {
			best = s
		}
	}
	return best
}

// Run shows the members and the work. It fails where there is no quorum: then nothing new is owned.
func (c *ownerStatusCmd) Run(out output) error {
	fleet, _, err := c.open("status")
	if err != nil {
		return err
	}
	s := askMembers(time.Now().Add(time.Second), fleet)
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
				fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%d\t%d\n", id, fleet.Members[id], m.Leader, m.Term, m.Applied, m.Changes)
			} else {
				fmt.Fprintf(t, "%d\t%s\tsilent: %s\n", id, fleet.Members[id], s.Silent[id])
			}
		}
		latest := s.latest()
		fmt.Fprintln(t, "\nWORK\tOWNER\tTOKEN\tPROGRESS\tWANTED")
		for _, work := range slices.Sorted(maps.Keys(latest.Works)) {
			w, age := latest.Works[work], "unknown"
			if ms, there := latest.AgeMs[work]; there {
				age = fmt.Sprintf("%d ms ago", ms)
			}
			owner := w.Owner
			if owner == "" {
				owner, age = "nobody", "-"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", work, owner, w.Token, age, w.Want)
		}
		if err := t.Flush(); err != nil {
			return fmt.Errorf("owner: %w", err)
		}
	}
	if !s.Quorum {
		return errors.New("owner: no majority of the members follows one leader: nothing new is owned until one does")
	}
	return nil
}

// tell asks the leader to do something, by a moment.
func tell(by time.Time, fleet *operator.Fleet, path string) error {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	s := askMembers(by, fleet)
	if leader := s.latest(); s.Quorum && leader.ID == leader.Leader {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fleet.Members[leader.ID]+path, nil)
		if err != nil {
			return fmt.Errorf("owner: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return fmt.Errorf("owner: %w", err)
		}
		defer resp.Body.Close()
		if why, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10)); resp.StatusCode != http.StatusAccepted {
			return fmt.Errorf("owner: %s: %s", resp.Status, bytes.TrimSpace(why))
		}
		return nil
	}
	return errors.New("owner: no member leads")
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
	return tell(time.Now().Add(2*time.Second), fleet, "/v1/works/"+url.PathEscape(c.Work)+"/free")
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
	return tell(time.Now().Add(2*time.Second), fleet, "/v1/works/"+url.PathEscape(c.Work)+"/want?who="+url.QueryEscape(c.To))
}

type ownerReceiveCmd struct {
	Listen   string `help:"Where to listen." default:"127.0.0.1:7310"`
	File     string `help:"Where effects are written down, a line each." type:"path" required:""`
	Unfenced bool   `help:"Take whatever comes, as a system that can't compare tokens would."`
}

// Run records effects until told to stop.
func (c *ownerReceiveCmd) Run() error {
	r, err := standin.NewRecorder(c.File)
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
