package config

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"pumiceline/internal/standalone/settings"
)

// Every key of a configuration file that was written for an earlier version is read.
func TestReadsConfigurationStoredByEarlierVersion(t *testing.T) {
	got, err := Load("testdata/config.json", emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("../settings/testdata/settings.json") // package settings checks its fields one by one
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Name: "try", Listen: "127.0.0.1:7070", Discovery: "127.0.0.1:8500", AdminListen: "127.0.0.1:7071", Seed: 0x8c1f30d27a5be964,
		Limits: Limits{Cores: 2.5, MemoryMB: 160, Sockets: 512}, KnownEndpoints: json.RawMessage(`{"seq": 3, "whole": true, "hosts": []}`)}
	if err := json.Unmarshal(text, &want.Settings); err != nil {
		t.Fatal(err)
	}
	if want.Policy, err = settings.ParsePolicy(text); err != nil {
		t.Fatal(err)
	}
	got.document = nil // the file itself, for Reload
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v\nwant %+v", got, want)
	}
}

// The environment variables that override the file have the same names as in earlier versions.
func TestReadsVariablesOfEarlierVersion(t *testing.T) {
	env := map[string]string{"ROUTER_CONFIG": "testdata/config.json", "ROUTER_NAME": "other", "ROUTER_LISTEN": "127.0.0.2:7070",
		"ROUTER_DISCOVERY": "127.0.0.2:8500", "ROUTER_OPERATOR": "127.0.0.2:7071", "ROUTER_FD": "9", "TMPDIR": "/shared"}
	got, err := Load("", func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	if got.Name != "other" || got.Listen != "127.0.0.2:7070" || got.Discovery != "127.0.0.2:8500" || got.AdminListen != "127.0.0.2:7071" ||
		got.ListenFD != 9 || got.SharedFolder != "/shared" {
		t.Errorf("%+v", got)
	}
}
