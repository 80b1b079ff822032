// Command labrank asks whether the laboratory's model is true: it plays variants of the decision module on days of the
// operators' simulator and in worlds of our own that are meant to be alike, and compares the order that both give the
// variants by Spearman's rank correlation. It needs the operators' kit, and so is no part of CI. A variant is the module
// with one constant changed, built with go build -overlay: no source file is touched.
//
// Each run of the simulator leaves its entry in journal/.
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
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"gonum.org/v1/gonum/stat"

	"pumiceline/internal/fleetsim/experiment"
	"pumiceline/internal/fleetsim/plots"
)

type cli struct {
	Sim   string `help:"The simulator." required:"" type:"path"`
	On    string `help:"The deployment." enum:"quotes,invitations" default:"quotes"`
	Days  int    `help:"Days of each kind." default:"3"`
	Plots string `help:"Folder for the scatter plot and the figures." default:"docs/reports/plots" type:"path"`
}

func main() {
	var c cli
	args := kong.Parse(&c, kong.Description("Compares the laboratory's order of variants with the simulator's."))
	args.FatalIfErrorf(c.run())
}

// variant is the module with one text changed in one file.
type variant struct{ name, file, old, new string }

var variants = []variant{
	{"as it is", "", "", ""},
	{"look-ahead 1", policyFolder + "schedule.go", "maxCandidates         = 16 ", "maxCandidates         = 1 "},
	{"look-ahead 3", policyFolder + "schedule.go", "maxCandidates         = 16 ", "maxCandidates         = 3 "},
	{"aggression 4", policyFolder + "slowstart.go", "const aggression = 1.0", "const aggression = 4.0"},
	{"blackout 20 s", policyFolder + "weights.go", "blackoutPeriod          = 2_000_000 ", "blackoutPeriod          = 20_000_000 "},
	{"cold load 0.7", policyFolder + "slowstart.go", "maxWarmupLoad = 2.4", "maxWarmupLoad = 0.7"},
	{"roam from 0.05", policyFolder + "locality.go", "homeZoneUtilization    = 0.5", "homeZoneUtilization    = 0.05"},
	{"crowded at 0.2 of the aim", policyFolder + "admission.go", "congestedTargetShare = 0.5", "congestedTargetShare = 0.2"},
	{"crowded borne 0.1", "internal/standalone/concurrency/limit.go", "ToleratedCongestion = 0.25", "ToleratedCongestion = 0.1"},
	{"slow from 1.5", policyFolder + "outlier.go", "slowFactor = 4", "slowFactor = 1.5"},
	{"crowded at 1.2 times calm", policyFolder + "admission.go", "congestedUnloadedFactor = 2", "congestedUnloadedFactor = 1.2"},
}

// keyed are those that matter only where servers are warm for keys.
var keyed = []variant{
	{"a cold key for 1", policyFolder + "schedule.go", "minAffinityPenalty     = 10.0\n\taffinityPenaltyPerLoad = 1.0",
		"minAffinityPenalty     = 1.0\n\taffinityPenaltyPerLoad = 0.0"},
	{"no keys", policyFolder + "schedule.go", "r.affinityKey == 0 || !b.settings.KeyAffinity", "true"},
}

const policyFolder = "internal/standalone/policy/"

// world pairs one of the simulator's kinds of day with an experiment of ours, and what is changed in it.
type world struct {
	kind, file string
	set        []string
}

const (
	ours        = "tools/simrank/worlds/"
	invitations = "example/experiments/invitations.toml"
)

// deployments are the sites and worlds of each deployment.
var deployments = map[string]struct {
	site   string
	more   []variant
	worlds []world
}{
	"quotes": {"../given/kit/sites/ub-quotes.toml", nil, []world{{"quiet", ours + "quiet.toml", nil}, {"only:hang", ours + "hang.toml", nil},
		{"only:neighbour", ours + "neighbour.toml", nil}, {"only:deploy", ours + "deploy.toml", nil}, {"overload", ours + "overload.toml", nil}}},
	"invitations": {"../given/kit/users/convite-lisboa.toml", keyed, []world{
		{"quiet", invitations, []string{"world.trouble=[]", "world.load=0.48"}},
		{"trouble", invitations, []string{"world.load=0.82"}}, {"overload", invitations, []string{"world.load=1.45"}}}},
}

type point struct {
	World   string  `json:"world"`
	Variant string  `json:"variant"`
	Sim     float64 `json:"simulator"`
	Lab     float64 `json:"laboratory"`
}

func (c *cli) run() error {
	dir, err := os.MkdirTemp("", "labrank")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var points []point
	for i, v := range append(variants, deployments[c.On].more...) {
		folder := filepath.Join(dir, strconv.Itoa(i))
		if err := v.build(folder); err != nil {
			return fmt.Errorf("%s: %w", v.name, err)
		}
		for _, w := range deployments[c.On].worlds {
			sim, err := c.simulate(folder, v, w.kind)
			if err != nil {
				return fmt.Errorf("%s on %s: %w", v.name, w.kind, err)
			}
			lab, err := play(folder, w)
			if err != nil {
				return fmt.Errorf("%s on %s: %w", v.name, w.file, err)
			}
			points = append(points, point{w.kind, v.name, sim, lab})
			fmt.Fprintf(os.Stderr, "%s, %s: simulator %.3f, laboratory %.3f\n", w.kind, v.name, sim, lab)
		}
	}
	return c.report(points)
}

// build builds the adapter and the laboratory with the variant's text in place of the module's.
func (v *variant) build(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	args := []string{"build", "-buildvcs=false", "-o", folder + "/"}
	if v.file != "" {
		text, err := os.ReadFile(v.file)
		if err != nil {
			return err
		}
		if strings.Count(string(text), v.old) != 1 {
			return fmt.Errorf("%s does not hold %q once", v.file, v.old)
		}
		changed, overlay := filepath.Join(folder, "changed.go"), filepath.Join(folder, "overlay.json")
		if err := os.WriteFile(changed, []byte(strings.Replace(string(text), v.old, v.new, 1)), 0o644); err != nil {
			return err
		}
		from, err := filepath.Abs(v.file)
		if err != nil {
			return err
		}
		doc, err := json.Marshal(map[string]any{"Replace": map[string]string{from: changed}})
		if err != nil {
			return err
		}
		if err := os.WriteFile(overlay, doc, 0o644); err != nil {
			return err
		}
		args = append(args, "-overlay", overlay)
	}
	out, err := exec.Command("go", append(args, "./cmd/benchlink", "./cmd/pumiceline")...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("go build: %w: %s", err, out)
	}
	return nil
}

// simulate is the mean G of the simulator's days of a kind; a day on which a rule broke counts as it is.
func (c *cli) simulate(folder string, v variant, kind string) (float64, error) {
	sum := 0.0
	for day := 1; day <= c.Days; day++ {
		why := fmt.Sprintf("Truth of the laboratory: %s on day %d of kind %s", v.name, day, kind)
		out, err := exec.Command(c.Sim, "run", deployments[c.On].site, "--seed", strconv.Itoa(day), "--kind", kind, "--json", "--no-build", "--why", why, "--",
			filepath.Join(folder, "benchlink")).Output()
		if err != nil {
			var exit *exec.ExitError
			if errors.As(err, &exit) {
				err = fmt.Errorf("%w: %s", err, exit.Stderr)
			}
			return 0, err
		}
		var day struct{ G float64 }
		if err := json.Unmarshal(out, &day); err != nil {
			return 0, err
		}
		sum += day.G
	}
	return sum / float64(c.Days), nil
}

// play is the mean G of the module in one of our worlds.
func play(folder string, w world) (float64, error) {
	out := filepath.Join(folder, "results.jsonl")
	args := []string{"lab", "sweep", w.file, "--out", out}
	for _, s := range w.set {
		args = append(args, "--set", s)
	}
	text, err := exec.Command(filepath.Join(folder, "pumiceline"), args...).CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("%w: %s", err, text)
	}
	f, err := os.Open(out)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	results, err := experiment.Read(f)
	if err != nil {
		return 0, err
	}
	m, err := experiment.MeasureByName("g")
	if err != nil {
		return 0, err
	}
	return experiment.Compare(results, m)[0].Estimate.Mean, nil
}

// spearman is the rank correlation of two lists, with mean ranks for ties.
func spearman(a, b []float64) float64 { return stat.Correlation(ranks(a), ranks(b), nil) }

func ranks(x []float64) []float64 {
	order := make([]int, len(x))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		if x[i] < x[j] {
			return -1
		}
		if x[i] > x[j] {
			return 1
		}
		return 0
	})
	out := make([]float64, len(x))
	for i := 0; i < len(order); {
		j := i
		for j < len(order) && x[order[j]] == x[order[i]] {
			j++
		}
		for k := i; k < j; k++ {
			out[order[k]] = float64(i+j-1) / 2
		}
		i = j
	}
	return out
}

func (c *cli) report(points []point) error {
	var xs, ys []float64
	var in []string
	type list struct{ sim, lab []float64 }
	by := map[string]*list{}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "world\tvariant\tsimulator\tlaboratory")
	for _, p := range points {
		xs, ys, in = append(xs, p.Sim), append(ys, p.Lab), append(in, p.World)
		if by[p.World] == nil {
			by[p.World] = &list{}
		}
		by[p.World].sim = append(by[p.World].sim, p.Sim)
		by[p.World].lab = append(by[p.World].lab, p.Lab)
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\n", p.World, p.Variant, p.Sim, p.Lab)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	result := map[string]any{"points": points, "all": spearman(xs, ys)}
	fmt.Printf("rank correlation over %d variants: %.3f\n", len(points), spearman(xs, ys))
	within := map[string]float64{}
	for _, k := range deployments[c.On].worlds {
		within[k.kind] = spearman(by[k.kind].sim, by[k.kind].lab)
		fmt.Printf("  within %s, %d variants: %.3f\n", k.kind, len(by[k.kind].sim), within[k.kind])
	}
	result["within"] = within
	if err := os.MkdirAll(c.Plots, 0o755); err != nil {
		return err
	}
	f, err := plots.Scatter("ranking-"+c.On, "Service that simulator and laboratory give the same variant", "simulator, G", "laboratory, G", xs, ys, in)
	if err != nil {
		return err
	}
	if err := f.Save(c.Plots); err != nil {
		return err
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Plots, "ranking-"+c.On+".json"), append(text, '\n'), 0o644)
}
