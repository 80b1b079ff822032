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
	scenarioFolder        = "tools/simrank/worlds/"
	invitationsExperiment = "example/experiments/invitations.toml"
)

// scenario pairs a kind of day of the operators' simulator with an experiment of fleetsim, and what is changed in that.
type scenario struct {
	kind       string
	experiment string
	set        []string
}

// deployment is a site of the operators' simulator with its scenarios and variants.
type deployment struct {
	site      string
	variants  []variant
	scenarios []scenario
}

var deployments = map[string]deployment{
	"quotes": {
		site:     "../given/kit/sites/ub-quotes.toml",
		variants: commonVariants,
		scenarios: []scenario{
			{"quiet", scenarioFolder + "quiet.toml", nil},
			{"only:hang", scenarioFolder + "hang.toml", nil},
			{"only:neighbour", scenarioFolder + "neighbour.toml", nil},
			{"only:deploy", scenarioFolder + "deploy.toml", nil},
			{"overload", scenarioFolder + "overload.toml", nil},
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

// runSimulator returns the mean G of the operators' simulator over days of a kind. A day on which a rule was broken
// counts as it is.
func runSimulator(simulator, site, bin, variant, kind string, days int) (float64, error) {
	sum := 0.0
	for day := 1; day <= days; day++ {
		why := fmt.Sprintf("Check of fleetsim: %s on day %d of kind %s", variant, day, kind)
		out, err := exec.Command(simulator, "run", site, "--seed", strconv.Itoa(day), "--kind", kind, "--json",
			"--no-build", "--why", why, "--", filepath.Join(bin, "benchlink")).Output()
		if err != nil {
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				err = fmt.Errorf("%w: %s", err, exit.Stderr)
			}
			return 0, fmt.Errorf("simulator: %w", err)
		}
		var result struct{ G float64 }
		if err := json.Unmarshal(out, &result); err != nil {
			return 0, fmt.Errorf("simulator's result: %w", err)
		}
		sum += result.G
	}
	return sum / float64(days), nil
}

// runFleetsim returns the mean G of a scenario's experiment.
func runFleetsim(bin string, s scenario) (float64, error) {
	path := filepath.Join(bin, "results.jsonl")
	args := []string{"fleetsim", "sweep", s.experiment, "--out", path}
	for _, change := range s.set {
		args = append(args, "--set", change)
	}
	if out, err := exec.Command(filepath.Join(bin, "pumiceline"), args...).CombinedOutput(); err != nil {
		return 0, fmt.Errorf("fleetsim: %w: %s", err, out)
	}
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	results, err := experiment.ReadResults(f)
	if err != nil {
		return 0, err
	}
	measure, err := experiment.MeasureByName("g")
	if err != nil {
		return 0, err
	}
	return experiment.Compare(results, measure)[0].Estimate.Mean, nil
}
