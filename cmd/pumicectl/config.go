package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
	"pumiceline/internal/docreader"
)

const (
	callTimeout = 3 * time.Second
	maxTries    = 10
	retryAfter  = 200 * time.Millisecond
	maxAnswer   = 16 << 20
)

// endpoints are the coordinators' control addresses, asked in turn.
type endpoints struct{ list string }

func (e *endpoints) register(flags *flag.FlagSet) {
	flags.StringVar(&e.list, "control", os.Getenv("PUMICELINE_CONTROL"), "control addresses, separated by commas")
}

// call asks one address after the other until one gives a clear answer.
func (e *endpoints) call(ctx context.Context, method, path, ifMatch string, body []byte) (int, []byte, error) {
	addresses := strings.FieldsFunc(e.list, func(r rune) bool { return r == ',' })
	if len(addresses) == 0 {
		return 0, nil, errors.New("--control: at least one address must be given")
	}
	var last error
	for try := range maxTries {
		status, answer, err := callOnce(ctx, method, "http://"+addresses[try%len(addresses)]+path, ifMatch, body)
		if err == nil && status < http.StatusInternalServerError {
			return status, answer, nil
		}
		if last = err; err == nil {
			last = errors.Errorf("status %d: %s", status, answer)
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(retryAfter):
		}
	}
	return 0, nil, errors.Wrap(last, "no clear answer")
}

func callOnce(ctx context.Context, method, address, ifMatch string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return response.StatusCode, answer, err
}

func configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "config", ShortUsage: "pumicectl config <get|put|patch|diff|check>", ShortHelp: "read, check and change the configuration",
		Subcommands: []*ffcli.Command{configGet(), configChange("put", http.MethodPut), configChange("patch", http.MethodPatch), configDiff(), configCheck()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func configGet() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl config get", flag.ContinueOnError)
	e := &endpoints{}
	e.register(flags)
	return &ffcli.Command{
		Name: "get", ShortUsage: "pumicectl config get --control ADDRESS,...", ShortHelp: "print the newest configuration", FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			document, err := e.read(ctx)
			if err != nil {
				return err
			}
			fmt.Println(string(document))
			return nil
		},
	}
}

func (e *endpoints) read(ctx context.Context) ([]byte, error) {
	status, document, err := e.call(ctx, http.MethodGet, "/config", "", nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("status %d: %s", status, document)
	}
	return document, nil
}

// configChange sends a file as a change. A call without a clear answer is sent again unchanged.
func configChange(name, method string) *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl config "+name, flag.ContinueOnError)
	e := &endpoints{}
	e.register(flags)
	base := flags.String("base", "", "version that the change builds on (If-Match); 0 for the first configuration")
	return &ffcli.Command{
		Name: name, ShortUsage: "pumicectl config " + name + " --control ADDRESS,... --base VERSION FILE",
		ShortHelp: "send a change and wait until it is acknowledged", FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 || *base == "" {
				return flag.ErrHelp
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			status, answer, err := e.call(ctx, method, "/config", *base, body)
			if err != nil {
				return err
			}
			if status != http.StatusOK {
				fmt.Fprintf(os.Stderr, "refused with %d: %s\n", status, answer)
				return errFound
			}
			fmt.Println("acknowledged")
			return nil
		},
	}
}

func configCheck() *ffcli.Command {
	return &ffcli.Command{
		Name: "check", ShortUsage: "pumicectl config check FILE", ShortHelp: "name every fault of a configuration and its place",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			document, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			config, err := configuration.Parse(document)
			if err != nil {
				printFindings(args[0], err)
				return errFound
			}
			fmt.Printf("version %d: %d routes, %d services, no fault\n", config.Version, len(config.Routes), len(config.Services))
			return nil
		},
	}
}

// printFindings prints the faults of a file, one a line.
func printFindings(file string, err error) {
	var found *docreader.Error
	if !errors.As(err, &found) {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return
	}
	for _, finding := range found.Findings {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, finding)
	}
}

func configDiff() *ffcli.Command {
	flags := flag.NewFlagSet("pumicectl config diff", flag.ContinueOnError)
	e := &endpoints{}
	e.register(flags)
	return &ffcli.Command{
		Name: "diff", ShortUsage: "pumicectl config diff --control ADDRESS,... FILE", FlagSet: flags,
		ShortHelp: "show which named items of a file differ from the configuration in force",
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			wanted, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			present, err := e.read(ctx)
			if err != nil {
				return err
			}
			lines, err := diff(present, wanted)
			if err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Println(line)
			}
			return nil
		},
	}
}

// diff names the items that were added, removed or changed, list by list.
func diff(present, wanted []byte) ([]string, error) {
	var lines []string
	for _, list := range []string{"routes", "services"} {
		before, err := itemsByName(present, list)
		if err != nil {
			return nil, errors.Wrap(err, "the configuration in force")
		}
		after, err := itemsByName(wanted, list)
		if err != nil {
			return nil, errors.Wrap(err, "the file")
		}
		for name, item := range after {
			old, ok := before[name]
			switch {
			case !ok:
				lines = append(lines, fmt.Sprintf("+ %s %s", list, name))
			case old != item:
				lines = append(lines, fmt.Sprintf("~ %s %s", list, name))
			}
		}
		for name := range before {
			if _, ok := after[name]; !ok {
				lines = append(lines, fmt.Sprintf("- %s %s", list, name))
			}
		}
	}
	slices.Sort(lines)
	return lines, nil
}

// itemsByName returns a list's items in a form that can be compared.
func itemsByName(document []byte, list string) (map[string]string, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(document, &members); err != nil {
		return nil, err
	}
	var items []map[string]any
	if len(members[list]) > 0 {
		if err := json.Unmarshal(members[list], &items); err != nil {
			return nil, errors.Wrap(err, list)
		}
	}
	out := map[string]string{}
	for _, item := range items {
		name, _ := item["name"].(string)
		text, err := json.Marshal(item) // with its keys in order
		if err != nil {
			return nil, err
		}
		out[name] = string(text)
	}
	return out, nil
}

// checkSettingsCommand checks the settings file of a process.
func checkSettingsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "check-settings", ShortUsage: "pumicectl check-settings FILE", ShortHelp: "name every fault of a settings file and its place",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if _, err := bootstrap.Parse(text); err != nil {
				printFindings(args[0], err)
				return errFound
			}
			fmt.Println("no fault")
			return nil
		},
	}
}
