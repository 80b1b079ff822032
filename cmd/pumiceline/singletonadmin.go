package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"pumiceline/internal/singleton/raftmember"
	"pumiceline/internal/standalone/deployfile"
)

const (
	statusTimeout  = time.Second     // for the status of all members
	requestTimeout = 2 * time.Second // for a request to the leader, including the time to find it
)

// membersOf returns a client of the admin API of a fleet's members.
func membersOf(fleet *deployfile.Fleet) *raftmember.AdminClient {
	return &raftmember.AdminClient{Fleet: fleet.Name, Members: fleet.Members}
}

type singletonStatusCmd struct {
	fleetFlags
	JSON bool `help:"As JSON."`
}

var errNoQuorum = errors.New("no majority of the members follows one leader: no role is granted until one does")

// Run shows the members and the roles. It returns an error if there is no quorum: no role is granted then.
func (c *singletonStatusCmd) Run(out output) error {
	fleet, _, err := c.open("status")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status := membersOf(fleet).Status(ctx)
	if c.JSON {
		err = printStatusJSON(out, status)
	} else {
		err = printStatusTables(out, fleet, status)
	}
	if err != nil {
		return fmt.Errorf("print status: %w", err)
	}
	if !status.HasQuorum {
		return errNoQuorum
	}
	return nil
}

func printStatusJSON(out io.Writer, status raftmember.FleetStatus) error {
	text, err := json.MarshalIndent(status, "", " ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(text))
	return err
}

// printStatusTables prints a table of the members and one of the roles.
func printStatusTables(out io.Writer, fleet *deployfile.Fleet, status raftmember.FleetStatus) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tADDRESS\tLEADER\tTERM\tAPPLIED\tCHANGES")
	for _, id := range slices.Sorted(maps.Keys(fleet.Members)) {
		if m, reached := status.Members[id]; reached {
			fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%d\t%d\n", id, fleet.Members[id], m.Leader, m.Term, m.Applied, m.HolderChanges)
		} else {
			fmt.Fprintf(t, "%d\t%s\tunreachable: %s\n", id, fleet.Members[id], status.Unreachable[id])
		}
	}
	current := status.MostCurrent()
	fmt.Fprintln(t, "\nROLE\tHOLDER\tTOKEN\tPROGRESS\tDESIRED")
	for _, role := range slices.Sorted(maps.Keys(current.Assignments)) {
		a, holder, age := current.Assignments[role], current.Assignments[role].Holder, "unknown"
		if ms, known := current.ProgressAgeMs[role]; known {
			age = fmt.Sprintf("%d ms ago", ms)
		}
		if holder == "" {
			holder, age = "nobody", "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\n", role, holder, a.Token, age, a.DesiredHolder)
	}
	return t.Flush()
}

type singletonReleaseCmd struct {
	fleetFlags
	Role string `arg:"" help:"The role."`
}

// Run ends the lease of a role's holder. The holder may continue until its next heartbeat; its effects are rejected
// once another holder has begun.
func (c *singletonReleaseCmd) Run() error {
	fleet, _, err := c.open("release")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return membersOf(fleet).Release(ctx, c.Role)
}

type singletonMoveCmd struct {
	fleetFlags
	Role string `arg:"" help:"The role."`
	To   string `arg:"" help:"The instance; an empty one withdraws the choice." optional:""`
}

// Run moves a role to an instance, once the role's holder has completed the step in progress.
func (c *singletonMoveCmd) Run() error {
	fleet, _, err := c.open("move")
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	return membersOf(fleet).SetDesiredHolder(ctx, c.Role, c.To)
}
