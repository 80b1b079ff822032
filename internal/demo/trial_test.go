package demo

import (
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/controlplane/configuration"
)

func TestEachFaultIsTold(t *testing.T) {
	good := Result{
		Streams: Count{Served: 5}, Changing: Count{Served: 5}, Loads: 1, Acknowledged: 3, Newest: 7, ReadBack: 7,
	}
	assert.NoError(t, good.Fault())
	cases := map[string]func(r *Result){
		"some kind of request was never served":              func(r *Result) { r.Streams.Served = 0 },
		"a request ran more than once":                       func(r *Result) { r.Changing.Twice = 1 },
		"an answer was passed off as whole":                  func(r *Result) { r.Streams.Broken = 1 },
		"changes of the configuration were not acknowledged": func(r *Result) { r.Acknowledged = 1 },
		"version 7 was acknowledged last, 6 was read back":   func(r *Result) { r.ReadBack = 6 },
		"no model was loaded":                                func(r *Result) { r.Loads = 0 },
	}
	for want, spoil := range cases {
		spoilt := good
		spoil(&spoilt)
		assert.EqualError(t, spoilt.Fault(), want)
	}
}

// What the trial writes for its processes and sends as an operator is what the system takes.
func TestSettingsAndConfigurationAreValid(t *testing.T) {
	m := &machine{Name: "n", IP: "127.0.0.1", Zone: "z0", FirstPort: 1, LastPort: 2, ControlPort: 3, Seeds: []string{"127.0.0.1:3"}, PlatformAddress: "127.0.0.1:4"}
	path, err := m.write(t.TempDir())
	assert.NoError(t, err)
	text, err := os.ReadFile(path)
	assert.NoError(t, err)
	settings, err := bootstrap.Parse(text)
	assert.NoError(t, err)
	assert.Equal(t, "n", settings.Node)
	config, err := configuration.Parse([]byte(configurationFor(3)))
	assert.NoError(t, err)
	assert.Equal(t, configuration.Version(3), config.Version)
}

func TestAMissingProgramIsNamed(t *testing.T) {
	_, err := Run(context.Background(), Options{Programs: t.TempDir()})
	assert.ErrorContains(t, err, "pumiceline-coordinator")
}
