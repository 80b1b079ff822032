// Package demo runs the whole system on loopback with real processes and fake surroundings, takes a coordinator down
// under way, and says what became of every request and change.
package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"text/template"

	"github.com/pkg/errors"
)

// machine is one machine of the trial: an address of its own on loopback.
type machine struct {
	Name, IP, Zone  string
	FrontPort       int
	ReadyPort       int
	ControlPort     int
	FirstPort       int
	LastPort        int
	Seeds           []string
	First           bool
	StateDir        string
	PlatformAddress string
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node: "{{.Name}}"
zone: "{{.Zone}}"
region: "loopback"
ip: "{{.IP}}"
listen:
  front: "{{.IP}}:{{.FrontPort}}"
  ready: "{{.IP}}:{{.ReadyPort}}"
  control: "{{.IP}}:{{.ControlPort}}"
portRange: [{{.FirstPort}}, {{.LastPort}}]
seedNodes:
{{range .Seeds}}  - "{{.}}"
{{end}}firstStart: {{.First}}
countsForQuorum: true
limits: {cpuShare: 1.0, memoryMb: 256, fileLimit: 1024, diskMb: 64}
stateDir: "{{.StateDir}}"
tolerance: {machines: 1}
bounds: {graceS: 4, leaseMs: 1000, thawMs: 100, retryRatio: 0.2, retryExtra: 60, retryWindowS: 10, capWindowS: 1}
cloud: {address: "{{.PlatformAddress}}", ratePerS: 40.0, maxLagMs: 100}
`))

// write puts the machine's settings file into dir and returns its path.
func (m *machine) write(dir string) (string, error) {
	path := filepath.Join(dir, m.Name+".yaml")
	file, err := os.Create(path)
	if err != nil {
		return "", errors.Wrap(err, "writing settings")
	}
	defer file.Close()
	return path, errors.Wrap(settingsTemplate.Execute(file, m), "writing settings")
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.IP, m.FrontPort) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.IP, m.ReadyPort) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.IP, m.ControlPort) }
