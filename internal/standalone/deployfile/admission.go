// Package deployfile reads the files under deploy/ that operators write, in strict TOML: each error names the file,
// line and key. Package config reads the configuration that the platform gives a proxy.
package deployfile

import (
	"errors"
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

// admissionFile is deploy/door.toml, the settings of admission control. admission.Settings documents the fields; an
// absent key has the value of admission.Defaults.
type admissionFile struct {
	MaxQueued          int                      `toml:"waiting"`
	QueuesPerClass     int                      `toml:"buckets"`
	MinLimit           float64                  `toml:"least"`
	MaxLimit           float64                  `toml:"most"`
	InitialLimit       float64                  `toml:"start"`
	RequiredTimeFactor float64                  `toml:"patience"`
	RetryRatio         float64                  `toml:"repeats"`
	RetryBurst         float64                  `toml:"repeat_burst"`
	MaxRetryAfter      duration.Span            `toml:"max_come_back"`
	SaltRotation       duration.Span            `toml:"rotate"`
	Shares             map[string]float64       `toml:"shares"` // by tenant; an absent one has its quota as its share
	Values             map[string]float64       `toml:"worth"`  // by class; an absent one has the deployment's value
	Work               map[string]duration.Span `toml:"work"`   // by class; an absent one has defaultWorkMicros
}

// Keys of admissionFile whose values are durations, which need a unit.
const (
	maxRetryAfterKey = "max_come_back"
	saltRotationKey  = "rotate"
	workKeyPrefix    = "work."
)

// isAdmissionDuration reports whether a key's value is a duration.
func isAdmissionDuration(key string) bool {
	return key == maxRetryAfterKey || key == saltRotationKey || strings.HasPrefix(key, workKeyPrefix)
}

// defaultWorkMicros is the expected work of a request of a class that the file does not name, in microseconds on a
// standard core.
const defaultWorkMicros = 100_000

// ReadAdmission reads the file of admission control for a deployment's settings. A tenant without a share in the file
// has its quota as its share; a class without a value has the value in the settings. An invalid file is a
// *tomlfile.Error.
func ReadAdmission(path string, s *settings.Settings, seed uint64) (admission.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return admission.Settings{}, fmt.Errorf("admission control: %w", err)
	}
	return parseAdmission(path, text, s, seed)
}

// parseAdmission is ReadAdmission for the content of a file. path is used in errors only.
func parseAdmission(path string, text []byte, s *settings.Settings, seed uint64) (admission.Settings, error) {
	set := admission.Defaults()
	file := newAdmissionFile(set)
	if err := tomlfile.Decode(path, text, &file); err != nil {
		return set, err
	}
	keys := keyLocator{path: path, index: tomlfile.IndexKeys(text)}
	if err := keys.checkUnits(isAdmissionDuration); err != nil {
		return set, err
	}
	file.copyTo(&set)
	set.Seed = seed
	set.OverQuotaFactor = s.OverQuotaValue
	set.Tenants = file.tenants(s)
	set.Classes = file.classes(s)
	if err := file.checkNames(s, keys); err != nil {
		return set, err
	}
	if err := set.Check(); err != nil {
		return set, keys.locate(err, &set)
	}
	return set, nil
}

// newAdmissionFile returns a file with the values of defaults.
func newAdmissionFile(defaults admission.Settings) admissionFile {
	return admissionFile{
		MaxQueued:          defaults.MaxQueued,
		QueuesPerClass:     defaults.QueuesPerClass,
		MinLimit:           defaults.MinLimit,
		MaxLimit:           defaults.MaxLimit,
		InitialLimit:       defaults.InitialLimit,
		RequiredTimeFactor: defaults.RequiredTimeFactor,
		RetryRatio:         defaults.RetryRatio,
		RetryBurst:         defaults.RetryBurst,
		MaxRetryAfter:      duration.Span(defaults.MaxRetryAfter),
		SaltRotation:       duration.Span(defaults.SaltRotation),
	}
}

// copyTo copies the values that do not belong to a tenant or class.
func (f *admissionFile) copyTo(set *admission.Settings) {
	set.MaxQueued = f.MaxQueued
	set.QueuesPerClass = f.QueuesPerClass
	set.MinLimit = f.MinLimit
	set.MaxLimit = f.MaxLimit
	set.InitialLimit = f.InitialLimit
	set.RequiredTimeFactor = f.RequiredTimeFactor
	set.RetryRatio = f.RetryRatio
	set.RetryBurst = f.RetryBurst
	set.MaxRetryAfter = admission.Time(f.MaxRetryAfter)
	set.SaltRotation = admission.Time(f.SaltRotation)
}

// tenants returns the tenants of a deployment, or one tenant without a name if it has none.
func (f *admissionFile) tenants(s *settings.Settings) []admission.Tenant {
	if len(s.Tenants) == 0 {
		return []admission.Tenant{{Name: "", Share: 1}}
	}
	var tenants []admission.Tenant
	for _, t := range s.Tenants {
		share, ok := f.Shares[t.Name]
		if !ok {
			share = t.QuotaPerS
		}
		rate := t.QuotaPerS / float64(max(1, s.GroupSize))
		tenants = append(tenants, admission.Tenant{Name: t.Name, Share: share, Rate: rate})
	}
	return tenants
}

// classes returns the classes of a deployment.
func (f *admissionFile) classes(s *settings.Settings) []admission.Class {
	var classes []admission.Class
	for _, c := range s.Classes {
		class := admission.Class{Name: c.Name, Value: c.Value, Work: defaultWorkMicros, LatencyTarget: settings.Micros(c.LatencyTarget)}
		if value, ok := f.Values[c.Name]; ok {
			class.Value = value
		}
		if work, ok := f.Work[c.Name]; ok {
			class.Work = admission.Time(work)
		}
		classes = append(classes, class)
	}
	return classes
}

// checkNames returns an error if the file names a tenant or class that the deployment does not have.
func (f *admissionFile) checkNames(s *settings.Settings, keys keyLocator) error {
	tenants, classes := map[string]bool{}, map[string]bool{}
	for _, t := range s.Tenants {
		tenants[t.Name] = true
	}
	for _, c := range s.Classes {
		classes[c.Name] = true
	}
	for _, table := range []struct {
		key   string
		names []string
		known map[string]bool
		kind  string
	}{
		{"shares", slices.Sorted(maps.Keys(f.Shares)), tenants, "tenant"},
		{"worth", slices.Sorted(maps.Keys(f.Values)), classes, "class"},
		{"work", slices.Sorted(maps.Keys(f.Work)), classes, "class"},
	} {
		for _, name := range table.names {
			if !table.known[name] {
				return keys.errorAt(table.key+"."+name, "the deployment has no such "+table.kind)
			}
		}
	}
	return nil
}

// locate adds the file, line and key to an error of admission.Settings.Check.
func (k keyLocator) locate(err error, set *admission.Settings) error {
	var invalid *admission.SettingError
	if !errors.As(err, &invalid) {
		return err
	}
	return k.errorAt(keyInFile(invalid.Key, set), invalid.Reason)
}

// keyInFile converts the key of an admission.SettingError to the key in the file. A SettingError identifies a tenant or
// class by its index, the file by its name.
func keyInFile(key string, set *admission.Settings) string {
	parts := strings.Split(key, ".")
	if len(parts) != 3 { // not "tenants.N.field" or "classes.N.field"
		return key
	}
	index, err := strconv.Atoi(parts[1])
	if err != nil {
		return key
	}
	switch field := parts[2]; field {
	case "share":
		return "shares." + set.Tenants[index].Name
	case "worth", "work", "aim":
		return field + "." + set.Classes[index].Name
	}
	return key // the setting is not from this file
}
