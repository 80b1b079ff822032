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

// Fleet is deploy/fleet.toml: who agrees on the fleet's work, and what work there is.
type Fleet struct {
	Name      string // told with every call: who is of another fleet is not heard
	Settings  singleton.Settings
	Members   map[uint64]string // addresses by number
	Receivers map[string]string // by work, where its effects go
	Roster    string            // the work that is to follow discovery for all; empty: there is none
	Discovery string            // its address
}

type fleetFile struct {
	Name    string            `toml:"name"`
	Lease   duration.Span     `toml:"lease"`
	Drift   float64           `toml:"drift"`
	Damp    duration.Span     `toml:"damp"`
	Members map[string]string `toml:"members"`
	Works   map[string]struct {
		Receiver  string `toml:"receiver"`
		Discovery string `toml:"discovery"`
	} `toml:"works"`
}

// ReadFleet reads the fleet's file. Faults are *tomlfile.Error.
func ReadFleet(path string) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f := fleetFile{Lease: 2e6, Drift: 0.2, Damp: 2e6}
	if err := tomlfile.Decode(path, text, &f); err != nil {
		return nil, err
	}
	keys := tomlfile.IndexKeys(text)
	fault := func(key, why string) error {
		return &tomlfile.Error{File: path, Line: keys.Line(key), Key: key, Reason: why}
	}
	for _, key := range keys.BareNumbers {
		if key == "lease" || key == "damp" {
			return nil, fault(key, `is a time and has no unit: write it as "250ms"`)
		}
	}
	out := &Fleet{Settings: singleton.Settings{LeaseDuration: singleton.Time(f.Lease), MaxClockDrift: f.Drift, PenaltyBackoff: singleton.Time(f.Damp)}, Members: map[uint64]string{},
		Receivers: map[string]string{}}
	if out.Name = f.Name; f.Name == "" || len(f.Name) > 64 {
		return nil, fault("name", "a fleet needs a name of 64 bytes at most")
	}
	if n := len(f.Members); n != 1 && n != 3 && n != 5 && n != 7 {
		return nil, fault("members", fmt.Sprintf("there are %d, and an even number or more than 7 bears no more failures than one less", n))
	}
	for _, number := range slices.Sorted(maps.Keys(f.Members)) { // the same fault first each time
		addr := f.Members[number]
		id, err := strconv.ParseUint(number, 10, 64)
		if err != nil || id == 0 || strconv.FormatUint(id, 10) != number {
			return nil, fault("members."+number, "is no number from 1")
		}
		if _, port, err := net.SplitHostPort(addr); err != nil || port == "" {
			return nil, fault("members."+number, fmt.Sprintf("%q is no address with a port", addr))
		}
		for other, there := range out.Members {
			if there == addr {
				return nil, fault("members."+number, fmt.Sprintf("has the address of member %d", other))
			}
		}
		out.Members[id] = addr
	}
	for _, work := range slices.Sorted(maps.Keys(f.Works)) {
		w := f.Works[work]
		if w.Discovery != "" {
			if _, port, err := net.SplitHostPort(w.Discovery); err != nil || port == "" {
				return nil, fault("works."+work+".discovery", fmt.Sprintf("%q is no address with a port", w.Discovery))
			}
			if w.Receiver != "" || out.Roster != "" {
				return nil, fault("works."+work+".discovery", "a work has either a receiver or discovery, and one work alone has discovery")
			}
			out.Settings.Roles, out.Roster, out.Discovery = append(out.Settings.Roles, work), work, w.Discovery
			continue
		}
		if u, err := url.Parse(w.Receiver); err != nil || u.Scheme != "http" || u.Host == "" {
			return nil, fault("works."+work+".receiver", fmt.Sprintf("%q is no http address", w.Receiver))
		}
		out.Settings.Roles, out.Receivers[work] = append(out.Settings.Roles, work), w.Receiver
	}
	var invalid *singleton.SettingError
	if errors.As(out.Settings.Validate(), &invalid) {
		return nil, fault(invalid.Key, invalid.Reason)
	}
	return out, nil
}
