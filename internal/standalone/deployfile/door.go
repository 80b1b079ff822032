// Package deployfile reads the operators' own files under deploy/: strict TOML, each fault told with file, line and key. What
// the platform tells a proxy is read by package config alone.
package deployfile

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"pumiceline/internal/duration"
	"pumiceline/internal/standalone/admission"
	"pumiceline/internal/standalone/settings"
	"pumiceline/internal/tomlfile"
)

// admissionFile is deploy/door.toml.
type admissionFile struct {
	Waiting     int                      `toml:"waiting"`
	Buckets     int                      `toml:"buckets"`
	Least       float64                  `toml:"least"`
	Most        float64                  `toml:"most"`
	Start       float64                  `toml:"start"`
	Patience    float64                  `toml:"patience"`
	Repeats     float64                  `toml:"repeats"`
	RepeatBurst float64                  `toml:"repeat_burst"`
	MaxComeBack duration.Span            `toml:"max_come_back"`
	Rotate      duration.Span            `toml:"rotate"`
	Shares      map[string]float64       `toml:"shares"`
	Worth       map[string]float64       `toml:"worth"`
	Work        map[string]duration.Span `toml:"work"`
}

// defaultWorkMicros is what a request is taken to cost where neither its client nor the file says.
const defaultWorkMicros = 100_000

// ReadAdmission reads the door's file for a deployment. Tenants have their quota for a share where the file names none, classes the
// worth that the deployment's settings give them. Faults are *tomlfile.Error.
func ReadAdmission(path string, s *settings.Settings, seed uint64) (admission.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("door: %w", err)
	}
	return parseAdmission(path, text, s, seed)
}

func parseAdmission(path string, text []byte, s *settings.Settings, seed uint64) (admission.Settings, error) {
	set := admission.Defaults()
	f := admissionFile{Waiting: set.MaxQueued, Buckets: set.QueuesPerClass, Least: set.MinLimit, Most: set.MaxLimit, Start: set.InitialLimit, Patience: set.RequiredTimeFactor,
		Repeats: set.RetryRatio, RepeatBurst: set.RetryBurst, MaxComeBack: duration.Span(set.MaxRetryAfter), Rotate: duration.Span(set.SaltRotation)}
	if err := tomlfile.Decode(path, text, &f); err != nil {
		return set, err
	}
	keys := tomlfile.IndexKeys(text)
	fault := func(key, why string) error {
		return &tomlfile.Error{File: path, Line: keys.Line(key), Key: key, Reason: why}
	}
	for _, key := range keys.BareNumbers {
		if key == "max_come_back" || key == "rotate" || strings.HasPrefix(key, "work.") {
			return set, fault(key, "is a time and has no unit: write it as \"250ms\"")
		}
	}
	set.MaxQueued, set.QueuesPerClass, set.MinLimit, set.MaxLimit, set.InitialLimit, set.RequiredTimeFactor = f.Waiting, f.Buckets, f.Least, f.Most, f.Start, f.Patience
	set.RetryRatio, set.RetryBurst, set.MaxRetryAfter, set.SaltRotation = f.Repeats, f.RepeatBurst, admission.Time(f.MaxComeBack), admission.Time(f.Rotate)
	set.Seed = seed
	set.OverQuotaFactor = s.OverQuotaValue
	tenants, classes := map[string]bool{}, map[string]bool{}
	for _, p := range s.Tenants {
		tenants[p.Name] = true
		share, told := f.Shares[p.Name]
		if !told {
			share = p.QuotaPerS
		}
		set.Tenants = append(set.Tenants, admission.Tenant{Name: p.Name, Share: share, Rate: p.QuotaPerS / float64(max(1, s.GroupSize))})
	}
	if len(set.Tenants) == 0 { // a deployment without tenants is one tenant to the door
		set.Tenants = []admission.Tenant{{Name: "", Share: 1}}
	}
	for _, c := range s.Classes {
		classes[c.Name] = true
		k := admission.Class{Name: c.Name, Value: c.Value, Work: defaultWorkMicros, LatencyTarget: settings.Micros(c.LatencyTarget)}
		if w, told := f.Worth[c.Name]; told {
			k.Value = w
		}
		if w, told := f.Work[c.Name]; told {
			k.Work = admission.Time(w)
		}
		set.Classes = append(set.Classes, k)
	}
	for _, list := range []struct {
		key   string
		names []string
		known map[string]bool
		what  string
	}{{"shares", slices.Sorted(maps.Keys(f.Shares)), tenants, "tenant"}, {"worth", slices.Sorted(maps.Keys(f.Worth)), classes, "class"},
		{"work", slices.Sorted(maps.Keys(f.Work)), classes, "class"}} {
		for _, name := range list.names {
			if !list.known[name] {
				return set, fault(list.key+"."+name, "the deployment has no such "+list.what)
			}
		}
	}
	if key, why := set.Check(); key != "" {
		// A tenant's or class's setting stands in the file under its name.
		if parts := strings.Split(key, "."); len(parts) == 3 {
			at, err := strconv.Atoi(parts[1])
			if err != nil {
				return set, fault(key, why)
			}
			switch parts[2] {
			case "share":
				key = "shares." + set.Tenants[at].Name
			default: // worth or work
				key = parts[2] + "." + set.Classes[at].Name
			}
		}
		return set, fault(key, why)
	}
	return set, nil
}
