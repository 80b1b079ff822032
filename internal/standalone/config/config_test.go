package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const valid = `{"name":"n3","listen":"127.0.0.4:7070","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"peers":["127.3.0.1:7946"],
 "known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"Classes":[{"Name":"quote","Semantics":"pure","HardLimit":1500000}],"Zones":["a","b"],"Locality":1,
 "Limits":{"MayProbe":true,"DialTimeout":100000}}}`

func nothing(string) string { return "" }

func TestValid(t *testing.T) {
	c, err := Parse([]byte(valid), func(name string) string {
		return map[string]string{"ROUTER_LISTEN": "127.0.0.9:7071"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.9:7071" || c.Seed != 0x8c1f30d27a5be964 || c.Limits.MemoryMB != 192 ||
		c.Settings.Limits.DialTimeout != 100_000 || c.Settings.Limits.ConnIdleTimeout != defaultIdleClose {
		t.Errorf("%+v", c)
	}
	if !c.Policy.Limits.AllowLoadPolls || c.Policy.Zone != 1 || len(c.Policy.Classes) != 1 {
		t.Errorf("module settings %+v", c.Policy)
	}
	c, err = Parse([]byte(strings.Replace(valid, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1)), nothing)
	if err != nil || c.Limits != (Limits{defaultCores, defaultMemoryMB, defaultSockets}) {
		t.Errorf("limits by default: %+v, %v", c.Limits, err)
	}
}

// A configuration that is read again brings the discovery of the file, which the variable hides only at the start.
func TestReloadTakesDiscoveryFromTheFile(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"ROUTER_DISCOVERY": "127.9.0.1:8500", "ROUTER_LISTEN": "127.0.0.9:7071"}[name]
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct{ text, first, again string }{
		{valid, "127.9.0.1:8500", "127.2.0.1:8500"},
		{strings.Replace(valid, `"discovery":"127.2.0.1:8500",`, "", 1), "127.9.0.1:8500", "127.9.0.1:8500"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		first, err1 := Load(path, env)
		again, err2 := Reload(path, env, &Config{})
		if err1 != nil || err2 != nil || first.Discovery != c.first || again.Discovery != c.again || again.Listen != "127.0.0.9:7071" {
			t.Errorf("%+v, %v; %+v, %v", first, err1, again, err2)
		}
	}
}

// A file that is broken in any way is turned down at a SIGHUP with the key's name; a class may come, go and change.
func TestReloadTakesNothingBroken(t *testing.T) {
	full := strings.Replace(valid, `"MayProbe":true`, `"TryLimit":3,"MayProbe":true`, 1)
	now, err := Parse([]byte(full), nothing)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	read := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Reload(path, nothing, now)
		return err
	}
	for _, c := range []struct{ from, to, want string }{
		{full, "", "end of JSON input"},
		{full, full[:len(full)/2], "end of JSON input"},
		{`"HardLimit":1500000`, `"HardLimit":-1`, "settings.Classes[0].HardLimit"},
		{`"HardLimit":1500000`, `"HardLimit":"soon"`, "HardLimit: a string"},
		{`,"HardLimit":1500000`, ``, "settings.Classes[0].HardLimit"},
		{`"Semantics":"pure",`, ``, "semantics"},
		{`"TryLimit":3`, `"TryLimit":0`, "settings.Limits.TryLimit"},
		{`"TryLimit":3`, `"TryLimit":-2`, "settings.Limits.TryLimit"},
		{`"TryLimit":3`, `"TryLimit":2.5`, "TryLimit: a number 2.5"},
		{`"TryLimit":3,`, ``, "settings.Limits.TryLimit: missing"},
		{`,"DialTimeout":100000`, ``, "settings.Limits.DialTimeout: missing"},
		{`"MayProbe":true,`, ``, "settings.Limits.MayProbe: missing"},
		{`"listen":"127.0.0.4:7070",`, ``, "listen: missing"},
		{`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, ``, "limits: missing"},
	} {
		if !strings.Contains(full, c.from) {
			t.Fatalf("%s is not there", c.from)
		}
		if err := read(strings.Replace(full, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.40s to %.40s: %v", c.from, c.to, err)
		}
	}
	for _, c := range []struct{ from, to string }{
		{`"Classes":[`, `"Classes":[{"Name":"new","Semantics":"token","HardLimit":9},`},
		{`"quote"`, `"other"`}, {`"pure"`, `"side_effect"`}, {`"TryLimit":3`, `"TryLimit":1`}, {`"known"`, `"unknown"`},
	} {
		if err := read(strings.Replace(full, c.from, c.to, 1)); err != nil {
			t.Errorf("%s to %s: %v", c.from, c.to, err)
		}
	}
}

// Each complaint names the key that is at fault.
func TestFaultsAreNamed(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"127.0.0.4:7070"`, `""`, "listen: missing"},
		{`127.0.0.4:7070`, `nowhere`, "listen: "},
		{`127.2.0.1:8500`, `127.2.0.1`, "discovery: "},
		{`8c1f30d27a5be964`, `xyz`, "seed: "},
		{`"cores":1.0`, `"cores":-1`, "limits.cores: "},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: "},
		{`"memory_mb":192`, `"memory_mb":"x"`, "limits.memory_mb: a string"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets: "},
		{`"settings":`, `"other":`, "settings: missing"},
		{`"Name":"quote",`, ``, "settings.Classes[0].Name: missing"},
		{`"HardLimit":1500000`, `"HardLimit":0`, "settings.Classes[0].HardLimit: "},
		{`"Semantics":"pure"`, `"Semantics":"odd"`, `"odd"`},
		{`"Locality":1`, `"Locality":2`, "settings.Locality: "},
		{`"Locality":1`, `"Locality":"a"`, "settings: Locality: a string"},
		{`"DialTimeout":100000`, `"DialTimeout":-1`, "settings.Limits.DialTimeout: "},
		{`"settings":{`, `"settings":{{`, "config: "},
	} {
		text := strings.Replace(valid, c.from, c.to, 1)
		if text == valid {
			t.Fatalf("%s is not in the text", c.from)
		}
		if _, err := Parse([]byte(text), nothing); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", c.to, err, c.want)
		}
	}
	if _, err := Load("", nothing); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("no file: %v", err)
	}
}

// FuzzParse feeds cut and garbled configurations: none may panic or pass without what serving needs.
func FuzzParse(f *testing.F) {
	for cut := 0; cut < len(valid); cut += 31 {
		f.Add([]byte(valid[:cut]))
	}
	f.Add([]byte(valid))
	f.Add([]byte(`{"settings":null,"limits":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text, nothing)
		if err == nil && (c.Listen == "" || c.Discovery == "" || len(c.Policy.Classes) == 0 || c.Limits.Sockets < minSockets) {
			t.Errorf("passed: %+v", c)
		}
	})
}
