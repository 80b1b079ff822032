// Command simrank checks the model of the load-balancing simulator (package fleetsim) against the operators' simulator:
// it runs variants of the policy on both, in scenarios that are meant to be alike, and compares the two orders of the
// variants by Spearman's rank correlation. CI does not run it, because it needs the operators' kit. A variant is the
// policy with an edit in one file, usually one constant, built with go build -overlay: no source file is changed.
//
// Run it from the root of the repository. Each run of the operators' simulator adds an entry to journal/.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/alecthomas/kong"
)

type cli struct {
	Sim   string `help:"The operators' simulator." required:"" type:"path"`
	On    string `help:"The deployment whose scenarios are compared." enum:"quotes,invitations" default:"quotes"`
	Days  int    `help:"Days of each kind." default:"3"`
	Plots string `help:"Folder for the scatter plot and the figures." default:"docs/reports/plots" type:"path"`
}

func main() {
	var c cli
	args := kong.Parse(&c,
		kong.Description("Compares the order that fleetsim gives variants of the policy with the simulator's."))
	args.FatalIfErrorf(c.run())
}

// measurement is the service (G) of one variant in one scenario, on both simulators.
type measurement struct {
	Scenario  string  `json:"world"`
	Variant   string  `json:"variant"`
	Simulator float64 `json:"simulator"`
	Fleetsim  float64 `json:"laboratory"`
}

func (c *cli) run() error {
	dir, err := os.MkdirTemp("", "simrank")
	if err != nil {
		return fmt.Errorf("make folder for programs: %w", err)
	}
	defer os.RemoveAll(dir)
	var measurements []measurement
	for i, v := range deployments[c.On].variants {
		bin := filepath.Join(dir, strconv.Itoa(i))
		if err := v.build(bin); err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
		ofVariant, err := c.measure(bin, v.name)
		if err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
		measurements = append(measurements, ofVariant...)
	}
	return newRanking(measurements).report(c.On, c.Plots)
}

// measure runs a variant, whose programs are in the folder bin, in all scenarios of the deployment, on both simulators.
func (c *cli) measure(bin, variant string) (measurements []measurement, err error) {
	d := deployments[c.On]
	for _, s := range d.scenarios {
		run := simulatorRun{simulator: c.Sim, site: d.site, bin: bin, variant: variant, kind: s.kind, days: c.Days}
		simulator, err := run.meanService()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.kind, err)
		}
		fleetsim, err := runFleetsim(bin, s)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.experiment, err)
		}
		measurements = append(measurements, measurement{s.kind, variant, simulator, fleetsim})
		fmt.Fprintf(os.Stderr, "%s, %s: simulator %.3f, laboratory %.3f\n", s.kind, variant, simulator, fleetsim)
	}
	return measurements, nil
}
