package demo

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"text/template"

	"github.com/pkg/errors"
)

// node is a machine of the run: its own IP address on loopback, and a process of one program. The exported fields are
// the values that settingsTemplate uses.
type node struct {
	Name            string
	IP              string
	Zone            string
	FrontPort       int // for clients
	ReadyPort       int
	ControlPort     int
	FirstPort       int // start of the range of ports for internal traffic
	LastPort        int // end of that range, inclusive
	SeedNodes       []string
	FirstStart      bool
	StateDir        string // set for coordinators only
	PlatformAddress string

	program string
	process *process // latest process; nil: none was started
}

const (
	coordinatorProgram = "pumiceline-coordinator"
	proxyProgram       = "pumiceline-proxy"
)

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
{{range .SeedNodes}}  - "{{.}}"
{{end}}firstStart: {{.FirstStart}}
countsForQuorum: true
limits: {cpuShare: 1.0, memoryMb: 256, fileLimit: 1024, diskMb: 64}
stateDir: "{{.StateDir}}"
tolerance: {machines: 1}
bounds: {graceS: 4, leaseMs: 1000, thawMs: 100, retryRatio: 0.2, retryExtra: 60, retryWindowS: 10, capWindowS: 1}
cloud: {address: "{{.PlatformAddress}}", ratePerS: 40.0, maxLagMs: 100}
`))

// writeSettings writes the node's settings file into a folder and returns its path.
func (n *node) writeSettings(dir string) (string, error) {
	path := filepath.Join(dir, n.Name+".yaml")
	file, err := os.Create(path)
	if err != nil {
		return "", errors.Wrapf(err, "write settings of %s", n.Name)
	}
	defer file.Close()
	return path, errors.Wrapf(settingsTemplate.Execute(file, n), "write settings of %s", n.Name)
}

func (n *node) clientAddress() string  { return fmt.Sprintf("%s:%d", n.IP, n.FrontPort) }
func (n *node) readyAddress() string   { return fmt.Sprintf("%s:%d", n.IP, n.ReadyPort) }
func (n *node) controlAddress() string { return fmt.Sprintf("%s:%d", n.IP, n.ControlPort) }

// startNodes starts the processes of all nodes.
func (d *demo) startNodes() error {
	ports, err := freePorts()
	if err != nil {
		return err
	}
	var seedNodes []string
	for i := range coordinatorCount {
		seedNodes = append(seedNodes, fmt.Sprintf("%s:%d", nodeIP(i), ports.control))
	}
	for i := range coordinatorCount + proxyCount {
		n := &node{
			IP:              nodeIP(i),
			Zone:            fmt.Sprintf("z%d", i%3),
			FrontPort:       ports.client,
			ReadyPort:       ports.ready,
			ControlPort:     ports.control,
			FirstPort:       ports.first,
			LastPort:        ports.first + 1,
			SeedNodes:       seedNodes,
			FirstStart:      true,
			PlatformAddress: d.platform.Address,
		}
		if i < coordinatorCount {
			n.Name, n.program = fmt.Sprintf("coordinator-%d", i), coordinatorProgram
			n.StateDir = filepath.Join(d.dir, n.Name)
		} else {
			n.Name, n.program = fmt.Sprintf("proxy-%d", i-coordinatorCount), proxyProgram
		}
		d.nodes = append(d.nodes, n)
		if err := d.startNode(n); err != nil {
			return err
		}
	}
	return nil
}

func nodeIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

// startNode writes a node's settings and starts its process.
func (d *demo) startNode(n *node) error {
	settings, err := n.writeSettings(d.dir)
	if err != nil {
		return err
	}
	p, err := startProcess(filepath.Join(d.opts.Programs, n.program), settings, d.opts.Log)
	if err != nil {
		return err
	}
	n.process = p
	return nil
}

// nodePorts are the ports that every node uses. Nodes can share them, as each has its own IP address.
type nodePorts struct{ client, ready, control, first int }

// freePorts returns distinct ports that are free on the first node's address.
func freePorts() (ports nodePorts, err error) {
	for _, port := range []*int{&ports.client, &ports.ready, &ports.control, &ports.first} {
		listener, err := net.Listen("tcp", nodeIP(0)+":0")
		if err != nil {
			return nodePorts{}, errors.Wrap(err, "find a free port")
		}
		defer listener.Close() // deferred to the return, so that the next iteration cannot get the same port
		*port = listener.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}
