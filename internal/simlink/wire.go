// Package simlink translates between the bench's binary frames and the types of package decide. It decides
// nothing.
package simlink

import (
	"encoding/binary"
	"fmt"
	"math"

	"pumiceline/internal/standalone/policy"
	"pumiceline/internal/standalone/settings"
)

// Sizes of the frame headers, and the largest body a reader should accept.
const (
	BatchHeaderSize = 16
	ReplyHeaderSize = 8
	MaxBodySize     = 1 << 30
)

// Codes of events, as the wire numbers them.
const (
	evSpawn     = 1000
	evDirectory = 1010
	evJobIn     = 1020
	evBegun     = 1030
	evFinished  = 1040
	evExpired   = 1050
	evDue       = 1060
	evChecked   = 1070
	evFromPeer  = 1080
	evKilled    = 1090
	evCatalog   = 1100
)

// Codes of actions.
const (
	acTransmit  = 1000
	acReject    = 1010
	acError     = 1020
	acRecall    = 1030
	acNotifyMe  = 1040
	acAskLoad   = 1050
	acDropConns = 1060
	acRecord    = 1080
	acObserve   = 1100
)

const (
	memberSize = 22
	maxPages   = 16
)

// ParseBatchHeader reads a batch header: the size of what follows, the record count and the clock.
func ParseBatchHeader(h []byte) (size, count uint32, now policy.Time, err error) {
	size, count = binary.BigEndian.Uint32(h), binary.BigEndian.Uint32(h[4:])
	clock := binary.BigEndian.Uint64(h[8:])
	switch {
	case size > MaxBodySize:
		err = fmt.Errorf("batch header: length %d is over the limit of %d", size, MaxBodySize)
	case clock > math.MaxInt64:
		err = fmt.Errorf("batch header: clock %d does not fit", clock)
	case uint64(count)*4 > uint64(size): // no record is shorter than code and instance
		err = fmt.Errorf("batch header: %d records cannot fit in %d bytes", count, size)
	}
	return size, count, policy.Time(clock), err
}

// RecordKind tells what a decoded record asks of the host.
type RecordKind uint8

const (
	Ignored        RecordKind = iota // nothing for an instance (a catalog, a peer message)
	SpawnInstance                    // start an instance with Seed and Settings
	RemoveInstance                   // forget an instance
	DeliverEvent                     // hand Event to the instance
)

// Record is one decoded record.
type Record struct {
	Kind     RecordKind
	Instance uint16
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder decodes records. It keeps the catalogs of the process and reuses its buffers: a Record is valid
// until the next call.
type Decoder struct {
	pages  [maxPages][]policy.Member
	known  [maxPages]bool
	report [255]float32
	body   []byte
	at     int
	bad    bool
}

// Reset starts on the body of a new batch.
func (d *Decoder) Reset(body []byte) { d.body, d.at, d.bad = body, 0, false }

// Remaining is how many bytes are left.
func (d *Decoder) Remaining() int { return len(d.body) - d.at }

func (d *Decoder) take(n int) []byte {
	if d.bad || n < 0 || n > len(d.body)-d.at {
		d.bad = true
		return nil
	}
	b := d.body[d.at : d.at+n]
	d.at += n
	return b
}

func (d *Decoder) u8() uint8 {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if b := d.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if b := d.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if b := d.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (d *Decoder) usage() []float32 {
	n := int(d.u8())
	b := d.take(4 * n)
	if b == nil {
		return nil
	}
	for i := 0; i < n; i++ {
		d.report[i] = math.Float32frombits(binary.BigEndian.Uint32(b[4*i:]))
	}
	return d.report[:n]
}

func (d *Decoder) outcome() policy.Outcome {
	rc := d.u16()
	if rc > uint16(policy.NotSent) {
		d.bad = true
		return 0
	}
	return policy.Outcome(rc)
}

// Next decodes the next record into r.
func (d *Decoder) Next(r *Record) error {
	start := d.at
	code := d.u16()
	name, err := d.record(code, r)
	if err != nil {
		return fmt.Errorf("%s at byte %d: %w", name, start, err)
	}
	if d.bad {
		if name == "" {
			name = "record"
		}
		return fmt.Errorf("%s at byte %d: truncated or malformed", name, start)
	}
	return nil
}

func (d *Decoder) record(code uint16, r *Record) (string, error) {
	r.Event = policy.Event{}
	ev := &r.Event
	if code == evCatalog {
		r.Kind = Ignored
		return "Catalog", d.catalog()
	}
	r.Instance, r.Kind = d.u16(), DeliverEvent
	switch code {
	case evSpawn:
		r.Kind, r.Seed = SpawnInstance, d.u64()
		text := d.take(int(d.u32()))
		if d.bad {
			return "Spawn", nil
		}
		var err error
		r.Settings, err = settings.ParsePolicy(text)
		return "Spawn", err
	case evKilled:
		r.Kind = RemoveInstance
		return "Killed", nil
	case evDirectory:
		kind, page := d.u8(), d.u16()
		d.u64() // the list's version
		switch kind {
		case 0:
			ev.Kind = policy.MembershipDelta
		case 2:
			ev.Kind = policy.MembershipCached
		case 3:
			ev.Kind = policy.MembershipFull
		case 4:
			ev.Kind = policy.DiscoveryFailed
			return "DirectoryUpdate", nil
		default:
			return "DirectoryUpdate", fmt.Errorf("unknown kind %d", kind)
		}
		if page >= maxPages || !d.known[page] {
			return "DirectoryUpdate", fmt.Errorf("names catalog %d, which was not sent", page)
		}
		ev.Members = d.pages[page]
		return "DirectoryUpdate", nil
	case evJobIn:
		ev.Kind = policy.RequestArrived
		ev.ID, ev.ClientTimeout = d.u64(), policy.Time(d.u32())
		ev.Class, ev.Tenant, ev.AffinityKey = d.u8(), d.u32(), d.u64()
		work, options := d.u32(), d.u8()
		if options&1 != 0 {
			ev.Work = policy.Time(work)
		}
		return "JobIn", nil
	case evBegun:
		ev.Kind = policy.ResponseStarted
		ev.ID, ev.Elapsed, ev.Server, ev.Attempt = d.u64(), policy.Time(d.u32()), d.u32(), d.u8()
		return "Begun", nil
	case evFinished:
		ev.Kind = policy.AttemptEnded
		ev.ID, ev.Attempt, ev.Server, ev.Outcome = d.u64(), d.u8(), d.u32(), d.outcome()
		ev.Elapsed, ev.Final, ev.Report = policy.Time(d.u32()), d.u8() != 0, d.usage()
		return "Finished", nil
	case evExpired:
		ev.Kind, ev.ID = policy.RequestAbandoned, d.u64()
		return "Expired", nil
	case evDue:
		ev.Kind, ev.ID = policy.TimerFired, d.u64()
		return "Due", nil
	case evChecked:
		ev.Kind, ev.Server, ev.Outcome = policy.LoadPolled, d.u32(), d.outcome()
		ev.Elapsed, ev.Report = policy.Time(d.u32()), d.usage()
		return "Checked", nil
	case evFromPeer:
		r.Kind = Ignored
		d.u32()
		d.take(int(d.u16()))
		return "FromPeer", nil
	}
	if d.bad {
		return "record", nil
	}
	return "record", fmt.Errorf("unknown event code %d", code)
}

func (d *Decoder) catalog() error {
	page, n := d.u16(), d.u32()
	if d.bad {
		return nil
	}
	if page >= maxPages {
		return fmt.Errorf("list number %d is over %d", page, maxPages-1)
	}
	if uint64(n)*memberSize > uint64(d.Remaining()) { // checked before anything is allocated by it
		return fmt.Errorf("%d entries do not fit in the %d bytes left", n, d.Remaining())
	}
	list := d.pages[page][:0]
	for i := uint32(0); i < n; i++ {
		m := policy.Member{Server: d.u32(), Zone: d.u8(), InstanceType: d.u16(), Cell: d.u16()}
		mode := d.u8()
		if mode > uint8(policy.ModeDraining) {
			return fmt.Errorf("entry %d has unknown mode %d", i, mode)
		}
		m.Mode = policy.Mode(mode)
		m.Size = float64(math.Float32frombits(d.u32()))
		up := d.u64()
		if up > math.MaxInt64 {
			return fmt.Errorf("entry %d has start time %d, which does not fit", i, up)
		}
		m.StartedAt = policy.Time(up)
		list = append(list, m)
	}
	d.pages[page], d.known[page] = list, true
	return nil
}

// AppendAction appends one action of an instance to a reply's body and returns it.
func AppendAction(b []byte, instance uint16, a *policy.Action) []byte {
	be := binary.BigEndian
	head := func(code uint16) { b = be.AppendUint16(be.AppendUint16(b, code), instance) }
	switch a.Kind {
	case policy.SendAttempt:
		head(acTransmit)
		b = be.AppendUint32(be.AppendUint32(be.AppendUint64(b, a.ID), a.Server), span(a.After))
	case policy.RejectRequest:
		head(acReject)
		b = be.AppendUint32(be.AppendUint64(b, a.ID), span(a.After))
	case policy.FailRequest:
		head(acError)
		b = be.AppendUint64(b, a.ID)
	case policy.CancelAttempt:
		head(acRecall)
		b = append(be.AppendUint64(b, a.ID), a.Attempt)
	case policy.SetTimer:
		head(acNotifyMe)
		b = be.AppendUint64(be.AppendUint32(b, span(a.After)), a.ID)
	case policy.PollLoad:
		head(acAskLoad)
		b = be.AppendUint32(b, a.Server)
	case policy.CloseIdleConns:
		head(acDropConns)
		b = be.AppendUint32(b, a.Server)
	case policy.SubscribeDiscovery:
		head(acObserve)
		b = append(b, 1)
	case policy.LogMessage:
		text := a.Text
		if len(text) > math.MaxUint16 {
			text = text[:math.MaxUint16]
		}
		head(acRecord)
		b = append(be.AppendUint16(b, uint16(len(text))), text...)
	}
	return b
}

// span is a duration as the wire holds it.
func span(t policy.Time) uint32 {
	return uint32(max(0, min(t, math.MaxUint32)))
}
