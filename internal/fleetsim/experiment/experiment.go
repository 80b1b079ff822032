// Package experiment reads experiment files, runs them on all cores, and keeps and compares the results.
package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"pumiceline/internal/fleetsim/model"
	"pumiceline/internal/tomlfile"
)

// Experiment is the content of an experiment file: a scenario, the policies and seeds to run it with, and the sweeps.
type Experiment struct {
	Name     string         `toml:"name"` // default: the file's name without its extension
	Title    string         `toml:"title"`
	Text     string         `toml:"text"`
	Policies []string       `toml:"policies"` // the others are compared with the first
	Seeds    []uint64       `toml:"seeds"`
	Sweeps   []Sweep        `toml:"sweep"`
	Scenario model.Scenario `toml:"world"` // absent keys are as in model.DefaultScenario

	File      string    `toml:"-"`
	Overrides []Setting `toml:"-"` // from the command line, repeated in the replay command
	keys      *tomlfile.KeyIndex
}

// Sweep is an axis: a key of the scenario and its values. The keys of With take their k-th value together with the k-th
// value of Key. Several sweeps are run in all combinations.
type Sweep struct {
	Key    string           `toml:"key"`
	Values []any            `toml:"values"`
	With   map[string][]any `toml:"with"`
	Log    bool             `toml:"log"`   // plot the axis logarithmically
	Label  string           `toml:"label"` // of the axis; empty: the key
}

// Load reads and validates an experiment. Errors in the file are *tomlfile.Error.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return Parse(path, text)
}

// Parse reads and validates an experiment from its text. The path is used only for the experiment's name and in errors
// and replay commands.
func Parse(path string, text []byte) (*Experiment, error) {
	e := &Experiment{File: path, Policies: []string{PolicyProduct}, Seeds: []uint64{1}, Scenario: model.DefaultScenario()}
	e.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	e.keys = tomlfile.IndexKeys(text)
	e.clearWrittenLists()
	if err := tomlfile.Decode(path, text, e); err != nil {
		return nil, err
	}
	return e, e.validate()
}

// clearWrittenLists clears the default of each list that the file sets. The file's entries would otherwise be added to
// the defaults instead of replacing them.
func (e *Experiment) clearWrittenLists() {
	for key, clearList := range map[string]func(){
		"world.kinds":   func() { e.Scenario.InstanceTypes = nil },
		"world.classes": func() { e.Scenario.Classes = nil },
		"world.tenants": func() { e.Scenario.Tenants = nil },
		"policies":      func() { e.Policies = nil },
		"seeds":         func() { e.Seeds = nil },
	} {
		if e.keys.Has(key) {
			clearList()
		}
	}
}
