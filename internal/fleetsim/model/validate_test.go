package model_test

import (
	"errors"
	"math"
	"strings"
	"testing"

	"pumiceline/internal/fleetsim/model"
)

// TestScenario_ValidateNamesField requires a *FieldError with the path of the field in files.
func TestScenario_ValidateNamesField(t *testing.T) {
	for path, change := range map[string]func(sc *model.Scenario){
		"servers":            func(sc *model.Scenario) { sc.Servers = 0 },
		"load":               func(sc *model.Scenario) { sc.Load = math.NaN() },
		"kinds.1.cores":      func(sc *model.Scenario) { sc.InstanceTypes[1].Cores = -1 },
		"classes.2.effect":   func(sc *model.Scenario) { sc.Classes[2].Semantics = "some" },
		"classes.0.deadline": func(sc *model.Scenario) { sc.Classes[0].Deadline = 1 },
		"trouble.0.kind":     func(sc *model.Scenario) { sc.Faults = []model.Fault{{Kind: "flu"}} },
		"trouble.0.from": func(sc *model.Scenario) {
			sc.Faults = []model.Fault{{Kind: model.FaultPartition, From: "zone:x",
				To: "servers"}}
		},
		"trouble.0.size": func(sc *model.Scenario) {
			sc.Faults = []model.Fault{{Kind: model.FaultSlowdown,
				Magnitude: 1.5}}
		},
		"discovery.break_in": func(sc *model.Scenario) { sc.Discovery.WatchLifetime = -1 },
		"clients.over_share": func(sc *model.Scenario) { sc.Clients.OverQuotaValue = 2 },
	} {
		t.Run(path, func(t *testing.T) {
			sc := model.DefaultScenario()
			change(&sc)
			var field *model.FieldError
			if err := sc.Validate(); !errors.As(err, &field) || field.Path != path ||
				!strings.HasPrefix(err.Error(), path+": ") {
				t.Errorf("%v", err)
			}
		})
	}
	sc := model.DefaultScenario()
	if err := sc.Validate(); err != nil {
		t.Error(err)
	}
}
