// Package discovery keeps the pool config, which is discovery's list of destinations: it reads it, watches its
// changes, and gives each host the id under which the module knows it.
package discovery

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"strings"

	"pumiceline/internal/standalone/policy"
)

// Update is one message of discovery: the whole list, or what changed. Hosts are read one by one, so that a
// bad one costs only itself.
type Update struct {
	Seq   uint64            `json:"seq"`
	Whole bool              `json:"whole"`
	Hosts []json.RawMessage `json:"hosts"`
}

// Entry is one host as discovery writes it.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// Host is one destination of an update.
type Host struct {
	Name   string
	Dial   string // empty where the host is gone
	Member policy.Member
}

// Table reads updates. It knows the names of the settings and remembers the ids given out.
type Table struct {
	zones, kinds []string
	ids          map[string]uint32
	taken        map[uint32]string
}

// NewTable returns a table for the zones and machine kinds that the settings name.
func NewTable(zones, kinds []string) *Table {
	return &Table{zones: zones, kinds: kinds, ids: map[string]uint32{}, taken: map[uint32]string{}}
}

// BadHost is a host of an update that can't be used, with its name as far as that can be read.
type BadHost struct {
	Name string
	Err  error
}

func (b *BadHost) Error() string { return b.Err.Error() }

// Unwrap returns what is wrong with it.
func (b *BadHost) Unwrap() error { return b.Err }

// Read reads an update. Of single hosts that can't be used, bad tells.
func (t *Table) Read(text []byte) (u Update, hosts []Host, bad []*BadHost, err error) {
	if err = json.Unmarshal(text, &u); err != nil {
		return u, nil, nil, fmt.Errorf("pool config: %w", err)
	}
	for i, raw := range u.Hosts {
		h, err := t.host(raw)
		if err != nil {
			var named struct {
				Host string `json:"host"`
			}
			_ = json.Unmarshal(raw, &named) // where the name is what can't be read, it names no host that is known
			bad = append(bad, &BadHost{named.Host, fmt.Errorf("pool config: host %d: %w", i, err)})
			continue
		}
		hosts = append(hosts, h)
	}
	// In the order of the names, so that the ids of hosts whose hashes collide come out alike at every proxy
	// that reads the same list.
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range order {
		t.id(h.Name)
	}
	for i := range hosts {
		hosts[i].Member.Server = t.id(hosts[i].Name)
	}
	return u, hosts, bad, nil
}

func (t *Table) host(raw []byte) (Host, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Host{}, err
	}
	if e.Host == "" || len(e.Host) > 255 {
		return Host{}, fmt.Errorf("host %.40q is no name", e.Host)
	}
	h := Host{Name: e.Host, Dial: e.Dial}
	m := &h.Member
	switch e.Health {
	case "SERVING":
		m.Mode = policy.ModeReady
	case "DRAINING":
		m.Mode = policy.ModeDraining
	case "DELETED":
		h.Dial = ""
		return h, nil
	default:
		return Host{}, fmt.Errorf("%s: health %.40q is unknown", e.Host, e.Health)
	}
	if _, err := netip.ParseAddrPort(e.Dial); err != nil {
		return Host{}, fmt.Errorf("%s: dial: %w", e.Host, err)
	}
	zone := slices.Index(t.zones, e.Site)
	if zone < 0 && len(t.zones) > 0 || zone > math.MaxUint8 {
		// Keyed requests may be repeated within a zone: a wrong guess could carry one out twice.
		return Host{}, fmt.Errorf("%s: site %.40q is not in the settings", e.Host, e.Site)
	}
	if e.Block < 0 || e.Block > math.MaxUint16 {
		return Host{}, fmt.Errorf("%s: block %d is out of range", e.Host, e.Block)
	}
	if e.BornMs < 0 || e.BornMs > 1e14 {
		return Host{}, fmt.Errorf("%s: born_ms %v is out of range", e.Host, e.BornMs)
	}
	kind := slices.Index(t.kinds, e.Class)
	if kind < 0 { // a kind of its own: nothing is known of it
		kind = len(t.kinds)
	}
	m.Zone, m.InstanceType, m.Cell = uint8(max(0, zone)), uint16(kind), uint16(e.Block)
	m.Size, m.StartedAt = e.Share, policy.Time(e.BornMs*1000)
	return h, nil
}

// id derives a host's id from its name, so that it is the same at every proxy and after a restart.
func (t *Table) id(name string) uint32 {
	if id, ok := t.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	for {
		if _, ok := t.taken[id]; !ok {
			break
		}
		hash.Write([]byte{0})
		id = hash.Sum32()
	}
	t.ids[name], t.taken[id] = id, name
	return id
}

func (t *Table) forget(id uint32) {
	delete(t.ids, t.taken[id])
	delete(t.taken, id)
}
