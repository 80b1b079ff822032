package deployfile

import (
	"errors"
	"os"
	"strings"
	"testing"

	"pumiceline/internal/standalone/settings"
	"pumiceline/internal/tomlfile"
)

func deployment() *settings.Settings {
	return &settings.Settings{Tenants: []settings.Tenant{{Name: "steppe-tours", QuotaPerS: 254}, {Name: "khan-air", QuotaPerS: 76}},
		Classes: []settings.Class{{Name: "quick-quote", Value: 3}, {Name: "issue-policy", Value: 5}}}
}

func TestParseAdmission(t *testing.T) {
	// The file under deploy/ has the default values.
	text, err := os.ReadFile("../../../deploy/door.toml")
	if err != nil {
		t.Fatal(err)
	}
	fromFile, err := parseAdmission("door.toml", text, deployment(), 7)
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := parseAdmission("door.toml", nil, deployment(), 7)
	if err != nil {
		t.Fatal(err)
	}
	if fromFile.MaxQueued != defaults.MaxQueued || fromFile.MaxRetryAfter != defaults.MaxRetryAfter ||
		fromFile.Tenants[1] != defaults.Tenants[1] || fromFile.Classes[1] != defaults.Classes[1] ||
		fromFile.SaltRotation != defaults.SaltRotation || fromFile.RequiredTimeFactor != defaults.RequiredTimeFactor {
		t.Errorf("settings of deploy/door.toml are %+v, the defaults %+v", fromFile, defaults)
	}
	if defaults.Tenants[0].Share != 254 || defaults.Classes[1].Value != 5 {
		t.Errorf("the deployment's shares and values: %+v", defaults)
	}
	set, err := parseAdmission("door.toml", []byte("[shares]\nkhan-air = 300.0\n[work]\nissue-policy = \"130ms\"\n[worth]\nquick-quote = 0.0"), deployment(), 7)
	if err != nil || set.Tenants[1].Share != 300 || set.Classes[1].Work != 130_000 || set.Classes[0].Value != 0 || set.Classes[0].Work != defaultWorkMicros {
		t.Errorf("%+v, %v", set, err)
	}
}

func TestParseAdmission_Errors(t *testing.T) {
	for text, want := range map[string]string{
		"waiting = 0":                     "d.toml:1: waiting: 0 is not within",
		"\nwating = 3":                    "d.toml:2: wating: there is no such key",
		"rotate = 10":                     "d.toml:1: rotate: is a time and has no unit",
		"[work]\nquick-quote = 100":       "d.toml:2: work.quick-quote: is a time and has no unit",
		"[work]\nquick-quote = \"0s\"":    "d.toml:2: work.quick-quote: it is not within",
		"[shares]\nkhan-air = -1.0":       "d.toml:2: shares.khan-air: -1 is no share",
		"[shares]\n\nkhan = 1.0":          "d.toml:3: shares.khan: the deployment has no such tenant",
		"[worth]\nissue-policy = nan":     "d.toml:2: worth.issue-policy: NaN is no worth",
		"least = 10.0\nmost = 5.0":        "d.toml:2: most: 5 is under least",
		"max_come_back = \"1 fortnight\"": "d.toml:1: max_come_back",
		"waiting = 3\nwaiting = 4":        "d.toml",
	} {
		_, err := parseAdmission("d.toml", []byte(text), deployment(), 1)
		var keyErr *tomlfile.Error
		if !errors.As(err, &keyErr) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
	if _, err := ReadAdmission("none.toml", deployment(), 1); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
}
