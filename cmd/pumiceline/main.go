// Command pumiceline is the standalone proxy, an HTTP load balancer, and the tools to try it out.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"pumiceline/internal/standalone/config"
	"pumiceline/internal/standalone/policy"
)

// cli is the command line. Kong derives the names of commands and flags from those of fields.
type cli struct {
	Serve     serveCmd     `cmd:"" help:"Run the proxy until it is stopped."`
	Check     checkCmd     `cmd:"" help:"Check a configuration and print a summary."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
	Try       tryCmd       `cmd:"" help:"Run the proxy with fake backends and a light load in one process, and show what happens."`
	Faulttest faulttestCmd `cmd:"" aliases:"stage" help:"Run real processes with faults between them."`
	Singleton singletonCmd `cmd:"" aliases:"owner" help:"Singleton roles: tasks that one instance of a fleet at a time carries out."`
	Fleetsim  fleetsimCmd  `cmd:"" aliases:"lab" help:"Simulate a whole fleet without sockets, to compare load-balancing policies."`
}

// output is the writer that commands print to; kong passes it to their Run methods.
type output struct{ io.Writer }

func main() {
	args := kong.Parse(&cli{}, kong.Name("pumiceline"), kong.UsageOnError(),
		kong.Description("An HTTP load balancer. The configuration is the file that ROUTER_CONFIG names."))
	args.FatalIfErrorf(args.Run(output{os.Stdout}))
}

// versionCmd is `pumiceline version`.
type versionCmd struct{}

// Run prints the version that the build recorded.
func (versionCmd) Run(out output) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("this program was built without build information")
	}
	_, err := fmt.Fprintln(out, "pumiceline", info.Main.Version, info.GoVersion)
	return err
}

// checkCmd is `pumiceline check`.
type checkCmd struct {
	Config string `help:"Configuration file, in place of the one that ROUTER_CONFIG names." type:"path"`
}

// Run reads and checks the configuration as serve does.
func (c *checkCmd) Run(out output) error {
	cfg, err := config.Load(c.Config, os.Getenv)
	if err != nil {
		return err
	}
	if _, err := policy.New(cfg.Policy, cfg.Seed); err != nil {
		return &config.KeyError{Key: "settings", Err: err}
	}
	_, err = fmt.Fprintf(out, "%s listens on %s and asks %s; %d classes, %d tenants, %d zones\n", cfg.Name, cfg.Listen,
		cfg.Discovery, len(cfg.Settings.Classes), len(cfg.Settings.Tenants), len(cfg.Settings.Zones))
	return err
}
