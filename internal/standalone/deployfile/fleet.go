package deployfile

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"

	"pumiceline/internal/duration"
	"pumiceline/internal/singleton"
	"pumiceline/internal/tomlfile"
)

// Fleet is the content of deploy/fleet.toml: the members that agree on the holders of the fleet's singleton roles, and
// the roles.
type Fleet struct {
	Name             string // sent with every request; members of another fleet reject it
	Settings         singleton.Settings
	Members          map[uint64]string // addresses by ID
	Receivers        map[string]string // URLs to which the effects of a role go, by role
	DiscoveryRole    string            // the role whose holder follows discovery for all; empty: there is none
	DiscoveryAddress string
}

// fleetFile has the keys of deploy/fleet.toml.
type fleetFile struct {
	Name           string              `toml:"name"`
	LeaseDuration  duration.Span       `toml:"lease"`
	MaxClockDrift  float64             `toml:"drift"`
	PenaltyBackoff duration.Span       `toml:"damp"`
	Members        map[string]string   `toml:"members"`
	Roles          map[string]roleFile `toml:"works"`
}

// roleFile is one role in deploy/fleet.toml. It has either a receiver or discovery.
type roleFile struct {
	Receiver  string `toml:"receiver"`
	Discovery string `toml:"discovery"`
}

// Defaults for absent keys of deploy/fleet.toml; see singleton.Settings.
const (
	defaultLeaseDuration  = duration.Span(2_000_000) // 2 s
	defaultMaxClockDrift  = 0.2                      // a fifth of a clock's speed
	defaultPenaltyBackoff = duration.Span(2_000_000) // 2 s
)

const maxFleetNameBytes = 64

// ReadFleet reads deploy/fleet.toml. An invalid file is a *tomlfile.Error.
func ReadFleet(path string) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	file := fleetFile{
		LeaseDuration:  defaultLeaseDuration,
		MaxClockDrift:  defaultMaxClockDrift,
		PenaltyBackoff: defaultPenaltyBackoff,
	}
	if err := tomlfile.Decode(path, text, &file); err != nil {
		return nil, err
	}
	keys := keyLocator{path: path, index: tomlfile.IndexKeys(text)}
	if err := keys.checkUnits(isFleetDuration); err != nil {
		return nil, err
	}
	return file.fleet(keys)
}

// isFleetDuration reports whether a key's value is a duration.
func isFleetDuration(key string) bool { return key == "lease" || key == "damp" }

// fleet checks the file and returns its content.
func (f *fleetFile) fleet(keys keyLocator) (*Fleet, error) {
	fleet := &Fleet{
		Name: f.Name,
		Settings: singleton.Settings{LeaseDuration: singleton.Time(f.LeaseDuration), MaxClockDrift: f.MaxClockDrift,
			PenaltyBackoff: singleton.Time(f.PenaltyBackoff)},
		Members:   map[uint64]string{},
		Receivers: map[string]string{},
	}
	if f.Name == "" || len(f.Name) > maxFleetNameBytes {
		return nil, keys.errorAt("name", fmt.Sprintf("a fleet needs a name of %d bytes at most", maxFleetNameBytes))
	}
	if n := len(f.Members); n != 1 && n != 3 && n != 5 && n != 7 {
		return nil, keys.errorAt("members",
			fmt.Sprintf("there are %d, and an even number or more than 7 bears no more failures than one less", n))
	}
	for _, number := range slices.Sorted(maps.Keys(f.Members)) { // sorted, so that the first error is always the same
		if err := fleet.addMember(number, f.Members[number], keys); err != nil {
			return nil, err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.Roles)) {
		if err := fleet.addRole(name, f.Roles[name], keys); err != nil {
			return nil, err
		}
	}
	var invalid *singleton.SettingError
	if errors.As(fleet.Settings.Validate(), &invalid) {
		return nil, keys.errorAt(invalid.Key, invalid.Reason)
	}
	return fleet, nil
}

// addMember checks a member of the file and adds it.
func (f *Fleet) addMember(number, addr string, keys keyLocator) error {
	key := "members." + number
	id, err := strconv.ParseUint(number, 10, 64)
	if err != nil || id == 0 || strconv.FormatUint(id, 10) != number {
		return keys.errorAt(key, "is no number from 1")
	}
	if !hasPort(addr) {
		return keys.errorAt(key, fmt.Sprintf("%q is no address with a port", addr))
	}
	for other, otherAddr := range f.Members {
		if otherAddr == addr {
			return keys.errorAt(key, fmt.Sprintf("has the address of member %d", other))
		}
	}
	f.Members[id] = addr
	return nil
}

// addRole checks a role of the file and adds it.
func (f *Fleet) addRole(name string, role roleFile, keys keyLocator) error {
	key := "works." + name
	if role.Discovery == "" {
		if u, err := url.Parse(role.Receiver); err != nil || u.Scheme != "http" || u.Host == "" {
			return keys.errorAt(key+".receiver", fmt.Sprintf("%q is no http address", role.Receiver))
		}
		f.Receivers[name] = role.Receiver
	} else {
		if !hasPort(role.Discovery) {
			return keys.errorAt(key+".discovery", fmt.Sprintf("%q is no address with a port", role.Discovery))
		}
		if role.Receiver != "" || f.DiscoveryRole != "" {
			return keys.errorAt(key+".discovery", "a work has either a receiver or discovery, and one work alone has discovery")
		}
		f.DiscoveryRole, f.DiscoveryAddress = name, role.Discovery
	}
	f.Settings.Roles = append(f.Settings.Roles, name)
	return nil
}

func hasPort(addr string) bool {
	_, port, err := net.SplitHostPort(addr)
	return err == nil && port != ""
}
