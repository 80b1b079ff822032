package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"pumiceline/internal/faulttest/clustertest"
)

type stageOwnersCmd struct {
	Seed      uint64        `help:"What the faults are drawn from." default:"1"`
	Members   int           `help:"Of the quorum: 1, 3, 5 or 7." default:"5"`
	Instances int           `help:"That do the work." default:"30"`
	Works     int           `help:"Pieces of work." default:"4"`
	Lease     time.Duration `help:"A lease." default:"1s"`
	Length    time.Duration `help:"For how long faults begin." default:"60s"`
	Unfenced  bool          `help:"The recorder takes whatever comes: the checker must find harm."`
	Out       string        `help:"File for the verdict and the history, as JSON." type:"path"`
}

// Run plays faults drawn from a seed and fails where an effect counted out of turn, or a work was not owned again.
func (c *stageOwnersCmd) Run(out output) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	v, err := clustertest.Play(program, &clustertest.Options{Seed: c.Seed, Members: c.Members, Instances: c.Instances, Works: c.Works, Lease: c.Lease, Length: c.Length,
		Unfenced: c.Unfenced})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "seed %d: %d effects counted, %d late ones refused, %d hand-overs, longest gap %.1f s, all owned again %.1f s after the last fault, %d harms, linearizable %v\n",
		v.Seed, v.Taken, v.Refused, v.HandOvers, v.Longest(), v.AgainS, v.Harms, v.Linear)
	if err := keepVerdict(c.Out, v); err != nil {
		return err
	}
	if len(v.Why) > 0 {
		return fmt.Errorf("stage: %s; again with: pumiceline stage owners --seed %d", strings.Join(v.Why, "; "), c.Seed)
	}
	return nil
}

type stageRosterCmd struct {
	Members   int           `help:"Of the quorum: 1, 3, 5 or 7." default:"5"`
	Instances int           `help:"Each with a copy of the roster." default:"60"`
	Lease     time.Duration `help:"A lease." default:"2s"`
	Calm      time.Duration `help:"For how long calls are counted before the owner is killed." default:"10s"`
	Proxies   int           `help:"That serve a load meanwhile: as many ask discovery as ask a copy." default:"2"`
}

// Run starts members and instances, counts what discovery is asked, and kills the owner.
func (c *stageRosterCmd) Run(out output) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	v, err := clustertest.PlayRoster(program, &clustertest.RosterOptions{Members: c.Members, Instances: c.Instances, Lease: c.Lease, Calm: c.Calm, Proxies: c.Proxies})
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("stage: %w", err)
	}
	fmt.Fprintln(out, string(text))
	return nil
}
