// Package config reads the proxy's configuration: the file that ROUTER_CONFIG names, and the environment variables that
// override its values. It applies defaults, and rejects invalid values with errors that name their keys.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
	"pumiceline/internal/strictjson"
)

// Config is a valid configuration.
type Config struct {
	Name           string          // in log records, and with Listen the proxy's identity in SharedFolder
	Listen         string          // IP address and port for clients; required
	Discovery      string          // IP address and port of discovery; required
	AdminListen    string          // IP address and port of the admin API; empty: there is none
	ListenFD       int             // descriptor of an inherited listening socket (ROUTER_FD); 0: none, open one at Listen
	SharedFolder   string          // folder that all processes of this proxy share (TMPDIR); empty: there is none
	Seed           uint64          // seed of the policy's random numbers; from the clock if the file has none
	Limits         Limits          // resources of the machine that the proxy may use
	KnownEndpoints json.RawMessage // endpoint list to start with, in the form of discovery; checked by package discovery
	Settings       settings.Settings
	Policy         policy.Settings // made from Settings

	document any // the file as decoded JSON, for Reload to compare its keys with those of the next one
}

// Limits are the resources of the machine that the proxy may use. Several processes of one proxy divide memory and
// sockets among them. 0 stands for the default.
type Limits struct {
	Cores    float64 `json:"cores"`     // CPU cores; rounded up, the number of threads that run Go code; 1 by default
	MemoryMB int     `json:"memory_mb"` // in MiB; at least minMemoryMB; 192 by default
	Sockets  int     `json:"sockets"`   // at least minSockets; 1024 by default
}

// Defaults of keys that are neither in the file nor in the environment. Times are in microseconds, as in the settings.
const (
	defaultName        = "pumiceline"
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultSockets     = 1024
	defaultDialTimeout = 250_000
	defaultIdleClose   = 10_000_000
	defaultRetryAfter  = 2_500_000
)

// Bounds of valid values.
const (
	maxCores    = 1024
	minMemoryMB = 32
	minSockets  = 64
	minListenFD = 3 // 0 to 2 are the standard streams
)

// KeyError is the error of one key of the file, or of one environment variable.
type KeyError struct {
	Key string // with the keys of the enclosing objects, such as settings.Limits.DialTimeout
	Err error
}

// Error implements error.
func (e *KeyError) Error() string { return "config: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

var (
	errMissing = errors.New("missing")
	errNoFile  = errors.New("ROUTER_CONFIG: not set, and no file given")
)

// keyErrorf returns a *KeyError with a formatted cause.
func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// file is the configuration file.
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

// Load reads the configuration from the file at path, or, if that is empty, from the one that ROUTER_CONFIG names. The
// environment is read by env.
func Load(path string, env func(string) string) (*Config, error) {
	text, err := readFile(path, env)
	if err != nil {
		return nil, err
	}
	return Parse(text, env)
}

// readFile returns the text of the file at path, or, if that is empty, of the one that ROUTER_CONFIG names.
func readFile(path string, env func(string) string) ([]byte, error) {
	if path == "" {
		path = env("ROUTER_CONFIG")
	}
	if path == "" {
		return nil, errNoFile
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	return text, nil
}

// Parse checks the text of a configuration file.
func Parse(text []byte, env func(string) string) (*Config, error) {
	f, err := parseFile(text)
	if err != nil {
		return nil, err
	}
	f.applyEnvironment(env)
	return f.check(text, env)
}

func parseFile(text []byte) (*file, error) {
	var f file
	if err := strictjson.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("config: %w", nameKey(err))
	}
	return &f, nil
}

// applyEnvironment overrides values of the file by environment variables.
func (f *file) applyEnvironment(env func(string) string) {
	for _, v := range []struct {
		name  string
		value *string
	}{
		{"ROUTER_NAME", &f.Name},
		{"ROUTER_LISTEN", &f.Listen},
		{"ROUTER_DISCOVERY", &f.Discovery},
		{"ROUTER_OPERATOR", &f.Operator},
	} {
		if override := env(v.name); override != "" {
			*v.value = override
		}
	}
}

// check checks the file and returns its configuration. text is the text of the file.
func (f *file) check(text []byte, env func(string) string) (*Config, error) {
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminListen: f.Operator, SharedFolder: env("TMPDIR"),
		Limits: f.Limits, KnownEndpoints: f.Known}
	if err := json.Unmarshal(text, &c.document); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if c.Name == "" {
		c.Name = defaultName
	}
	if string(c.KnownEndpoints) == "null" {
		c.KnownEndpoints = nil
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.setSeed(f.Seed); err != nil {
		return nil, err
	}
	c.Limits.setDefaults()
	if err := c.Limits.check(); err != nil {
		return nil, err
	}
	if err := c.setListenFD(env("ROUTER_FD")); err != nil {
		return nil, err
	}
	if err := c.setSettings(f.Settings); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.AdminListen == "" {
		return nil
	}
	return checkAddress("operator", c.AdminListen)
}

// checkAddress checks that a required key is set, to an IP address and port.
func checkAddress(key, value string) error {
	if value == "" {
		return &KeyError{Key: key, Err: errMissing}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &KeyError{Key: key, Err: err}
	}
	return nil
}

// setSeed sets the seed from its hexadecimal form, or from the time if that is empty.
func (c *Config) setSeed(hexadecimal string) error {
	if hexadecimal == "" {
		c.Seed = uint64(time.Now().UnixNano())
		return nil
	}
	seed, err := strconv.ParseUint(hexadecimal, 16, 64)
	if err != nil {
		return keyErrorf("seed", "%q is no hexadecimal number of 64 bits", hexadecimal)
	}
	c.Seed = seed
	return nil
}

func (c *Config) setListenFD(descriptor string) error {
	if descriptor == "" {
		return nil
	}
	fd, err := strconv.Atoi(descriptor)
	if err != nil || fd < minListenFD {
		return keyErrorf("ROUTER_FD", "%q is no descriptor that can be inherited", descriptor)
	}
	c.ListenFD = fd
	return nil
}

func (l *Limits) setDefaults() {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
}

func (l *Limits) check() error {
	switch {
	case !(l.Cores > 0 && l.Cores <= maxCores):
		return keyErrorf("limits.cores", "%v is out of range", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return keyErrorf("limits.memory_mb", "%d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return keyErrorf("limits.sockets", "%d is under %d", l.Sockets, minSockets)
	}
	return nil
}

// nameKey replaces the error for a value of the wrong JSON type by one that names the key, without Go types.
func nameKey(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return fmt.Errorf("%s: a %s is not what belongs here", typeErr.Field, typeErr.Value)
	}
	return err
}
