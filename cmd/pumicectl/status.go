package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"pumiceline/internal/controlplane/coordinator"
)

// statusCommand shows how each coordinator sees the system.
func statusCommand() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl status", flag.ContinueOnError)
	e := &endpoints{}
	e.register(flags)
	asJSON := flags.Bool("json", false, "print one JSON object a coordinator")
	return &ffcli.Command{
		Name: "status", ShortUsage: "pumicectl status --control ADDRESS,...", FlagSet: flags,
		ShortHelp: "show view, chain, lease, proxies and placement as each coordinator sees them",
		Exec: func(ctx context.Context, _ []string) error {
			return e.printStatus(ctx, *asJSON)
		},
	}
}

func (e *endpoints) printStatus(ctx context.Context, asJSON bool) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "COORDINATOR\tVIEW\tCHAIN\tVOTERS\tMEMBER\tMAJORITY\tSERVES\tVERSION\tLEASE HOLDER\tPROXIES\tBACKENDS\tLOADS\tWAITS FOR")
	silent := false
	var placements []string
	for _, address := range strings.FieldsFunc(e.list, func(r rune) bool { return r == ',' }) {
		status, body, err := askStatus(ctx, address)
		switch {
		case err != nil:
			fmt.Fprintf(table, "%s\tno answer: %v\n", address, err)
			silent = true
		case asJSON:
			fmt.Println(string(body))
		default:
			printRow(table, address, status)
			placements = append(placements, describeTasks(status.Tasks)...)
		}
	}
	if !asJSON {
		if err := table.Flush(); err != nil {
			return err
		}
	}
	for _, line := range placements {
		fmt.Println(line)
	}
	if silent {
		return errFound
	}
	return nil
}

// askStatus returns how a coordinator sees the system.
func askStatus(ctx context.Context, address string) (status *coordinator.Status, body []byte, err error) {
	code, body, err := callOnce(ctx, http.MethodGet, "http://"+address+"/status", "", nil)
	if err != nil {
		return nil, nil, err
	}
	if code != http.StatusOK {
		return nil, nil, errors.Errorf("status %d", code)
	}
	status = &coordinator.Status{}
	return status, body, errors.Wrap(json.Unmarshal(body, status), "its answer")
}

func printRow(table io.Writer, address string, s *coordinator.Status) {
	fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%v\t%v\t%v\t%d\t%s\t%d\t%d\t%d\t%s\n", address, s.View, len(s.Members), len(s.Voters),
		s.IsMember, s.HasMajority, s.IsServing, s.Version, s.LeaseHolder, s.Proxies, s.Backends, len(s.Tasks), s.WaitingFor)
}

func describeTasks(tasks []coordinator.Task) []string {
	return lo.Map(tasks, func(t coordinator.Task, _ int) string {
		return fmt.Sprintf("%s: load %q, unload %v, adapters %v: %s", t.Backend, t.Load, t.Unload, t.Adapters, t.Reason)
	})
}
