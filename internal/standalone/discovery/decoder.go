package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"strings"

	"pumiceline/internal/standalone/policy"
)

// Update is the wire form of one message from discovery: the complete list, or the changes since the previous version.
// Entries are decoded one by one, so that an invalid entry does not affect the others.
type Update struct {
	Version  uint64            `json:"seq"`
	Complete bool              `json:"whole"`
	Entries  []json.RawMessage `json:"hosts"`
}

// Entry is one backend in its wire form.
type Entry struct {
	Host         string  `json:"host"` // the backend's name
	Address      string  `json:"dial"` // IP address and port
	Zone         string  `json:"site"`
	InstanceType string  `json:"class"`
	Cell         int     `json:"block"`   // failure domain within the zone
	Health       string  `json:"health"`  // SERVING, DRAINING or DELETED
	Size         float64 `json:"share"`   // capacity relative to other backends
	StartedAtMs  float64 `json:"born_ms"` // Unix time in milliseconds
}

// Values of Entry.Health.
const (
	HealthServing  = "SERVING"
	HealthDraining = "DRAINING"
	HealthDeleted  = "DELETED"
)

const (
	maxNameBytes   = 255
	maxStartedAtMs = 1e14 // in the year 5138
)

// Endpoint is one backend of a decoded update.
type Endpoint struct {
	Name    string
	Address string // empty if the backend is deleted
	Member  policy.Member
}

// DecodedUpdate is an Update whose entries are decoded.
type DecodedUpdate struct {
	Version   uint64
	Complete  bool
	Endpoints []Endpoint
	Invalid   []*EntryError
}

// EntryError is the error of one entry of an update. Name is empty if it cannot be read.
type EntryError struct {
	Name string
	Err  error
}

// Error implements error.
func (e *EntryError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

var errInvalidName = errors.New("host is empty or too long")

// Decoder decodes updates with the zone and instance type names of the settings, and assigns each backend the ID that
// the policy and the backend pool use for it. It is not safe for concurrent use.
type Decoder struct {
	zones, instanceTypes []string
	ids                  map[string]policy.ServerID // by name
	names                map[policy.ServerID]string // by ID
}

// NewDecoder returns a decoder for the zones and instance types that the settings name.
func NewDecoder(zones, instanceTypes []string) *Decoder {
	return &Decoder{zones: zones, instanceTypes: instanceTypes, ids: map[string]policy.ServerID{},
		names: map[policy.ServerID]string{}}
}

// Decode decodes an update. Invalid entries are in DecodedUpdate.Invalid. The error is for a message that is not an
// Update.
func (d *Decoder) Decode(message []byte) (DecodedUpdate, error) {
	var u Update
	if err := json.Unmarshal(message, &u); err != nil {
		return DecodedUpdate{}, fmt.Errorf("decode endpoint list: %w", err)
	}
	decoded := DecodedUpdate{Version: u.Version, Complete: u.Complete}
	for i, raw := range u.Entries {
		endpoint, err := d.decodeEntry(raw)
		if err != nil {
			decoded.Invalid = append(decoded.Invalid, &EntryError{entryName(raw), fmt.Errorf("endpoint %d: %w", i, err)})
			continue
		}
		decoded.Endpoints = append(decoded.Endpoints, endpoint)
	}
	d.assignIDs(decoded.Endpoints)
	return decoded, nil
}

// entryName returns the name in an invalid entry, empty if the name itself cannot be read.
func entryName(raw []byte) string {
	var named struct {
		Host string `json:"host"`
	}
	_ = json.Unmarshal(raw, &named) // an error in another field leaves the name readable
	return named.Host
}

// assignIDs assigns IDs in the order of names, so that every proxy that reads the same list assigns the same IDs to
// names whose hashes collide.
func (d *Decoder) assignIDs(endpoints []Endpoint) {
	byName := slices.Clone(endpoints)
	slices.SortFunc(byName, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	for _, e := range byName {
		d.id(e.Name)
	}
	for i := range endpoints {
		endpoints[i].Member.Server = d.id(endpoints[i].Name)
	}
}

// decodeEntry decodes an entry, without its ID. For a deleted backend, only the name is set.
func (d *Decoder) decodeEntry(raw []byte) (Endpoint, error) {
	var entry Entry
	if err := json.Unmarshal(raw, &entry); err != nil {
		return Endpoint{}, err
	}
	if entry.Host == "" || len(entry.Host) > maxNameBytes {
		return Endpoint{}, fmt.Errorf("%w: %.40q", errInvalidName, entry.Host)
	}
	if entry.Health == HealthDeleted {
		return Endpoint{Name: entry.Host}, nil
	}
	member, err := d.member(&entry)
	if err != nil {
		return Endpoint{}, fmt.Errorf("%s: %w", entry.Host, err)
	}
	return Endpoint{Name: entry.Host, Address: entry.Address, Member: member}, nil
}

// member checks an entry that is not deleted and returns it as a member of the policy, without its ID.
func (d *Decoder) member(entry *Entry) (policy.Member, error) {
	var m policy.Member
	switch entry.Health {
	case HealthServing:
		m.Mode = policy.ModeReady
	case HealthDraining:
		m.Mode = policy.ModeDraining
	default:
		return m, fmt.Errorf("health %.40q is unknown", entry.Health)
	}
	if _, err := netip.ParseAddrPort(entry.Address); err != nil {
		return m, fmt.Errorf("dial: %w", err)
	}
	zone := slices.Index(d.zones, entry.Zone)
	if zone < 0 && len(d.zones) > 0 || zone > math.MaxUint8 {
		// No default: requests of classes with deduplication per zone may be retried within their zone only, and with a
		// wrong zone one could be executed twice.
		return m, fmt.Errorf("site %.40q is not in the settings", entry.Zone)
	}
	if entry.Cell < 0 || entry.Cell > math.MaxUint16 {
		return m, fmt.Errorf("block %d is out of range", entry.Cell)
	}
	if entry.StartedAtMs < 0 || entry.StartedAtMs > maxStartedAtMs {
		return m, fmt.Errorf("born_ms %v is out of range", entry.StartedAtMs)
	}
	instanceType := slices.Index(d.instanceTypes, entry.InstanceType)
	if instanceType < 0 { // all unknown types count as one additional type
		instanceType = len(d.instanceTypes)
	}
	m.Zone, m.Cell, m.InstanceType = uint8(max(0, zone)), uint16(entry.Cell), uint16(instanceType)
	m.Size, m.StartedAt = entry.Size, policy.Time(entry.StartedAtMs*1000)
	return m, nil
}

// id returns the ID of a name: its FNV-1a hash, so that it is the same at every proxy and after a restart. As long as
// the hash is the ID of another name, a zero byte is appended to the hashed name.
func (d *Decoder) id(name string) policy.ServerID {
	if id, ok := d.ids[name]; ok {
		return id
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	id := hash.Sum32()
	for {
		if _, taken := d.names[id]; !taken {
			break
		}
		hash.Write([]byte{0})
		id = hash.Sum32()
	}
	d.ids[name], d.names[id] = id, name
	return id
}

// removeID removes an ID and its name.
func (d *Decoder) removeID(id policy.ServerID) {
	delete(d.ids, d.names[id])
	delete(d.names, id)
}
