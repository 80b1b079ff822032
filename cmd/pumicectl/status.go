package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

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
	fmt.Fprintln(table, "COORDINATOR\tVIEW\tMEMBER\tMAJORITY\tVERSION\tLEASE HOLDER\tPROXIES\tBACKENDS\tLOADS")
	silent := false
	var placements []string
	for _, address := range strings.FieldsFunc(e.list, func(r rune) bool { return r == ',' }) {
		code, body, err := callOnce(ctx, http.MethodGet, "http://"+address+"/status", "", nil)
		var status coordinator.Status
		if err == nil && code == http.StatusOK {
			err = json.Unmarshal(body, &status)
		}
		if err != nil || code != http.StatusOK {
			fmt.Fprintf(table, "%s\tno answer (%d, %v)\n", address, code, err)
			silent = true
			continue
		}
		if asJSON {
			fmt.Println(string(body))
			continue
		}
		fmt.Fprintf(table, "%s\t%d\t%v\t%v\t%d\t%s\t%d\t%d\t%d\n", address, status.View, status.Member, status.HasMajority,
			status.Version, status.LeaseHolder, status.Proxies, status.Backends, len(status.Tasks))
		for _, task := range status.Tasks {
			placements = append(placements, fmt.Sprintf("%s: load %q, unload %v, adapters %v: %s", task.Backend, task.Load, task.Unload, task.Adapters, task.Reason))
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
