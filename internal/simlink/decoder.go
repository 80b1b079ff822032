package simlink

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

// Codes of the records in a batch. The names in comments are the simulator's; error messages use them.
const (
	codeSpawn            = 1000 // Spawn
	codeMembership       = 1010 // DirectoryUpdate
	codeRequestArrived   = 1020 // JobIn
	codeResponseStarted  = 1030 // Begun
	codeAttemptEnded     = 1040 // Finished
	codeRequestAbandoned = 1050 // Expired
	codeTimerFired       = 1060 // Due
	codeLoadPolled       = 1070 // Checked
	codePeerMessage      = 1080 // FromPeer
	codeKilled           = 1090 // Killed
	codeCatalog          = 1100 // Catalog
)

// Kinds of membership updates.
const (
	membershipDelta  = 0
	membershipCached = 2
	membershipFull   = 3
	discoveryFailed  = 4
)

const (
	memberSize     = 22 // bytes of a member in a catalog
	maxCatalogs    = 16
	maxReportSize  = 255 // values of a load report
	workIsKnownBit = 1   // option of an arriving request
)

// errMalformed is the cause of an error if a record is shorter than its fields, or a field is out of range.
var errMalformed = errors.New("truncated or malformed")

// RecordKind determines how the host handles a decoded record.
type RecordKind uint8

// The kinds of records.
const (
	Ignored        RecordKind = iota // a catalog or a peer message: nothing to do
	SpawnInstance                    // start an instance with Seed and Settings
	RemoveInstance                   // discard an instance
	DeliverEvent                     // deliver Event to the instance
)

// Record is one decoded record.
type Record struct {
	Kind     RecordKind
	Instance uint16
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder decodes records. It keeps the catalogs of members, because later records refer to them. It reuses its
// buffers, so a Record is valid only until the next call. It is not safe for concurrent use.
type Decoder struct {
	catalogs  [maxCatalogs][]policy.Member
	received  [maxCatalogs]bool
	report    [maxReportSize]float32
	body      []byte
	offset    int
	malformed bool // a read went past the end, or a field was out of range
}

// Reset makes the decoder read the body of a new batch. Catalogs are kept.
func (d *Decoder) Reset(body []byte) { d.body, d.offset, d.malformed = body, 0, false }

// Remaining returns the number of bytes that are not decoded yet.
func (d *Decoder) Remaining() int { return len(d.body) - d.offset }

// Next decodes the next record into r.
func (d *Decoder) Next(r *Record) error {
	start := d.offset
	name, err := d.record(r)
	if err == nil && d.malformed {
		err = errMalformed
	}
	if err != nil {
		return fmt.Errorf("%s at byte %d: %w", name, start, err)
	}
	return nil
}

// record decodes a record and returns the simulator's name for it. A read past the end sets d.malformed.
func (d *Decoder) record(r *Record) (name string, err error) {
	code := d.readUint16()
	r.Event = policy.Event{}
	if code == codeCatalog {
		r.Kind = Ignored
		return "Catalog", d.catalog()
	}
	r.Instance, r.Kind = d.readUint16(), DeliverEvent
	switch code {
	case codeSpawn:
		return "Spawn", d.spawn(r)
	case codeKilled:
		r.Kind = RemoveInstance
		return "Killed", nil
	case codeMembership:
		return "DirectoryUpdate", d.membership(&r.Event)
	case codeRequestArrived:
		d.requestArrived(&r.Event)
		return "JobIn", nil
	case codeResponseStarted:
		d.responseStarted(&r.Event)
		return "Begun", nil
	case codeAttemptEnded:
		d.attemptEnded(&r.Event)
		return "Finished", nil
	case codeRequestAbandoned:
		r.Event.Kind, r.Event.ID = policy.RequestAbandoned, d.readUint64()
		return "Expired", nil
	case codeTimerFired:
		r.Event.Kind, r.Event.ID = policy.TimerFired, d.readUint64()
		return "Due", nil
	case codeLoadPolled:
		d.loadPolled(&r.Event)
		return "Checked", nil
	case codePeerMessage:
		r.Kind = Ignored
		d.skipPeerMessage()
		return "FromPeer", nil
	}
	if d.malformed {
		return "record", nil
	}
	return "record", fmt.Errorf("unknown event code %d", code)
}

func (d *Decoder) spawn(r *Record) error {
	r.Kind, r.Seed = SpawnInstance, d.readUint64()
	text := d.take(int(d.readUint32()))
	if d.malformed {
		return nil
	}
	var err error
	r.Settings, err = settings.ParsePolicy(text)
	return err
}

func (d *Decoder) membership(ev *policy.Event) error {
	kind, catalog := d.readUint8(), d.readUint16()
	d.readUint64() // version of the membership
	switch kind {
	case membershipDelta:
		ev.Kind = policy.MembershipDelta
	case membershipCached:
		ev.Kind = policy.MembershipCached
	case membershipFull:
		ev.Kind = policy.MembershipFull
	case discoveryFailed:
		ev.Kind = policy.DiscoveryFailed
		return nil
	default:
		return fmt.Errorf("unknown kind %d", kind)
	}
	if catalog >= maxCatalogs || !d.received[catalog] {
		return fmt.Errorf("names catalog %d, which was not sent", catalog)
	}
	ev.Members = d.catalogs[catalog]
	return nil
}

func (d *Decoder) requestArrived(ev *policy.Event) {
	ev.Kind = policy.RequestArrived
	ev.ID, ev.ClientTimeout = d.readUint64(), policy.Time(d.readUint32())
	ev.Class, ev.Tenant, ev.AffinityKey = d.readUint8(), d.readUint32(), d.readUint64()
	work, options := d.readUint32(), d.readUint8()
	if options&workIsKnownBit != 0 {
		ev.Work = policy.Time(work)
	}
}

func (d *Decoder) responseStarted(ev *policy.Event) {
	ev.Kind = policy.ResponseStarted
	ev.ID, ev.Elapsed, ev.Server, ev.Attempt = d.readUint64(), policy.Time(d.readUint32()), d.readUint32(), d.readUint8()
}

func (d *Decoder) attemptEnded(ev *policy.Event) {
	ev.Kind = policy.AttemptEnded
	ev.ID, ev.Attempt, ev.Server, ev.Outcome = d.readUint64(), d.readUint8(), d.readUint32(), d.outcome()
	ev.Elapsed, ev.Final, ev.Report = policy.Time(d.readUint32()), d.readUint8() != 0, d.loadReport()
}

func (d *Decoder) loadPolled(ev *policy.Event) {
	ev.Kind, ev.Server, ev.Outcome = policy.LoadPolled, d.readUint32(), d.outcome()
	ev.Elapsed, ev.Report = policy.Time(d.readUint32()), d.loadReport()
}

func (d *Decoder) skipPeerMessage() {
	d.readUint32() // sender
	d.take(int(d.readUint16()))
}

// catalog decodes a list of members, which replaces any earlier list of the same number.
func (d *Decoder) catalog() error {
	number, count := d.readUint16(), d.readUint32()
	if d.malformed {
		return nil
	}
	if number >= maxCatalogs {
		return fmt.Errorf("list number %d is over %d", number, maxCatalogs-1)
	}
	if uint64(count)*memberSize > uint64(d.Remaining()) { // checked before memory is allocated for count entries
		return fmt.Errorf("%d entries do not fit in the %d bytes left", count, d.Remaining())
	}
	members := d.catalogs[number][:0]
	for i := range count {
		m, err := d.member()
		if err != nil {
			return fmt.Errorf("entry %d: %w", i, err)
		}
		members = append(members, m)
	}
	d.catalogs[number], d.received[number] = members, true
	return nil
}

func (d *Decoder) member() (policy.Member, error) {
	m := policy.Member{Server: d.readUint32(), Zone: d.readUint8(), InstanceType: d.readUint16(), Cell: d.readUint16()}
	mode := d.readUint8()
	if mode > uint8(policy.ModeDraining) {
		return m, fmt.Errorf("unknown mode %d", mode)
	}
	m.Mode = policy.Mode(mode)
	m.Size = float64(math.Float32frombits(d.readUint32()))
	startedAt := d.readUint64()
	if startedAt > math.MaxInt64 {
		return m, fmt.Errorf("start time %d does not fit", startedAt)
	}
	m.StartedAt = policy.Time(startedAt)
	return m, nil
}

func (d *Decoder) outcome() policy.Outcome {
	outcome := d.readUint16()
	if outcome > uint16(policy.NotSent) {
		d.malformed = true
		return 0
	}
	return policy.Outcome(outcome)
}

func (d *Decoder) loadReport() []float32 {
	count := int(d.readUint8())
	b := d.take(4 * count)
	if b == nil {
		return nil
	}
	for i := range count {
		d.report[i] = math.Float32frombits(binary.BigEndian.Uint32(b[4*i:]))
	}
	return d.report[:count]
}

// take returns the next size bytes. If fewer are left, it sets d.malformed and returns nil.
func (d *Decoder) take(size int) []byte {
	if d.malformed || size < 0 || size > d.Remaining() {
		d.malformed = true
		return nil
	}
	b := d.body[d.offset : d.offset+size]
	d.offset += size
	return b
}

func (d *Decoder) readUint8() uint8 {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *Decoder) readUint16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *Decoder) readUint32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *Decoder) readUint64() uint64 {
	if b := d.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}
