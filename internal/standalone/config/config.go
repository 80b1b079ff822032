// Package config is the one place that reads the proxy's configuration: the file that ROUTER_CONFIG names and
// the variables that stand above it. It gives defaults and refuses what cannot work, naming the faulty key.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

// Config is a checked configuration.
type Config struct {
	Name           string
	Listen         string
	Discovery      string
	SharedFolder   string // a folder that all processes of this proxy see (TMPDIR); empty: there is none
	ListenFD       int    // a listening socket that was inherited as this descriptor (ROUTER_FD); 0: none, listen at Listen
	AdminListen    string // address of the operators' door; empty: there is none
	Seed           uint64
	Limits         Limits
	KnownEndpoints json.RawMessage // in discovery's form; package pool judges it
	Settings       settings.Settings
	Policy         policy.Settings

	document any // of the file, as JSON
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Defaults stand in for what neither the file nor the variables tell.
const (
	defaultName        = "pumiceline"
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultSockets     = 1024
	defaultDialTimeout = 250_000
	defaultIdleClose   = 10_000_000
	defaultRetryAfter  = 2_500_000
	minMemoryMB        = 32
	minSockets         = 64
)

type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Operator  string          `json:"operator"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Reload reads the configuration again while the proxy runs. ROUTER_DISCOVERY was set at the start and cannot be changed
// since, so what the file says of discovery now stands above it.
//
// What the file of now had, the new one must have: a file that was cut off or is being written must not pass for one that leaves
// things to their defaults. Deadlines and attempts must be positive.
func Reload(path string, env func(string) string, now *Config) (*Config, error) {
	next, err := load(path, env, true)
	if err != nil {
		return nil, err
	}
	if key := missingKey(now.document, next.document, ""); key != "" {
		return nil, fmt.Errorf("config: %s: missing", key)
	}
	if tries := next.Settings.Limits.MaxAttempts; tries < 0 || tries == 0 && now.Settings.Limits.MaxAttempts > 0 {
		return nil, fmt.Errorf("config: settings.Limits.TryLimit: %d is no number of attempts", next.Settings.Limits.MaxAttempts)
	}
	return next, nil
}

// optionalKeys are keys that a configuration may have at one time and not at another.
var optionalKeys = map[string]bool{"seed": true, "known": true, "operator": true, "peers": true, "peers_all": true, "peer_listen": true,
	"AimStretch": true, "PassesDeadline": true, "WarmKeys": true}

// missingKey returns a key that old has and next has not; the elements of lists in next need the keys that all those of old have.
func missingKey(old, next any, at string) string {
	switch old := old.(type) {
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return at
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			if optionalKeys[key] {
				continue
			}
			here := strings.TrimPrefix(at+"."+key, ".")
			if next[key] == nil && old[key] != nil {
				return here
			}
			if missing := missingKey(old[key], next[key], here); missing != "" {
				return missing
			}
		}
	case []any:
		list, ok := next.([]any)
		if !ok {
			return at
		}
		for i, element := range list {
			if missing := missingKey(commonKeys(old), element, fmt.Sprintf("%s[%d]", at, i)); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// commonKeys is an object with the keys that all objects of a list have; nil where they are none.
func commonKeys(list []any) any {
	var all map[string]any
	for i, element := range list {
		object, ok := element.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			all = maps.Clone(object)
			continue
		}
		maps.DeleteFunc(all, func(key string, _ any) bool { return object[key] == nil })
	}
	if all == nil {
		return nil
	}
	return all
}

// Load reads the configuration from the file at path, or if that is empty from the one that ROUTER_CONFIG
// names, with the environment read through env.
func Load(path string, env func(string) string) (*Config, error) {
	return load(path, env, false)
}

func load(path string, env func(string) string, again bool) (*Config, error) {
	if path == "" {
		path = env("ROUTER_CONFIG")
	}
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set, and no file given")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return parse(text, env, again)
}

// Parse checks the text of a configuration file.
func Parse(text []byte, env func(string) string) (*Config, error) {
	return parse(text, env, false)
}

func parse(text []byte, env func(string) string, again bool) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("config: %w", describeTypeError(err))
	}
	discovery := f.Discovery
	for _, v := range []struct {
		name string
		into *string
	}{{"ROUTER_NAME", &f.Name}, {"ROUTER_LISTEN", &f.Listen}, {"ROUTER_DISCOVERY", &f.Discovery},
		{"ROUTER_OPERATOR", &f.Operator}} {
		if got := env(v.name); got != "" {
			*v.into = got
		}
	}
	if again && discovery != "" {
		f.Discovery = discovery
	}
	var whole any
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{document: whole, Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminListen: f.Operator, SharedFolder: env("TMPDIR"), Limits: f.Limits, KnownEndpoints: f.Known}
	if c.Name == "" {
		c.Name = defaultName
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return nil, err
	}
	if c.AdminListen != "" {
		if err := checkAddress("operator", c.AdminListen); err != nil {
			return nil, err
		}
	}
	c.Seed = uint64(time.Now().UnixNano())
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("config: seed: %q is no hexadecimal number of 64 bits", f.Seed)
		}
		c.Seed = seed
	}
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	if string(c.KnownEndpoints) == "null" {
		c.KnownEndpoints = nil
	}
	if fd := env("ROUTER_FD"); fd != "" {
		var err error
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD < 3 {
			return nil, fmt.Errorf("config: ROUTER_FD: %q is no descriptor that can be inherited", fd)
		}
	}
	return c, c.readSettings(f.Settings)
}

func (c *Config) readSettings(text json.RawMessage) error {
	if len(text) == 0 || string(text) == "null" {
		return errors.New("config: settings: missing")
	}
	if err := json.Unmarshal(text, &c.Settings); err != nil {
		return fmt.Errorf("config: settings: %w", describeTypeError(err))
	}
	s := &c.Settings
	l := &s.Limits
	for _, d := range []struct {
		key   string
		value *float64
		use   float64
	}{
		{"DialTimeout", &l.DialTimeout, defaultDialTimeout}, {"IdleClose", &l.ConnIdleTimeout, defaultIdleClose},
		{"MaxRetryAfter", &l.MaxRetryAfter, defaultRetryAfter},
	} {
		if *d.value < 0 {
			return fmt.Errorf("config: settings.Limits.%s: %v is negative", d.key, *d.value)
		}
		if *d.value == 0 {
			*d.value = d.use
		}
	}
	if len(s.Classes) == 0 {
		return errors.New("config: settings.Classes: empty")
	}
	seen := map[string]bool{}
	for i, class := range s.Classes {
		switch {
		case class.Name == "":
			return fmt.Errorf("config: settings.Classes[%d].Name: missing", i)
		case seen[class.Name]:
			return fmt.Errorf("config: settings.Classes[%d].Name: %q stands twice", i, class.Name)
		case class.ClientTimeout <= 0:
			return fmt.Errorf("config: settings.Classes[%d].HardLimit: %v is no time", i, class.ClientTimeout)
		}
		seen[class.Name] = true
	}
	if s.Zone < 0 || s.Zone >= max(1, len(s.Zones)) {
		return fmt.Errorf("config: settings.Locality: %d is none of the %d Zones", s.Zone, len(s.Zones))
	}
	var err error
	c.Policy, err = PolicySettings(s)
	return err
}

// Policy is the module's form of settings. Destinations are probed where it allows that, and nowhere else.
func PolicySettings(s *settings.Settings) (policy.Settings, error) {
	m, err := s.Policy()
	if err != nil {
		return m, fmt.Errorf("config: %w", err)
	}
	return m, nil
}

// ReportColumns are the names of the columns of load reports that the module of these settings makes use of.
func ReportColumns(s *settings.Settings, m *policy.Settings) []string {
	if m.ReportDelivery == policy.ReportsNone || m.ReportDelivery == policy.ReportsByPolling && !m.Limits.AllowLoadPolls {
		return nil
	}
	return s.LoadReports.Columns
}

func (l *Limits) check() error {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	switch {
	case !(l.Cores > 0 && l.Cores <= 1024):
		return fmt.Errorf("config: limits.cores: %v is out of range", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fmt.Errorf("config: limits.memory_mb: %d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fmt.Errorf("config: limits.sockets: %d is under %d", l.Sockets, minSockets)
	}
	return nil
}

func checkAddress(key, value string) error {
	if value == "" {
		return fmt.Errorf("config: %s: missing", key)
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("config: %s: %w", key, err)
	}
	return nil
}

// describeTypeError puts the key before a complaint about its type.
func describeTypeError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("%s: a %s is not what belongs here", wrong.Field, wrong.Value)
	}
	return err
}
