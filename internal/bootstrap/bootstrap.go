// Package bootstrap reads and checks the settings file of a process of the system. The path of the file stands in
// the environment variable PUMICELINE_BOOT.
package bootstrap

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"pumiceline/internal/docreader"
)

// Variable names the environment variable that holds the path of the settings file.
const Variable = "PUMICELINE_BOOT"

// Settings are what a process is told when it starts.
type Settings struct {
	Node, Role, Zone, Region string
	Zones                    map[string]string // region by zone
	IP                       string
	FrontAddress             string // listen address for clients; empty where not served
	ReadyAddress             string // listen address for readiness checks
	ControlAddress           string // listen address for the operator
	FirstPort, LastPort      int    // ports for traffic inside the system
	Seeds                    []string
	FirstStart               bool
	CountsForQuorum          bool
	Limits                   Limits
	StateDir                 string
	Tolerance                int // machines that may be lost at one time
	Bounds                   Bounds
	Platform                 Platform
}

// Limits are the machine's limits for this process.
type Limits struct {
	CPUShare  float64
	MemoryMB  int
	FileLimit int
	DiskMB    int
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	Ack, Apply, Drain, Grace time.Duration
	Lease, Thaw              time.Duration
	RetryWindow              time.Duration
	RetryRatio               float64
	RetryExtra               float64
	CapWindow                time.Duration // window of the rule on loads
	CapExcess                float64
	ChecksFence              bool // backends refuse orders with a lower fencing token than they have seen
	Quiet                    time.Duration
	ReuseAfter               time.Duration
}

// Platform tells where the list of backends is kept.
type Platform struct {
	Address   string
	RatePerS  float64 // calls a second that all processes may make together
	MaxLag    time.Duration
	IsPresent bool
}

// Load reads the file that the environment names.
func Load() (*Settings, error) {
	path := os.Getenv(Variable)
	if path == "" {
		return nil, errors.Errorf("%s names no settings file", Variable)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading the settings file")
	}
	settings, err := Parse(text)
	return settings, errors.Wrap(err, path)
}

// Parse reads settings from YAML. The error names every faulty key.
func Parse(text []byte) (*Settings, error) {
	var document map[string]any
	if err := yaml.Unmarshal(text, &document); err != nil {
		return nil, errors.Wrap(err, "not YAML")
	}
	findings := &docreader.Findings{}
	settings := read(docreader.Root(document, findings))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

func read(root docreader.Node) *Settings {
	s := &Settings{
		Node:            root.Field("node").RequiredText(),
		Role:            root.Field("role").Text(""),
		Zone:            root.Field("zone").RequiredText(),
		Region:          root.Field("region").Text(""),
		Zones:           map[string]string{},
		IP:              root.Field("ip").RequiredText(),
		FrontAddress:    root.Field("listen").Field("front").Text(""),
		ReadyAddress:    root.Field("listen").Field("ready").Text(""),
		ControlAddress:  root.Field("listen").Field("control").Text(""),
		FirstStart:      root.Field("firstStart").Bool(false),
		CountsForQuorum: root.Field("countsForQuorum").Bool(false),
		StateDir:        root.Field("stateDir").Text(""),
		Tolerance:       int(root.Field("tolerance").Field("machines").Number(0)),
	}
	for _, zone := range root.Field("zones").Keys() {
		s.Zones[zone] = root.Field("zones").Field(zone).Text("")
	}
	for _, seed := range root.Field("seedNodes").Items() {
		s.Seeds = append(s.Seeds, seed.RequiredText())
	}
	readPorts(root.Field("portRange"), s)
	readLimits(root.Field("limits"), s)
	readBounds(root.Field("bounds"), s)
	readPlatform(root.Field("cloud"), s)
	return s
}

func readPorts(node docreader.Node, s *Settings) {
	ports := node.Items()
	if len(ports) != 2 {
		node.AddFault("the first and the last port are wanted")
		return
	}
	s.FirstPort, s.LastPort = int(ports[0].Number(0)), int(ports[1].Number(0))
	if s.FirstPort <= 0 || s.LastPort <= s.FirstPort {
		node.AddFault("two ports in rising order are wanted")
	}
}

func readLimits(node docreader.Node, s *Settings) {
	s.Limits = Limits{
		CPUShare:  node.Field("cpuShare").Number(1),
		MemoryMB:  int(node.Field("memoryMb").Number(256)),
		FileLimit: int(node.Field("fileLimit").Number(1024)),
		DiskMB:    int(node.Field("diskMb").Number(0)),
	}
}

// Defaults for bounds that the file does not give: those of the smallest deployments known.
const (
	defaultAck         = 4 * time.Second
	defaultApply       = 2 * time.Second
	defaultDrain       = 3 * time.Second
	defaultGrace       = 8 * time.Second
	defaultLease       = 3 * time.Second
	defaultThaw        = 300 * time.Millisecond
	defaultRetryWindow = 10 * time.Second
	defaultCapWindow   = 5 * time.Second
	defaultMaxLag      = 800 * time.Millisecond
)

func readBounds(node docreader.Node, s *Settings) {
	s.Bounds = Bounds{
		Ack:         milliseconds(node.Field("ackMs"), defaultAck),
		Apply:       milliseconds(node.Field("applyMs"), defaultApply),
		Drain:       milliseconds(node.Field("drainMs"), defaultDrain),
		Grace:       seconds(node.Field("graceS"), defaultGrace),
		Lease:       milliseconds(node.Field("leaseMs"), defaultLease),
		Thaw:        milliseconds(node.Field("thawMs"), defaultThaw),
		RetryWindow: seconds(node.Field("retryWindowS"), defaultRetryWindow),
		RetryRatio:  node.Field("retryRatio").Number(0),
		RetryExtra:  node.Field("retryExtra").Number(0),
		CapWindow:   seconds(node.Field("capWindowS"), defaultCapWindow),
		CapExcess:   node.Field("capExcess").Number(1),
		ChecksFence: node.Field("checksFence").Bool(false),
		Quiet:       milliseconds(node.Field("quietMs"), defaultDrain),
		ReuseAfter:  seconds(node.Field("reuseAfterS"), 2*time.Second),
	}
}

func readPlatform(node docreader.Node, s *Settings) {
	s.Platform = Platform{
		Address:   node.Field("address").Text(""),
		RatePerS:  node.Field("ratePerS").Number(10),
		MaxLag:    milliseconds(node.Field("maxLagMs"), defaultMaxLag),
		IsPresent: node.Field("address").IsPresent(),
	}
}

func milliseconds(node docreader.Node, fallback time.Duration) time.Duration {
	return time.Duration(node.Number(float64(fallback)/float64(time.Millisecond)) * float64(time.Millisecond))
}

func seconds(node docreader.Node, fallback time.Duration) time.Duration {
	return time.Duration(node.Number(fallback.Seconds()) * float64(time.Second))
}
