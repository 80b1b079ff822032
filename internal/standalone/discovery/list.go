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
	Version  uint64            `json:"seq"`
	Complete bool              `json:"whole"`
	Entries  []json.RawMessage `json:"hosts"`
}

// Entry is one host as discovery writes it.
type Entry struct {
	Host         string  `json:"host"`
	Address      string  `json:"dial"`
	Zone         string  `json:"site"`
	InstanceType string  `json:"class"`
	Cell         int     `json:"block"`
	Health       string  `json:"health"`
	Size         float64 `json:"share"`
	StartedAtMs  float64 `json:"born_ms"`
}

// Endpoint is one destination of an update.
type Endpoint struct {
	Name    string
	Address string // empty where the host is gone
	Member  policy.Member
}

// Decoder reads updates. It knows the names of the settings and remembers the ids given out.
type Decoder struct {
	zones, instanceTypes []string
	ids                  map[string]uint32
	names                map[uint32]string
}

// NewDecoder returns a table for the zones and machine kinds that the settings name.
func NewDecoder(zones, kinds []string) *Decoder {
	return &Decoder{zones: zones, instanceTypes: kinds, ids: map[string]uint32{}, names: map[uint32]string{}}
}

// EntryError is a host of an update that can't be used, with its name as far as that can be read.
type EntryError struct {
	Name string
	Err  error
}

func (b *EntryError) Error() string { return b.Err.Error() }

// Unwrap returns what is wrong with it.
func (b *EntryError) Unwrap() error { return b.Err }

// Decode reads an update. Of single hosts that can't be used, bad tells.
func (t *Decoder) Decode(text []byte) (u Update, hosts []Endpoint, bad []*EntryError, err error) {
	if err = json.Unmarshal(text, &u); err != nil {
		return u, nil, nil, fmt.Errorf("pool config: %w", err)
	}
	for i, raw := range u.Entries {
		h, err := t.decodeEntry(raw)
		if err != nil {
			var named struct {
				Host string `json:"host"`
			}
			_ = json.Unmarshal(raw, &named) // where the name is what can't be read, it names no host that is known
			bad = append(bad, &EntryError{named.Host, fmt.Errorf("pool config: host %d: %w", i, err)})
			continue
		}
		hosts = append(hosts, h)
	}
	// In the order of the names, so that the ids of hosts whose hashes collide come out alike at every proxy
	// that reads the same list.
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for _, h := range order {
		t.id(h.Name)
	}
	for i := range hosts {
		hosts[i].Member.Server = t.id(hosts[i].Name)
	}
	return u, hosts, bad, nil
}

func (t *Decoder) decodeEntry(raw []byte) (Endpoint, error) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil {
		return Endpoint{}, err
	}
	if e.Host == "" || len(e.Host) > 255 {
		return Endpoint{}, fmt.Errorf("host %.40q is no name", e.Host)
	}
	h := Endpoint{Name: e.Host, Address: e.Address}
	m := &h.Member
	switch e.Health {
	case "SERVING":
		m.Mode = policy.ModeReady
	case "DRAINING":
		m.Mode = policy.ModeDraining
	case "DELETED":
		h.Address = ""
		return h, nil
	default:
		return Endpoint{}, fmt.Errorf("%s: health %.40q is unknown", e.Host, e.Health)
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return Endpoint{}, fmt.Errorf("%s: dial: %w", e.Host, err)
	}
	zone := slices.Index(t.zones, e.Zone)
	if zone < 0 && len(t.zones) > 0 || zone > math.MaxUint8 {
		// Keyed requests may be repeated within a zone: a wrong guess could carry one out twice.
		return Endpoint{}, fmt.Errorf("%s: site %.40q is not in the settings", e.Host, e.Zone)
	}
	if e.Cell < 0 || e.Cell > math.MaxUint16 {
		return Endpoint{}, fmt.Errorf("%s: block %d is out of range", e.Host, e.Cell)
	}
	if e.StartedAtMs < 0 || e.StartedAtMs > 1e14 {
		return Endpoint{}, fmt.Errorf("%s: born_ms %v is out of range", e.Host, e.StartedAtMs)
	}
	kind := slices.Index(t.instanceTypes, e.InstanceType)
	if kind < 0 { // a kind of its own: nothing is known of it
		kind = len(t.instanceTypes)
	}
	m.Zone, m.InstanceType, m.Cell = uint8(max(0, zone)), uint16(kind), uint16(e.Cell)
	m.Size, m.StartedAt = e.Size, policy.Time(e.StartedAtMs*1000)
	return h, nil
}

// id derives a host's id from its name, so that it is the same at every proxy and after a restart.
func (t *Decoder) id(name string) uint32 {
	if id, ok := t.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	for {
		if _, ok := t.names[id]; !ok {
			break
		}
		hash.Write([]byte{0})
		id = hash.Sum32()
	}
	t.ids[name], t.names[id] = id, name
	return id
}

func (t *Decoder) forget(id uint32) {
	delete(t.ids, t.names[id])
	delete(t.names, id)
}
