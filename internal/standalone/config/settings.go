package config

import (
	"encoding/json"
	"errors"
	"fmt"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

var (
	errEmpty    = errors.New("empty")
	errNegative = errors.New("negative")
)

// setSettings decodes and checks the settings.
func (c *Config) setSettings(text json.RawMessage) error {
	if len(text) == 0 || string(text) == "null" {
		return &KeyError{Key: "settings", Err: errMissing}
	}
	s := &c.Settings
	if err := json.Unmarshal(text, s); err != nil {
		return &KeyError{Key: "settings", Err: nameKey(err)}
	}
	if err := setLimitDefaults(&s.Limits); err != nil {
		return err
	}
	if err := checkClasses(s.Classes); err != nil {
		return err
	}
	if s.Zone < 0 || s.Zone >= max(1, len(s.Zones)) {
		return keyErrorf("settings.Locality", "%d is none of the %d Zones", s.Zone, len(s.Zones))
	}
	var err error
	c.Policy, err = PolicySettings(s)
	return err
}

// setLimitDefaults sets the defaults of durations that are absent. The defaults are for the proxy only: package
// settings, which package simlink uses too, has none.
func setLimitDefaults(l *settings.Limits) error {
	for _, limit := range []struct {
		key          string
		value        *float64
		defaultValue float64
	}{
		{"DialTimeout", &l.DialTimeout, defaultDialTimeout},
		{"IdleClose", &l.ConnIdleTimeout, defaultIdleClose},
		{"MaxRetryAfter", &l.MaxRetryAfter, defaultRetryAfter},
	} {
		if *limit.value < 0 {
			return keyErrorf("settings.Limits."+limit.key, "%v is %w", *limit.value, errNegative)
		}
		if *limit.value == 0 {
			*limit.value = limit.defaultValue
		}
	}
	return nil
}

// checkClasses checks the names and client timeouts of the classes; policy.New checks the rest.
func checkClasses(classes []settings.Class) error {
	if len(classes) == 0 {
		return &KeyError{Key: "settings.Classes", Err: errEmpty}
	}
	seen := map[string]bool{}
	for i, class := range classes {
		key := func(field string) string { return fmt.Sprintf("settings.Classes[%d].%s", i, field) }
		switch {
		case class.Name == "":
			return &KeyError{Key: key("Name"), Err: errMissing}
		case seen[class.Name]:
			return keyErrorf(key("Name"), "%q stands twice", class.Name)
		case class.ClientTimeout <= 0:
			return keyErrorf(key("HardLimit"), "%v is no time", class.ClientTimeout)
		}
		seen[class.Name] = true
	}
	return nil
}

// PolicySettings converts the settings into the settings of package policy.
func PolicySettings(s *settings.Settings) (policy.Settings, error) {
	set, err := s.Policy()
	if err != nil {
		return set, fmt.Errorf("config: %w", err)
	}
	return set, nil
}

// ReportColumns returns the column names of the load reports for the policy; none if it gets no reports.
func ReportColumns(s *settings.Settings, set *policy.Settings) []string {
	if set.ReportDelivery == policy.ReportsNone || set.ReportDelivery == policy.ReportsByPolling && !set.Limits.AllowLoadPolls {
		return nil
	}
	return s.LoadReports.Columns
}
