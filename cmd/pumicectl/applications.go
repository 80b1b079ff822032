package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"pumiceline/internal/coordinationclient"
)

// applicationFlags are the flags of the commands that call the coordinators as applications do: locks, numbers, keys
// and watch.
type applicationFlags struct {
	coordinators
	asJSON bool
}

// newApplicationFlags returns the flags of a command, and the flag set that they are registered in.
func newApplicationFlags(command string) (*applicationFlags, *flag.FlagSet) {
	flags := flag.NewFlagSet("pumicectl "+command, flag.ContinueOnError)
	f := &applicationFlags{}
	f.register(flags)
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	return f, flags
}

// client returns a client of the coordinators that the flags name.
func (f *applicationFlags) client() (*coordinationclient.Client, error) {
	addresses := f.addresses()
	if len(addresses) == 0 {
		return nil, errors.New("--control: at least one address must be given")
	}
	return coordinationclient.New(coordinationclient.Options{Addresses: addresses})
}

// print prints a result: as one line of JSON, or as text.
func (f *applicationFlags) print(out io.Writer, result any, text string) error {
	if f.asJSON {
		return json.NewEncoder(out).Encode(result)
	}
	_, err := fmt.Fprintln(out, text)
	return err
}
