// Package bootstrap reads and checks the settings file of a process of the system. The platform writes the file; the
// environment variable PUMICELINE_BOOT names it. Settings do not change while the process runs.
package bootstrap

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"pumiceline/internal/docreader"
)

// EnvironmentVariable names the variable that holds the path of the settings file.
const EnvironmentVariable = "PUMICELINE_BOOT"

// ErrNoFile is returned by Load when the environment names no settings file.
var ErrNoFile = errors.New(EnvironmentVariable + " names no settings file")

// Settings describe the machine of a process and the system that it belongs to, as of its start.
type Settings struct {
	Node             string // name of the machine
	Role             string
	Zone             string // failure domain
	Region           string
	Zones            map[string]string // region by zone
	IP               string            // listen address for other processes of the system
	ClientAddress    string            // listen address for clients; empty: no clients are served
	ReadinessAddress string            // listen address for readiness checks
	ControlAddress   string            // listen address for the operator
	FirstPort        int               // first port for traffic inside the system; only this one is used
	LastPort         int
	Seeds            []string // control addresses of the first coordinators
	FirstStart       bool     // the system starts for the first time, and the seeds are its members
	CountsForQuorum  bool     // not used
	Limits           Limits
	StateDir         string // empty: the machine has no disk
	Tolerance        int    // number of machines that may be lost at the same time
	Bounds           Bounds
	Platform         Platform
}

// Limits are the machine's limits for this process.
type Limits struct {
	CPUShare  float64 // of one core
	MemoryMB  int
	FileLimit int // open files
	DiskMB    int
}

// Bounds are the limits that the deployment's rules set. Ack, Apply, Quiet and ReuseAfter are read only to check their
// values; nothing uses them.
type Bounds struct {
	Ack         time.Duration // within which a change is acknowledged
	Apply       time.Duration // within which an acknowledged change is in force at every proxy that reaches a coordinator
	Drain       time.Duration // between the announcement that a backend is removed and its removal
	GracePeriod time.Duration // between SIGTERM and SIGKILL
	Lease       time.Duration // within which two lease holders must not both send commands to backends
	Thaw        time.Duration // after a frozen process resumes, within which its late effects are tolerated
	RetryWindow time.Duration // over which retries are counted
	RetryRatio  float64       // retries allowed in the window, as a fraction of its requests
	RetryExtra  float64       // retries allowed beyond that fraction, for all proxies together
	LoadWindow  time.Duration // over which loads from the weight store are counted
	LoadExcess  float64       // factor by which these loads may exceed the allowed rate over the window
	// ChecksFencingTokens reports whether backends reject commands whose fencing token is lower than the highest that
	// they have seen.
	ChecksFencingTokens bool
	History             time.Duration // for which a watch of keys may be interrupted without missing events
	Quiet               time.Duration // not used
	ReuseAfter          time.Duration // not used
}

// Platform describes where and how the list of backends is read.
type Platform struct {
	Address           string
	MaxCallsPerSecond float64       // of all processes together
	MaxLag            time.Duration // by which the list may lag behind the state of the backends
	IsPresent         bool          // the file names an address
}

// ErrIncomplete is returned by Load for a file that lacks a section which the platform always writes. The platform may
// still be writing the file. Defaults in place of the section would be those of another deployment.
var ErrIncomplete = errors.New("the file is not complete")

// Load reads the file that the environment variable names. The error is ErrNoFile, or names the file and its faults.
func Load() (*Settings, error) {
	path := os.Getenv(EnvironmentVariable)
	if path == "" {
		return nil, ErrNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the settings file")
	}
	document, err := decode(text)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	settings, err := readDocument(document)
	if err == nil {
		err = checkComplete(document)
	}
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return settings, nil
}

// platformDiscovery is the value of discovery for a list of backends that the platform serves.
const platformDiscovery = "platform"

// checkComplete checks that a file has the sections that stand behind the required keys: a beginning of the file may be
// valid YAML without them.
func checkComplete(document map[string]any) error {
	sections := []string{"listen", "stateDir", "bounds"}
	if document["discovery"] == platformDiscovery {
		sections = append(sections, "cloud")
	}
	for _, section := range sections {
		if _, ok := document[section]; !ok {
			return errors.Wrap(ErrIncomplete, section+" is missing")
		}
	}
	return nil
}

// Parse reads settings from YAML. If the text is valid YAML with faulty settings, the error is a *docreader.Error that
// lists every faulty key.
func Parse(text []byte) (*Settings, error) {
	document, err := decode(text)
	if err != nil {
		return nil, err
	}
	return readDocument(document)
}

// decode returns the one document of a YAML text. A key that stands twice is an error, and so is a second document: it
// would be passed over.
func decode(text []byte) (map[string]any, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document map[string]any
	if err := decoder.Decode(&document); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, "not YAML")
	}
	var second any
	err := decoder.Decode(&second)
	switch {
	case errors.Is(err, io.EOF), err == nil && second == nil:
		return document, nil
	case err != nil:
		return nil, errors.Wrap(err, "not YAML")
	}
	return nil, errors.New("a second YAML document; one is wanted")
}

// readDocument reads the settings of a document, or returns its faults.
func readDocument(document map[string]any) (*Settings, error) {
	findings := &docreader.Findings{}
	settings := read(docreader.Root(document, findings))
	if err := findings.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// Defaults for keys that the file does not have. Those of Bounds are the values of the smallest known deployments.
const (
	defaultMemoryMB          = 256
	defaultFileLimit         = 1024
	defaultAck               = 4 * time.Second
	defaultApply             = 2 * time.Second
	defaultDrain             = 3 * time.Second
	defaultGracePeriod       = 8 * time.Second
	defaultLease             = 3 * time.Second
	defaultThaw              = 300 * time.Millisecond
	defaultRetryWindow       = 10 * time.Second
	defaultLoadWindow        = 5 * time.Second
	defaultReuseAfter        = 2 * time.Second
	defaultHistory           = 20 * time.Second
	defaultMaxCallsPerSecond = 10
	defaultMaxLag            = 800 * time.Millisecond
)

func read(root docreader.Node) *Settings {
	s := &Settings{
		Node:             root.Field("node").RequiredText(),
		Role:             root.Field("role").Text(""),
		Zone:             root.Field("zone").RequiredText(),
		Region:           root.Field("region").Text(""),
		Zones:            map[string]string{},
		IP:               root.Field("ip").RequiredText(),
		ClientAddress:    root.Field("listen").Field("front").Text(""),
		ReadinessAddress: root.Field("listen").Field("ready").Text(""),
		ControlAddress:   root.Field("listen").Field("control").Text(""),
		FirstStart:       root.Field("firstStart").Bool(false),
		CountsForQuorum:  root.Field("countsForQuorum").Bool(false),
		StateDir:         root.Field("stateDir").Text(""),
		Tolerance:        int(root.Field("tolerance").Field("machines").Number(0)),
	}
	for _, zone := range root.Field("zones").Keys() {
		s.Zones[zone] = root.Field("zones").Field(zone).Text("")
	}
	for _, seed := range root.Field("seedNodes").Items() {
		s.Seeds = append(s.Seeds, seed.RequiredText())
	}
	s.FirstPort, s.LastPort = readPorts(root.Field("portRange"))
	s.Limits = readLimits(root.Field("limits"))
	s.Bounds = readBounds(root.Field("bounds"))
	s.Platform = readPlatform(root.Field("cloud"))
	return s
}

func readPorts(node docreader.Node) (first, last int) {
	ports := node.Items()
	if len(ports) != 2 {
		node.AddFault("the first and the last port are wanted")
		return 0, 0
	}
	first, last = int(ports[0].Number(0)), int(ports[1].Number(0))
	if first <= 0 || last <= first {
		node.AddFault("two ports in rising order are wanted")
	}
	return first, last
}

func readLimits(node docreader.Node) Limits {
	return Limits{
		CPUShare:  node.Field("cpuShare").Number(1),
		MemoryMB:  int(node.Field("memoryMb").Number(defaultMemoryMB)),
		FileLimit: int(node.Field("fileLimit").Number(defaultFileLimit)),
		DiskMB:    int(node.Field("diskMb").Number(0)),
	}
}

func readBounds(node docreader.Node) Bounds {
	return Bounds{
		Ack:                 milliseconds(node.Field("ackMs"), defaultAck),
		Apply:               milliseconds(node.Field("applyMs"), defaultApply),
		Drain:               milliseconds(node.Field("drainMs"), defaultDrain),
		GracePeriod:         seconds(node.Field("graceS"), defaultGracePeriod),
		Lease:               milliseconds(node.Field("leaseMs"), defaultLease),
		Thaw:                milliseconds(node.Field("thawMs"), defaultThaw),
		RetryWindow:         seconds(node.Field("retryWindowS"), defaultRetryWindow),
		RetryRatio:          node.Field("retryRatio").Number(0),
		RetryExtra:          node.Field("retryExtra").Number(0),
		LoadWindow:          seconds(node.Field("capWindowS"), defaultLoadWindow),
		LoadExcess:          node.Field("capExcess").Number(1),
		ChecksFencingTokens: node.Field("checksFence").Bool(false),
		History:             seconds(node.Field("historyS"), defaultHistory),
		Quiet:               milliseconds(node.Field("quietMs"), defaultDrain),
		ReuseAfter:          seconds(node.Field("reuseAfterS"), defaultReuseAfter),
	}
}

func readPlatform(node docreader.Node) Platform {
	return Platform{
		Address:           node.Field("address").Text(""),
		MaxCallsPerSecond: node.Field("ratePerS").Number(defaultMaxCallsPerSecond),
		MaxLag:            milliseconds(node.Field("maxLagMs"), defaultMaxLag),
		IsPresent:         node.Field("address").IsPresent(),
	}
}

func milliseconds(node docreader.Node, fallback time.Duration) time.Duration {
	return time.Duration(node.Number(float64(fallback)/float64(time.Millisecond)) * float64(time.Millisecond))
}

func seconds(node docreader.Node, fallback time.Duration) time.Duration {
	return time.Duration(node.Number(fallback.Seconds()) * float64(time.Second))
}
