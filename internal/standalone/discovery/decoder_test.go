package discovery

import (
	"fmt"
	"strings"
	"testing"

	"pumiceline/internal/standalone/policy"
)

// entryJSON returns an entry of the list in its wire form.
func entryJSON(name, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"127.1.0.1:7070","site":"a","class":"m2","block":3,"health":%q,`+
		`"share":1.5,"born_ms":1700000000123}`, name, health)
}

// updateJSON returns a message from discovery in its wire form.
func updateJSON(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, complete, strings.Join(entries, ","))
}

// testSource is the source of the lists in these tests.
var testSource = Source{Address: "127.0.0.1:1", Zones: []string{"b", "a"}, InstanceTypes: []string{"m1", "m2"}}

func newTestDecoder() *Decoder { return NewDecoder(testSource.Zones, testSource.InstanceTypes) }

func TestDecoder_DecodesMembers(t *testing.T) {
	u, err := newTestDecoder().Decode([]byte(updateJSON(41, true, entryJSON("s-1", "SERVING"), entryJSON("s-2", "DRAINING"),
		entryJSON("s-3", "DELETED"))))
	endpoints := u.Endpoints
	if err != nil || len(u.Invalid) != 0 || len(endpoints) != 3 || u.Version != 41 || !u.Complete {
		t.Fatalf("%+v, %v", u, err)
	}
	want := policy.Member{Server: endpoints[0].Member.Server, Zone: 1, Cell: 3, InstanceType: 1, Mode: policy.ModeReady, Size: 1.5,
		StartedAt: 1700000000123000}
	if endpoints[0].Member != want || endpoints[1].Member.Mode != policy.ModeDraining ||
		endpoints[2].Member.Mode != policy.ModeGone || endpoints[2].Address != "" {
		t.Errorf("%+v", endpoints)
	}
}

// An invalid entry is left out, and the valid entries of the update are decoded.
func TestDecoder_LeavesOutInvalidEntries(t *testing.T) {
	valid := entryJSON("s-1", "SERVING")
	for _, invalid := range []string{`7`, `{}`, entryJSON("", "SERVING"), entryJSON("s-2", "ODD"),
		strings.Replace(valid, `"site":"a"`, `"site":"elsewhere"`, 1), strings.Replace(valid, "7070", "x", 1),
		strings.Replace(valid, `"block":3`, `"block":-1`, 1), strings.Replace(valid, "1700000000123", "-5", 1)} {
		u, err := newTestDecoder().Decode([]byte(updateJSON(1, true, invalid, valid)))
		if err != nil || len(u.Endpoints) != 1 || len(u.Invalid) != 1 {
			t.Errorf("%s: %d endpoints, %v, %v", invalid, len(u.Endpoints), u.Invalid, err)
		}
	}
}

// Names whose hashes collide get different IDs, which do not depend on the order of the list.
func TestDecoder_AssignsSameIDsInAnyOrder(t *testing.T) {
	ids := func(names ...string) map[string]uint32 {
		var entries []string
		for _, n := range names {
			entries = append(entries, entryJSON(n, "SERVING"))
		}
		u, err := newTestDecoder().Decode([]byte(updateJSON(1, true, entries...)))
		if err != nil {
			t.Fatal(err)
		}
		got := map[string]uint32{}
		for _, e := range u.Endpoints {
			got[e.Name] = e.Member.Server
		}
		return got
	}
	a, b := ids("liquid", "s-1", "costarring"), ids("costarring", "liquid", "s-1") // a known collision of FNV-1a
	if a["liquid"] == a["costarring"] {
		t.Error("two names share an ID")
	}
	for name := range a {
		if a[name] != b[name] {
			t.Errorf("%s is %d and %d", name, a[name], b[name])
		}
	}
	if alone := ids("s-1"); alone["s-1"] != a["s-1"] {
		t.Error("the ID of a name without a collision depends on the other names")
	}
}

// FuzzDecoder decodes truncated and garbled updates: decoded endpoints must be valid for the settings.
func FuzzDecoder(f *testing.F) {
	complete := updateJSON(41, true, entryJSON("s-1", "SERVING"), entryJSON("s-2", "DELETED"))
	for cut := 0; cut < len(complete); cut += 17 {
		f.Add([]byte(complete[:cut]))
	}
	f.Add([]byte(complete))
	f.Add([]byte("\x00[{]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		u, err := newTestDecoder().Decode(text)
		seen := map[uint32]string{}
		for _, e := range u.Endpoints {
			m := e.Member
			if err != nil || e.Name == "" || m.Zone > 1 || m.InstanceType > 2 || m.StartedAt < 0 || m.Mode != policy.ModeGone && e.Address == "" {
				t.Errorf("%+v, %v", e, err)
			}
			if other, ok := seen[m.Server]; ok && other != e.Name {
				t.Errorf("%q and %q share an ID", other, e.Name)
			}
			seen[m.Server] = e.Name
		}
	})
}
