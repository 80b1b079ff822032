// Package experiment reads experiments, runs them on all cores, and keeps and compares what came out.
package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pumiceline/internal/fleetsim/baseline"
	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/fleetsim/withadmission"
	"pumiceline/internal/fleetsim/withsubset"
	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/tomlfile"
)

// Experiment is a file: a world, the policies and seeds to play it with, and what to vary.
type Experiment struct {
	Name     string         `toml:"name"`
	Title    string         `toml:"title"`
	Text     string         `toml:"text"`
	Policies []string       `toml:"policies"` // the first is the one that others are compared with
	Seeds    []uint64       `toml:"seeds"`
	Sweeps   []Sweep        `toml:"sweep"`
	Scenario model.Scenario `toml:"world"` // what is not written is as in model.Quotes

	File      string    `toml:"-"`
	Overrides []Setting `toml:"-"` // what the command line changed, for replays
	keys      *tomlfile.KeyIndex
}

// Sweep is an axis: a key of the experiment and the values that it takes. The keys of With change along with it. Several
// sweeps are played in all combinations.
type Sweep struct {
	Key    string           `toml:"key"`
	Values []any            `toml:"values"`
	With   map[string][]any `toml:"with"`
	Log    bool             `toml:"log"`   // plot the axis logarithmically
	Label  string           `toml:"label"` // of the axis; empty: the key
}

// withSettings gives a maker's nodes other settings than the world has.
func withSettings(maker model.NodeFactory, change func(*policy.Settings)) model.NodeFactory {
	return func(set policy.Settings, seed uint64, truth *model.Oracle) (model.Node, error) {
		change(&set)
		return maker(set, seed, truth)
	}
}

// Policies are the names that an experiment may use, with their makers. "decide" is the product's own module.
func Policies() map[string]model.NodeFactory {
	makers := map[string]model.NodeFactory{"decide": func(set policy.Settings, seed uint64, _ *model.Oracle) (model.Node, error) {
		return policy.New(set, seed)
	}}
	makers["keyless"] = withSettings(makers["decide"], func(set *policy.Settings) { set.KeyAffinity = false }) // the module, not told of keys
	makers["unprobed"] = withSettings(makers["decide"], func(set *policy.Settings) { set.Limits.AllowLoadPolls = false })
	makers["door"] = withadmission.NewFactory(makers["decide"], true) // the module behind the door
	makers["half"] = withsubset.NewFactory(makers["decide"], 0.5)     // the module with a part of the fleet
	makers["quarter"] = withsubset.NewFactory(makers["decide"], 0.25)
	makers["eighth"] = withsubset.NewFactory(makers["decide"], 0.125)
	makers["door-silent"] = withadmission.NewFactory(makers["decide"], false) // which names no time to come back
	for _, name := range []string{baseline.PolicyRandom, baseline.PolicyRoundRobin, baseline.PolicyTwoChoices, baseline.PolicyLeastRequests, baseline.PolicyOracle} {
		makers[name] = baseline.NewFactory(name)
	}
	return makers
}

// Load reads and checks an experiment. Faults are *tomlfile.Error.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse reads an experiment from its text; path only names it.
func Parse(path string, text []byte) (*Experiment, error) {
	e := &Experiment{File: path, Policies: []string{"decide"}, Seeds: []uint64{1}, Scenario: model.DefaultScenario()}
	e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	e.keys = tomlfile.IndexKeys(text)
	// A list that is written stands in place of the usual one, not on top of it.
	for key, forget := range map[string]func(){"world.kinds": func() { e.Scenario.InstanceTypes = nil }, "world.classes": func() { e.Scenario.Classes = nil },
		"world.tenants": func() { e.Scenario.Tenants = nil }, "policies": func() { e.Policies = nil }, "seeds": func() { e.Seeds = nil }} {
		if e.keys.Has(key) {
			forget()
		}
	}
	if err := tomlfile.Decode(path, text, e); err != nil {
		return nil, err
	}
	return e, e.validate()
}

func (e *Experiment) errorAt(key, why string, args ...any) error {
	return &tomlfile.Error{File: e.File, Line: e.keys.Line(key), Key: key, Reason: fmt.Sprintf(why, args...)}
}

func (e *Experiment) validate() error {
	for _, key := range e.keys.BareNumbers { // a time without its unit would be taken for microseconds
		if rest, ok := strings.CutPrefix(key, "world."); ok {
			if v, err := resolve(&e.Scenario, rest); err == nil && v.Type() == reflect.TypeFor[model.Span]() {
				return e.errorAt(key, "is a time and has no unit: write it as \"250ms\"")
			}
		}
	}
	known := Policies()
	for _, p := range e.Policies {
		if known[p] == nil {
			names := make([]string, 0, len(known))
			for n := range known {
				names = append(names, n)
			}
			slices.Sort(names)
			return e.errorAt("policies", "%q is none of %s", p, strings.Join(names, ", "))
		}
	}
	switch {
	case len(e.Policies) == 0:
		return e.errorAt("policies", "names none")
	case len(e.Seeds) == 0:
		return e.errorAt("seeds", "names none")
	}
	plays := len(e.Policies) * len(e.Seeds)
	for i, s := range e.Sweeps {
		at := fmt.Sprintf("sweep.%d.", i)
		if s.Key == "" || len(s.Values) == 0 {
			return e.errorAt(at+"key", "a sweep needs key and values")
		}
		for k, v := range s.With {
			if len(v) != len(s.Values) {
				return e.errorAt(at+"with."+k, "%d values, where %s has %d", len(v), s.Key, len(s.Values))
			}
		}
		if plays *= len(s.Values); plays > maxRuns {
			return e.errorAt(at+"values", "over %d plays in all", maxRuns)
		}
	}
	points, err := e.Points()
	if err != nil {
		return err
	}
	for _, p := range points {
		if err := p.Scenario.Validate(); err != nil {
			var field *model.FieldError
			if !errors.As(err, &field) {
				return err
			}
			key := "world." + field.Path
			for _, s := range p.Settings { // a swept value's place is the sweep's
				if s.Key == key {
					return e.errorAt(e.sweptKey(key), "at %s: %s", p.Name(), field.Why)
				}
			}
			return e.errorAt(key, "%s", field.Why)
		}
	}
	return nil
}

// maxRuns is how many plays an experiment may have: more is a slip, and would not end.
const maxRuns = 20_000

func (e *Experiment) sweptKey(key string) string {
	for i, s := range e.Sweeps {
		if _, with := s.With[key]; with || s.Key == key {
			return fmt.Sprintf("sweep.%d.values", i)
		}
	}
	return key
}

// Setting is one key's value at a point.
type Setting struct {
	Key   string `json:"key"`
	Value any    `json:"value"`
}

func (s Setting) String() string { return fmt.Sprintf("%s=%v", s.Key, s.Value) }

// Point is one combination of the swept values. Set names them, the axes first in their order.
type Point struct {
	Settings []Setting
	Axes     []Setting // the axes alone
	Scenario model.Scenario
}

// Name is the point in words; "" where nothing is swept.
func (p *Point) Name() string {
	words := make([]string, len(p.Axes))
	for i, s := range p.Axes {
		words[i] = s.String()
	}
	return strings.Join(words, " ")
}

// Points are all combinations of the swept values: one, if nothing is swept.
func (e *Experiment) Points() ([]Point, error) {
	points := []Point{{Scenario: e.Scenario}}
	for i, s := range e.Sweeps {
		var next []Point
		for _, p := range points {
			for k, v := range s.Values {
				q := Point{Settings: slices.Clone(p.Settings), Axes: append(slices.Clone(p.Axes), Setting{s.Key, v}), Scenario: p.Scenario.Clone()}
				all := []Setting{{s.Key, v}}
				with := make([]string, 0, len(s.With))
				for key := range s.With {
					with = append(with, key)
				}
				slices.Sort(with)
				for _, key := range with {
					all = append(all, Setting{key, s.With[key][k]})
				}
				for _, set := range all {
					if err := Apply(&q.Scenario, set); err != nil {
						return nil, e.errorAt(fmt.Sprintf("sweep.%d.key", i), "%v", err)
					}
				}
				q.Settings = append(q.Settings, all...)
				next = append(next, q)
			}
		}
		points = next
	}
	return points, nil
}

// Apply changes one value of a world; the key is as files write it: "world.kinds.0.cores".
func Apply(w *model.Scenario, s Setting) error {
	rest, ok := strings.CutPrefix(s.Key, "world.")
	if !ok {
		return fmt.Errorf("%s: only keys of world can be varied", s.Key)
	}
	v, err := resolve(w, rest)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Key, err)
	}
	return assign(v, s)
}

// resolve finds the field that a key names, below world.
func resolve(w *model.Scenario, key string) (reflect.Value, error) {
	v := reflect.ValueOf(w).Elem()
	for _, part := range strings.Split(key, ".") {
		switch v.Kind() {
		case reflect.Struct:
			next := reflect.Value{}
			for i := range v.NumField() {
				if tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("toml"), ","); tag == part {
					next = v.Field(i)
				}
			}
			if !next.IsValid() {
				return v, fmt.Errorf("there is no key %s", part)
			}
			v = next
		case reflect.Slice:
			n, err := strconv.Atoi(part)
			if err != nil || n < 0 || n >= v.Len() {
				return v, fmt.Errorf("%q is no place in a list of %d", part, v.Len())
			}
			v = v.Index(n)
		default:
			return v, fmt.Errorf("%s has no keys of its own", part)
		}
	}
	return v, nil
}

// assign gives a field a value as TOML or JSON decode it.
func assign(v reflect.Value, s Setting) error {
	wrong := fmt.Errorf("%s: %v (%T) does not fit", s.Key, s.Value, s.Value)
	if list, ok := s.Value.([]any); ok && len(list) == 0 && v.Kind() == reflect.Slice { // world.trouble=[]: none of them
		v.SetZero()
		return nil
	}
	if span, ok := v.Addr().Interface().(*model.Span); ok {
		text, ok := s.Value.(string)
		if !ok {
			return fmt.Errorf("%s: %v has no unit: write a time as \"250ms\"", s.Key, s.Value)
		}
		if err := span.UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("%s: %w", s.Key, err)
		}
		return nil
	}
	switch x := s.Value.(type) {
	case int64:
		switch {
		case v.CanInt():
			v.SetInt(x)
		case v.CanFloat():
			v.SetFloat(float64(x))
		default:
			return wrong
		}
	case float64:
		switch {
		case v.CanFloat():
			v.SetFloat(x)
		case v.CanInt() && x == float64(int64(x)): // JSON has one kind of number
			v.SetInt(int64(x))
		default:
			return wrong
		}
	case bool:
		if v.Kind() != reflect.Bool {
			return wrong
		}
		v.SetBool(x)
	case string:
		if v.Kind() != reflect.String {
			return wrong
		}
		v.SetString(x)
	default:
		return wrong
	}
	return nil
}

// ParseSetting reads "world.servers=50" as a command line gives it; the value is TOML, a bare word a string.
func ParseSetting(text string) (Setting, error) {
	key, value, ok := strings.Cut(text, "=")
	if !ok {
		return Setting{}, fmt.Errorf("%q is not key=value", text)
	}
	var doc struct {
		V any `toml:"v"`
	}
	if err := toml.Unmarshal([]byte("v = "+value), &doc); err != nil {
		doc.V = value
	}
	return Setting{strings.TrimSpace(key), doc.V}, nil
}
