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

// emptyEnv is an environment without variables.
func emptyEnv(string) string { return "" }

// Values come from the file, from environment variables that override it, and from defaults.
func TestParse_ValidConfiguration(t *testing.T) {
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
		t.Errorf("policy settings %+v", c.Policy)
	}
	c, err = Parse([]byte(strings.Replace(valid, `"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},`, "", 1)), emptyEnv)
	if err != nil || c.Limits != (Limits{defaultCores, defaultMemoryMB, defaultSockets}) {
		t.Errorf("default limits: %+v, %v", c.Limits, err)
	}
}

// A reload takes the address of discovery from the file: the environment overrides it only at the start.
func TestReload_PrefersDiscoveryOfFile(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"ROUTER_DISCOVERY": "127.9.0.1:8500", "ROUTER_LISTEN": "127.0.0.9:7071"}[name]
	}
	path := filepath.Join(t.TempDir(), "config.json")
	for _, c := range []struct{ text, loaded, reloaded string }{
		{valid, "127.9.0.1:8500", "127.2.0.1:8500"},
		{strings.Replace(valid, `"discovery":"127.2.0.1:8500",`, "", 1), "127.9.0.1:8500", "127.9.0.1:8500"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		loaded, err1 := Load(path, env)
		reloaded, err2 := Reload(path, env, &Config{})
		if err1 != nil || err2 != nil || loaded.Discovery != c.loaded || reloaded.Discovery != c.reloaded ||
			reloaded.Listen != "127.0.0.9:7071" {
			t.Errorf("%+v, %v; %+v, %v", loaded, err1, reloaded, err2)
		}
	}
}

// A reload rejects an invalid or truncated file, with the name of the key. Classes may be added, removed and changed.
func TestReload_RejectsInvalidFile(t *testing.T) {
	full := strings.Replace(valid, `"MayProbe":true`, `"TryLimit":3,"MayProbe":true`, 1)
	current, err := Parse([]byte(full), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	reload := func(text string) error {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Reload(path, emptyEnv, current)
		return err
	}
	for _, c := range []struct{ from, to, want string }{
		{full, "", "end of JSON input"},
		{full, full[:len(full)/2], "end of JSON input"},
		{`"HardLimit":1500000`, `"HardLimit":1500000,"HardLimit":2000000`, `the key "HardLimit" stands twice`},
		{`"listen":`, `"Listen":"127.0.0.5:7070","listen":`, "differ in case only"},
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
			t.Fatalf("%s is not in the text", c.from)
		}
		if err := reload(strings.Replace(full, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.40s to %.40s: %v", c.from, c.to, err)
		}
	}
	for _, c := range []struct{ from, to string }{
		{`"Classes":[`, `"Classes":[{"Name":"new","Semantics":"token","HardLimit":9},`},
		{`"quote"`, `"other"`}, {`"pure"`, `"side_effect"`}, {`"TryLimit":3`, `"TryLimit":1`}, {`"known"`, `"unknown"`},
	} {
		if err := reload(strings.Replace(full, c.from, c.to, 1)); err != nil {
			t.Errorf("%s to %s: %v", c.from, c.to, err)
		}
	}
}

// Each error names the key of the invalid value.
func TestParse_NamesInvalidKey(t *testing.T) {
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
		if _, err := Parse([]byte(text), emptyEnv); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want one with %q", c.to, err, c.want)
		}
	}
	if _, err := Load("", emptyEnv); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("no file: %v", err)
	}
}

// FuzzParse parses truncated and garbled configurations: none may panic, or be accepted without the values that serving
// needs.
func FuzzParse(f *testing.F) {
	for cut := 0; cut < len(valid); cut += 31 {
		f.Add([]byte(valid[:cut]))
	}
	f.Add([]byte(valid))
	f.Add([]byte(`{"settings":null,"limits":[]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text, emptyEnv)
		if err == nil && (c.Listen == "" || c.Discovery == "" || len(c.Policy.Classes) == 0 || c.Limits.Sockets < minSockets) {
			t.Errorf("accepted: %+v", c)
		}
	})
}
