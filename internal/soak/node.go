package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"

	"pumiceline/internal/bootstrap"
	"pumiceline/internal/fake/fakesystem"
	"pumiceline/internal/faulttest"
)

// Ports of every node. Nodes can share them, as each has its own IP address.
const (
	clientPort   = 10080
	readyPort    = 10081
	controlPort  = 10082
	internalPort = 10083 // the first of a range of two
)

// node is a role of a machine of the run, with one process, which is restarted after each end. A machine has up to two
// nodes, which share its address. The settings template uses the exported fields and methods.
type node struct {
	Name            string
	IP              string
	Zone            string
	SeedNodes       []string
	StateDir        string // empty: the machine has no disk
	PlatformAddress string
	PlatformRate    float64 // calls a second of all processes together, as the settings state it
	Tolerance       int
	Bounds          Bounds

	role     Role
	entrance *fakesystem.Entrance // of the platform, at PlatformAddress
	program  string               // path

	mu           sync.Mutex
	instance     int                // number of processes that were started
	replacedBy   int                // instance that was started while the one before was stopping; it has to be awaited
	process      *faulttest.Process // nil: none runs
	isTerminated bool               // the process was sent SIGTERM
	isDiskFull   bool               // its writes to files fail
	isFrozen     bool
	isAdded      bool          // the machine was not there at the first start of the system
	addedAt      Moment        // when an added machine was first started
	isRemoved    bool          // the machine is gone for good, or will be when its process has ended
	hasLostDisk  bool          // the next start finds an empty disk
	backAt       Moment        // when the process was last started or thawed
	restartDelay time.Duration // between the end of the process and its restart
}

var settingsTemplate = template.Must(template.New("settings").Parse(`node: "{{.Name}}"
zone: "{{.Zone}}"
region: "loopback"
ip: "{{.IP}}"
listen:
  front: "{{.ClientAddress}}"
  ready: "{{.ReadyAddress}}"
  control: "{{.ControlAddress}}"
portRange: [{{.FirstPort}}, {{.LastPort}}]
seedNodes:
{{range .SeedNodes}}  - "{{.}}"
{{end}}firstStart: {{.IsFirstStart}}
countsForQuorum: true
limits: {cpuShare: 0.5, memoryMb: {{.MemoryMB}}, fileLimit: 4100, diskMb: 64}
stateDir: "{{.StateDir}}"
tolerance: {machines: {{.Tolerance}}}
bounds:
  ackMs: {{.Bounds.Acknowledge.Milliseconds}}
  applyMs: {{.Bounds.Apply.Milliseconds}}
  drainMs: {{.Bounds.Drain.Milliseconds}}
  graceS: {{.Bounds.Grace.Seconds}}
  leaseMs: {{.Bounds.Lease.Milliseconds}}
  thawMs: {{.Bounds.Thaw.Milliseconds}}
  historyS: {{.Bounds.History.Seconds}}
  quietMs: {{.Bounds.Quiet.Milliseconds}}
  retryRatio: 0.2
  retryExtra: 220
  retryWindowS: 10
  capWindowS: 5
  capExcess: 1.1
cloud: {address: "{{.PlatformAddress}}", ratePerS: {{.PlatformRate}}, maxLagMs: 100}
`))

// ClientAddress is where the node's process serves clients.
func (n *node) ClientAddress() string { return fmt.Sprintf("%s:%d", n.IP, clientPort) }

// ReadyAddress is where the node's process answers readiness checks.
func (n *node) ReadyAddress() string { return fmt.Sprintf("%s:%d", n.IP, readyPort) }

// ControlAddress is where the node's process serves operators.
func (n *node) ControlAddress() string { return fmt.Sprintf("%s:%d", n.IP, controlPort) }

// FirstPort is the first port of the range for internal traffic.
func (n *node) FirstPort() int { return internalPort }

// LastPort is the last port of the range for internal traffic.
func (n *node) LastPort() int { return internalPort + 1 }

// MemoryMB is the node's memory, in MiB.
func (n *node) MemoryMB() int { return memoryLimitMB }

// IsFirstStart reports whether the node's process starts with the first start of the whole system.
func (n *node) IsFirstStart() bool { return n.instance == 0 && !n.isAdded }

// emptyLostDisk empties the disk if it was lost. The caller holds n.mu.
func (n *node) emptyLostDisk() error {
	if !n.hasLostDisk {
		return nil
	}
	if err := os.RemoveAll(n.StateDir); err != nil {
		return fmt.Errorf("empty the disk of %s: %w", n.Name, err)
	}
	n.hasLostDisk = false
	return nil
}

// command writes the settings file into a folder and returns the command that starts the node's process.
func (n *node) command(dir string) (*exec.Cmd, error) {
	path := filepath.Join(dir, n.Name+".yaml")
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", n.Name, err)
	}
	defer file.Close()
	if err := settingsTemplate.Execute(file, n); err != nil {
		return nil, fmt.Errorf("write settings of %s: %w", n.Name, err)
	}
	command := exec.Command(n.program)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process also if the run is killed
	command.Env = append(os.Environ(), bootstrap.EnvironmentVariable+"="+path)
	return command, nil
}
