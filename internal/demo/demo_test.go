package demo

import (
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
)

func TestResult_Violation(t *testing.T) {
	good := Result{
		Streams: RequestCounts{Served: 5}, Documents: RequestCounts{Served: 5}, ModelLoads: 1,
		AcknowledgedChanges: 3, AcknowledgedVersion: 7, ReadVersion: 7, Election: ElectionResult{Terms: 1, LeadersAtOnce: 1},
	}
	assert.NoError(t, good.Violation())
	cases := map[string]func(r *Result){
		"some kind of request was never served":               func(r *Result) { r.Streams.Served = 0 },
		"a request ran more than once":                        func(r *Result) { r.Documents.Duplicated = 1 },
		"a response with status 200 was incomplete":           func(r *Result) { r.Streams.Incomplete = 1 },
		"changes of the configuration were not acknowledged":  func(r *Result) { r.AcknowledgedChanges = 1 },
		"version 7 was acknowledged last, 6 was read back":    func(r *Result) { r.ReadVersion = 6 },
		"no model was loaded":                                 func(r *Result) { r.ModelLoads = 0 },
		"no candidate was elected":                            func(r *Result) { r.Election.Terms = 0 },
		"two candidates led at the same time":                 func(r *Result) { r.Election.LeadersAtOnce = 2 },
		"a leader's fencing token was not above those before": func(r *Result) { r.Election.HasTokenFault = true },
	}
	for want, violate := range cases {
		result := good
		violate(&result)
		assert.EqualError(t, result.Violation(), want)
	}
}

// The programs' parsers accept the generated node settings and configuration.
func TestSettingsAndConfigurationAreValid(t *testing.T) {
	n := &node{Name: "n", IP: "127.0.0.1", Zone: "z0", FirstPort: 1, LastPort: 2, ControlPort: 3,
		SeedNodes: []string{"127.0.0.1:3"}, PlatformAddress: "127.0.0.1:4"}
	path, err := n.writeSettings(t.TempDir())
	assert.NoError(t, err)
	text, err := os.ReadFile(path)
	assert.NoError(t, err)
	settings, err := bootstrap.Parse(text)
	assert.NoError(t, err)
	assert.Equal(t, "n", settings.Node)
	config, err := configuration.Parse([]byte(newConfiguration(3)))
	assert.NoError(t, err)
	assert.Equal(t, configuration.Version(3), config.Version)
}

func TestRun_NamesMissingProgram(t *testing.T) {
	_, err := Run(context.Background(), Options{Programs: t.TempDir()})
	assert.ErrorContains(t, err, "pumiceline-coordinator")
}
