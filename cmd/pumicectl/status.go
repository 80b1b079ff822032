package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/controlplane/coordinator"
)

// statusCommand shows how each coordinator sees the system.
func statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl status", flag.ContinueOnError)
	c := &coordinators{}
	c.register(flags)
	asJSON := flags.Bool("json", false, "print one JSON object per coordinator")
	return &ffcli.Command{
		Name: "status", ShortUsage: "pumicectl status --control ADDRESS,...", FlagSet: flags,
		ShortHelp: "show membership view, chain, lease, proxies and placement as each coordinator sees them",
		Exec: func(ctx context.Context, _ []string) error {
			if *asJSON {
				return c.printStatusJSON(ctx)
			}
			return c.printStatusTable(ctx)
		},
	}
}

const statusHeader = "COORDINATOR\tVIEW\tCHAIN\tVOTERS\tMEMBER\tMAJORITY\tSERVES\tVERSION\tLEASE HOLDER\tPROXIES\tBACKENDS\tLOADS\tWAITS FOR"

// printStatusTable prints a row per coordinator, and a line per placement task below.
func (c *coordinators) printStatusTable(ctx context.Context) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, statusHeader)
	var tasks []string
	unreachable := 0
	for _, address := range c.addresses() {
		status, _, err := requestStatus(ctx, address)
		if err != nil {
			fmt.Fprintf(table, "%s\tno answer: %v\n", address, err)
			unreachable++
			continue
		}
		printStatusRow(table, address, status)
		tasks = append(tasks, describeTasks(status.Tasks)...)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, line := range tasks {
		fmt.Println(line)
	}
	return faultsFoundIf(unreachable > 0)
}

// printStatusJSON prints each coordinator's response as it came, one a line.
func (c *coordinators) printStatusJSON(ctx context.Context) error {
	unreachable := 0
	for _, address := range c.addresses() {
		_, body, err := requestStatus(ctx, address)
		if err != nil {
			unreachable++
			continue
		}
		fmt.Println(string(body))
	}
	return faultsFoundIf(unreachable > 0)
}

// requestStatus returns a coordinator's status, and the JSON that it was read from.
func requestStatus(ctx context.Context, address string) (*coordinator.Status, []byte, error) {
	r, err := sendTo(ctx, address, request{method: http.MethodGet, path: "/status"})
	if err != nil {
		return nil, nil, err
	}
	if r.status != http.StatusOK {
		return nil, nil, errors.Errorf("status %d", r.status)
	}
	status := &coordinator.Status{}
	return status, r.body, errors.Wrap(json.Unmarshal(r.body, status), "its answer")
}

func printStatusRow(table io.Writer, address string, s *coordinator.Status) {
	fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%d\t%s\t%d\t%d\t%d\t%s\n", address, s.View, len(s.Members), len(s.Voters),
		s.IsMember, s.HasMajority, s.IsServing, s.Version, s.LeaseHolder, s.Proxies, s.Backends, len(s.Tasks), s.WaitingFor)
}

func describeTasks(tasks []coordinator.Task) []string {
	return lo.Map(tasks, func(t coordinator.Task, _ int) string {
		return fmt.Sprintf("%s: load %q, unload %v, adapters %v: %s", t.Backend, t.Load, t.Unload, t.Adapters, t.Reason)
	})
}

func faultsFoundIf(found bool) error {
	if found {
		return errFaultsFound
	}
	return nil
}
