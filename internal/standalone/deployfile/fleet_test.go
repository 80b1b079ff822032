package deployfile

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pumiceline/internal/tomlfile"
)

// The file under deploy/ is valid; an invalid one is an error with file, line and key.
func TestReadFleet_NamesInvalidKey(t *testing.T) {
	f, err := ReadFleet("../../../deploy/fleet.toml")
	if err != nil || f.Settings.LeaseDuration != 2e6 || f.Settings.MaxClockDrift != 0.2 || len(f.Members) != 3 || f.Receivers["export"] == "" {
		t.Errorf("%+v, %v", f, err)
	}
	const members = "[members]\n1 = \"h:1\"\n2 = \"h:2\"\n3 = \"h:3\"\n"
	for text, want := range map[string]string{
		members:                               "works: there are 0",
		"[members]\n1 = \"h:1\"\n2 = \"h:2\"": ":2: members: there are 2, and an even number",
		"[members]\n0 = \"h:1\"":              ":3: members.0: is no number from 1",
		"[members]\n1 = \"h\"":                ":3: members.1: \"h\" is no address",
		"lease = 2\n" + members:               ":2: lease: is a time and has no unit",
		"drift = 0.5\n" + members + "[works.w]\nreceiver = \"http://h/\"":    ":2: drift: 0.5 is not within",
		members + "[works.w]\nreceiver = \"ftp://h/\"":                       ":7: works.w.receiver: \"ftp://h/\" is no http address",
		members + "[works.w]\ndiscovery = \"h:1\"\nreceiver = \"http://h/\"": ":7: works.w.discovery: a work has either",
		members + "[works.w]\nreciever = \"http://h/\"":                      ":7: works.w.reciever: there is no such key",
		"[members]\n1 = \"h:1\"\n2 = \"h:2\"\n3 = \"h:1\"\n":                 "has the address of member",
		"name = \"\"": "f.toml", // a duplicate key
	} {
		file := filepath.Join(t.TempDir(), "f.toml")
		if err := os.WriteFile(file, []byte("name = \"f\"\n"+text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadFleet(file)
		var keyErr *tomlfile.Error
		if !errors.As(err, &keyErr) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}
