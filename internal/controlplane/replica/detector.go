package replica

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// detector keeps who was heard when, and what the monitors report. It proposes who to take out and who to take in; it
// decides nothing.
type detector struct {
	heard        map[string]time.Duration
	complete     map[string]uint64 // the view in which a member said that it is complete
	disk         map[string]bool   // whether a member has one, as it said
	zone         map[string]string
	condition    map[string]condition
	reports      map[report]time.Duration
	joiners      map[string]joiner
	monitors     []message.Member // to whom this member sends its heartbeats
	monitored    []message.Member // whose heartbeats it awaits
	lastBeat     time.Duration
	beaten       bool
	toldAbsent   time.Duration
	admitted     map[string]time.Duration // when a voter got its vote
	silentSince  time.Duration            // since when some member is silent, 0: none is
	wantedSince  time.Duration
	wantsAnother bool
}

// condition is what a member said of itself last.
type condition struct {
	unfit   bool // its disk stalls, or it hears no majority
	leaving bool
}

// finding is what a monitor reports of a member.
type finding int

const (
	isSilent finding = iota
	isLeaving
	isDoubted
)

type report struct {
	finding  finding
	member   string
	reporter string
}

type joiner struct {
	member message.Member
	view   uint64 // that it knew when it asked last
	at     time.Duration
	first  time.Duration
}

// disklessPatience is how long the first view waits for members with disks.
const disklessPatience = 3 * time.Second

func (d *detector) init() {
	d.heard = map[string]time.Duration{}
	d.complete = map[string]uint64{}
	d.disk = map[string]bool{}
	d.zone = map[string]string{}
	d.condition = map[string]condition{}
	d.reports = map[report]time.Duration{}
	d.joiners = map[string]joiner{}
	d.admitted = map[string]time.Duration{}
}

// hear notes that a message of a member came to self, which so takes back that it is silent.
func (d *detector) hear(identity, self string, now time.Duration) {
	d.heard[identity] = now
	if len(d.reports) > 0 && !d.condition[identity].unfit {
		delete(d.reports, report{isSilent, identity, self})
		delete(d.reports, report{isDoubted, identity, self})
	}
}

// forgive starts all silences anew: the process stood still, so it cannot tell who was silent.
func (d *detector) forgive(now time.Duration) {
	for identity := range d.heard {
		d.heard[identity] = now
	}
	clear(d.reports)
	clear(d.joiners)
	d.wantsAnother = false
}

// enterView starts the silences of those anew that self did not monitor before: a member that was silent in the old
// view stays so.
func (d *detector) enterView(old, view message.View, self string, now time.Duration) {
	for _, member := range view.Members {
		if !includes(monitorsOf(old, member.Identity), self) {
			d.heard[member.Identity] = now
		}
		delete(d.joiners, member.Identity)
	}
	for _, voter := range view.Electorate() {
		if !includes(old.Electorate(), voter.Identity) {
			d.admitted[voter.Identity] = now
		}
	}
	d.setRing(view, self)
	clear(d.reports)
	d.wantsAnother = false
	d.beaten = false
}

// setRing works out who monitors whom.
func (d *detector) setRing(view message.View, self string) {
	d.monitors = monitorsOf(view, self)
	d.monitored = lo.Filter(view.Members, func(m message.Member, _ int) bool {
		return includes(monitorsOf(view, m.Identity), self)
	})
}

// forget drops the reports that do not count any more.
func (d *detector) forget(now time.Duration) {
	maps.DeleteFunc(d.reports, func(_ report, at time.Duration) bool { return now-at > reportLifetime })
}

// monitorsOf returns the members to which identity sends its heartbeats: the next ones on the ring of identities.
func monitorsOf(view message.View, identity string) []message.Member {
	ring := slices.Clone(view.Members)
	sort.Slice(ring, func(i, j int) bool { return ring[i].Identity < ring[j].Identity })
	at := slices.IndexFunc(ring, func(m message.Member) bool { return m.Identity == identity })
	if at < 0 {
		return nil
	}
	count := min(monitorsPerMember, len(ring)-1)
	monitors := make([]message.Member, 0, count)
	for i := 1; i <= count; i++ {
		monitors = append(monitors, ring[(at+i)%len(ring)])
	}
	return monitors
}

func (r *Replica) isComplete(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.control.Complete
	}
	return r.detector.complete[member.Identity] == r.control.View.Number
}

func (r *Replica) isVolatile(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return r.options.Volatile
	}
	hasDisk, told := r.detector.disk[member.Identity]
	return told && !hasDisk
}
