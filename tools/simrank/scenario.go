package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"

	"pumiceline/internal/fleetsim/experiment"
)

const (
	experimentFolder      = "tools/simrank/worlds/"
	invitationsExperiment = "example/experiments/invitations.toml"
)

// scenario pairs a kind of day of the operators' simulator with an experiment of fleetsim and changes to it.
type scenario struct {
	kind       string   // of day
	experiment string   // path of the experiment's file
	set        []string // changes to the experiment, as arguments of --set
}

// deployment is a site of the operators' simulator with its scenarios and variants.
type deployment struct {
	site      string // path of its description in the operators' kit
	variants  []variant
	scenarios []scenario
}

var deployments = map[string]deployment{
	"quotes": {
		site:     "../given/kit/sites/ub-quotes.toml",
		variants: commonVariants,
		scenarios: []scenario{
			{"quiet", experimentFolder + "quiet.toml", nil},
			{"only:hang", experimentFolder + "hang.toml", nil},
			{"only:neighbour", experimentFolder + "neighbour.toml", nil},
			{"only:deploy", experimentFolder + "deploy.toml", nil},
			{"overload", experimentFolder + "overload.toml", nil},
		},
	},
	"invitations": {
		site:     "../given/kit/users/convite-lisboa.toml",
		variants: slices.Concat(commonVariants, affinityVariants),
		scenarios: []scenario{
			{"quiet", invitationsExperiment, []string{"world.trouble=[]", "world.load=0.48"}},
			{"trouble", invitationsExperiment, []string{"world.load=0.82"}},
			{"overload", invitationsExperiment, []string{"world.load=1.45"}},
		},
	},
}

// simulatorRun describes the runs of the operators' simulator with one variant: one per day.
type simulatorRun struct {
	simulator string // its path
	site      string // path of the deployment's description, see deployment
	bin       string // folder with the variant's benchlink
	variant   string
	kind      string // of day
	days      int
}

// meanService returns the mean service (G) over the days. Days on which rules were violated count like all others.
func (r *simulatorRun) meanService() (float64, error) {
	sum := 0.0
	for day := 1; day <= r.days; day++ {
		why := fmt.Sprintf("Check of fleetsim: %s on day %d of kind %s", r.variant, day, r.kind)
		out, err := exec.Command(r.simulator, "run", r.site, "--seed", strconv.Itoa(day), "--kind", r.kind, "--json",
			"--no-build", "--why", why, "--", filepath.Join(r.bin, "benchlink")).Output()
		if err != nil {
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				err = fmt.Errorf("%w: %s", err, exit.Stderr)
			}
			return 0, fmt.Errorf("run simulator: %w", err)
		}
		var result struct{ G float64 }
		if err := json.Unmarshal(out, &result); err != nil {
			return 0, fmt.Errorf("read result of simulator: %w", err)
		}
		sum += result.G
	}
	return sum / float64(r.days), nil
}

// runFleetsim returns the mean G of a scenario's experiment.
func runFleetsim(bin string, s scenario) (float64, error) {
	path := filepath.Join(bin, "results.jsonl")
	args := []string{"fleetsim", "sweep", s.experiment, "--out", path}
	for _, change := range s.set {
		args = append(args, "--set", change)
	}
	if out, err := exec.Command(filepath.Join(bin, "pumiceline"), args...).CombinedOutput(); err != nil {
		return 0, fmt.Errorf("run fleetsim: %w: %s", err, out)
	}
	f, err := os.Open(path)
	if err != nil {
		return 0, fmt.Errorf("open results of fleetsim: %w", err)
	}
	defer f.Close()
	results, err := experiment.ReadResults(f)
	if err != nil {
		return 0, fmt.Errorf("read results of fleetsim: %w", err)
	}
	measure, err := experiment.MeasureByName("g")
	if err != nil {
		return 0, err
	}
	return experiment.Compare(results, measure)[0].Estimate.Mean, nil
}
