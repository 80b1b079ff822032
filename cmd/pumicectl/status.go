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
	"pumiceline/internal/lifecycle"
)

// statusCommand shows how each coordinator sees the system.
func statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl status", flag.ContinueOnError)
	c := &coordinators{}
	c.register(flags)
	proxies := flags.String("proxies", "", "readiness addresses of proxies whose configuration is compared, separated by commas")
	asJSON := flags.Bool("json", false, "print one JSON object per coordinator")
	return &ffcli.Command{
		Name: "status", ShortUsage: "pumicectl status --control ADDRESS,...", FlagSet: flags,
		ShortHelp: "show membership view, chain, lease, proxies and placement as each coordinator sees them",
		Exec: func(ctx context.Context, _ []string) error {
			if *asJSON {
				return c.printStatusJSON(ctx)
			}
			return c.printStatusTable(ctx, splitAddresses(*proxies))
		},
	}
}

const statusHeader = "COORDINATOR\tVIEW\tCHAIN\tVOTERS\tMEMBER\tMAJORITY\tSERVES\tVERSION\tLEASE HOLDER\tISSUER\tPROXIES\tBACKENDS\tLOADS\tWAITS FOR"

// printStatusTable prints a row per coordinator, and below a line per placement task, per condition that a coordinator
// waits for, per end of an earlier process that was not in order, and per process whose configuration differs.
func (c *coordinators) printStatusTable(ctx context.Context, proxies []string) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, statusHeader)
	var lines []string
	var configs []configInForce
	unreachable := 0
	for _, address := range c.addresses() {
		r, err := requestStatus(ctx, address)
		if err != nil {
			fmt.Fprintf(table, "%s\tno answer: %v\n", address, err)
			unreachable++
			continue
		}
		printStatusRow(table, address, &r.status)
		lines = append(lines, describeTasks(r.status.Tasks)...)
		lines = append(lines, describeProcess(address, r.status.Process)...)
		configs = append(configs, configOfCoordinator(address, &r.status))
	}
	for _, address := range proxies {
		config, err := configOfProxy(ctx, address)
		if err != nil {
			lines = append(lines, fmt.Sprintf("%s: no answer: %v", address, err))
			unreachable++
			continue
		}
		configs = append(configs, config)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	lines = append(lines, describeConfigs(configs)...)
	for _, line := range lines {
		fmt.Println(line)
	}
	return faultsFoundIf(unreachable > 0)
}

// printStatusJSON prints each coordinator's response unchanged, one per line.
func (c *coordinators) printStatusJSON(ctx context.Context) error {
	unreachable := 0
	for _, address := range c.addresses() {
		r, err := requestStatus(ctx, address)
		if err != nil {
			unreachable++
			continue
		}
		fmt.Println(string(r.json))
	}
	return faultsFoundIf(unreachable > 0)
}

// statusResponse is a coordinator's status, and the JSON that it was decoded from.
type statusResponse struct {
	status coordinator.Status
	json   []byte
}

func requestStatus(ctx context.Context, address string) (statusResponse, error) {
	r, err := sendTo(ctx, address, request{method: http.MethodGet, path: "/status"})
	if err != nil {
		return statusResponse{}, err
	}
	if r.status != http.StatusOK {
		return statusResponse{}, errors.Errorf("status %d", r.status)
	}
	decoded := statusResponse{json: r.body}
	if err := json.Unmarshal(r.body, &decoded.status); err != nil {
		return statusResponse{}, errors.Wrap(err, "its answer")
	}
	return decoded, nil
}

func printStatusRow(table io.Writer, address string, s *coordinator.Status) {
	fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%d\t%s\t%s\t%d\t%d\t%d\t%s\n", address, s.View, len(s.Members), len(s.Voters),
		s.IsMember, s.HasMajority, s.IsServing, s.Version, s.LeaseHolder, describeIssuer(s.Coordination), s.Proxies, s.Backends, len(s.Tasks), s.WaitingFor)
}

// describeIssuer names the coordinator that decides the calls of applications.
func describeIssuer(c *coordinator.CoordinationStatus) string {
	switch {
	case c == nil || c.Issuer == "":
		return "-"
	case c.IsIssuer:
		return c.Issuer + " (itself)"
	}
	return c.Issuer
}

// describeProcess returns a line per condition that a process waits for, and one if the process before failed.
func describeProcess(address string, process *lifecycle.Status) []string {
	if process == nil {
		return nil
	}
	lines := lo.Map(process.Waits, func(w lifecycle.Wait, _ int) string {
		return fmt.Sprintf("%s: waits for %s: %s", address, w.Condition, w.Error)
	})
	if end := process.PreviousEnd; end != nil && (end.EndedAt.IsZero() || end.ExitCode != 0) {
		lines = append(lines, fmt.Sprintf("%s: previous end: %s", address, end.Reason))
	}
	return lines
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
