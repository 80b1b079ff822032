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

const (
	observeInterval  = 1 * time.Second // of a coordinator that only wants to know the view
	disklessPatience = 3 * time.Second // so long the first view waits for members with disks
)

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

func (r *Replica) tickMembership() {
	interval := heartbeatInterval
	if r.options.Volatile && !r.IsMember() {
		interval = observeInterval
	}
	if r.detector.beaten && r.now-r.detector.lastBeat < interval {
		return
	}
	r.detector.lastBeat, r.detector.beaten = r.now, true
	r.detector.forget(r.now)
	if !r.IsMember() {
		r.askToJoin()
		return
	}
	r.sendHeartbeats()
	r.reportFindings()
	r.tellAbsent()
	if r.isIsolated() {
		r.ask(&message.Join{Observer: true}) // its view may be an old one
	}
}

// tellAbsent lets the head tell the view to those that are outside it: voters and displaced members that may have been
// cut off when it was decided, and the seeds, as whoever comes back with nothing but the seeds' addresses asks them.
func (r *Replica) tellAbsent() {
	if !r.isHead() || r.now-r.detector.toldAbsent < observeInterval {
		return
	}
	r.detector.toldAbsent = r.now
	view := r.control.View
	absent := everyone(view)
	for _, displaced := range view.Displaced {
		absent = append(absent, displaced.Member)
	}
	for _, seed := range r.options.Seeds {
		absent = append(absent, message.Member{Address: seed})
	}
	inChain := lo.Map(view.Members, func(m message.Member, _ int) string { return m.Address })
	for _, member := range lo.UniqBy(absent, func(m message.Member) string { return m.Address }) {
		if !slices.Contains(inChain, member.Address) {
			r.send(message.Member{Address: member.Address}, message.Message{Announcement: &message.Announcement{View: view}})
		}
	}
}

func (r *Replica) sendHeartbeats() {
	beat := &message.Heartbeat{
		Complete: r.control.Complete, DiskStalled: r.stalled, Leaving: r.leaving, Volatile: r.options.Volatile,
		Isolated: r.isIsolated(),
	}
	for _, monitor := range r.detector.monitors {
		r.send(monitor, message.Message{Heartbeat: beat})
	}
}

// isIsolated reports whether no majority of the voters was heard lately. Others may still hear this member.
func (r *Replica) isIsolated() bool {
	if r.now-r.lease.viewEntered < suspectAfter {
		return false
	}
	near := lo.CountBy(r.control.View.Electorate(), func(m message.Member) bool {
		heard, known := r.detector.heard[m.Identity]
		return m.Identity == r.control.Identity || known && r.now-heard <= suspectAfter
	})
	return near < r.majority()
}

// askToJoin asks everyone known for membership, and so learns of the newest view too.
func (r *Replica) askToJoin() {
	if !r.leaving {
		r.ask(&message.Join{DiskStalled: r.stalled, Observer: r.options.Volatile})
	}
}

// ask sends a request to join to all whose address is known.
func (r *Replica) ask(join *message.Join) {
	addresses := slices.Clone(r.options.Seeds)
	for _, member := range everyone(r.control.View) {
		addresses = append(addresses, member.Address)
	}
	for _, address := range lo.Uniq(addresses) {
		if address != r.options.Self.Address {
			r.send(message.Member{Address: address}, message.Message{Join: join})
		}
	}
}

func (r *Replica) onHeartbeat(m *message.Message) {
	beat := m.Heartbeat
	if beat.Complete {
		r.detector.complete[m.From] = m.View
	}
	r.detector.disk[m.From] = !beat.Volatile
	r.detector.zone[m.From] = m.FromZone
	r.detector.condition[m.From] = condition{unfit: beat.DiskStalled || beat.Isolated, leaving: beat.Leaving}
}

func (r *Replica) onSuspicion(m *message.Message) {
	if m.View != r.control.View.Number || positionOf(r.control.View, m.From) < 0 {
		return
	}
	r.noteFindings(m.Suspicion, m.From)
}

func (r *Replica) noteFindings(s *message.Suspicion, reporter string) {
	for _, identity := range s.Silent {
		r.detector.reports[report{isSilent, identity, reporter}] = r.now
	}
	for _, identity := range s.Leaving {
		r.detector.reports[report{isLeaving, identity, reporter}] = r.now
	}
	for _, identity := range s.Doubted {
		r.detector.reports[report{isDoubted, identity, reporter}] = r.now
	}
}

// reportFindings tells the other members who of those that this one monitors is silent, leaves or is in doubt.
func (r *Replica) reportFindings() {
	found := &message.Suspicion{}
	for _, member := range r.detector.monitored {
		silence := r.now - r.detector.heard[member.Identity]
		said := r.detector.condition[member.Identity]
		switch {
		case said.unfit || silence > suspectAfter:
			found.Silent = append(found.Silent, member.Identity)
		case said.leaving:
			found.Leaving = append(found.Leaving, member.Identity)
		case silence > doubtAfter:
			found.Doubted = append(found.Doubted, member.Identity)
		}
	}
	if len(found.Silent)+len(found.Leaving)+len(found.Doubted) == 0 {
		return
	}
	r.noteFindings(found, r.control.Identity)
	for _, member := range r.control.View.Members {
		if member.Identity != r.control.Identity && !slices.Contains(found.Silent, member.Identity) {
			r.send(member, message.Message{Suspicion: found})
		}
	}
}

// suspects returns who is silent, by the reports that are fresh and by what this member hears itself. Where two suspect
// one another, the one nearer to the head stays. A member whose address another process has now is gone.
func (r *Replica) suspects() []string {
	var out []string
	members := r.control.View.Members
	for i := len(members) - 1; i >= 0; i-- {
		identity := members[i].Identity
		if r.isReported(isSilent, identity, out) || r.isDisplaced(members[i]) || !r.hasHeard(members[i]) {
			out = append(out, identity)
		}
	}
	return out
}

// isReported reports whether someone who is not excluded has found something of a member.
func (r *Replica) isReported(what finding, identity string, excluded []string) bool {
	for entry, at := range r.detector.reports {
		if entry.finding == what && entry.member == identity && r.now-at <= reportLifetime && !slices.Contains(excluded, entry.reporter) {
			return true
		}
	}
	return false
}

// hasHeard reports whether this member itself has heard another one lately. All members ask all voters whether their view
// is the newest, so each hears each, also where the monitors of a silent member are lost with it.
func (r *Replica) hasHeard(member message.Member) bool {
	return member.Identity == r.control.Identity || r.now-r.detector.heard[member.Identity] <= longSilence
}

// isDisplaced reports whether another process has the member's address: a later member, or one that asks to join more
// than once.
func (r *Replica) isDisplaced(member message.Member) bool {
	if member.Identity == r.control.Identity {
		return false
	}
	for _, other := range r.control.View.Members {
		if other.Address == member.Address && other.Since > member.Since {
			return true
		}
	}
	for identity, j := range r.detector.joiners {
		if identity != member.Identity && j.member.Address == member.Address && r.isFresh(j) && j.at > j.first {
			return true
		}
	}
	return false
}

func (r *Replica) isFresh(j joiner) bool { return r.now-j.at <= joinLifetime }

func (r *Replica) onJoin(m *message.Message) {
	if m.View < r.control.View.Number { // also from one that is no member: the sender may know of no other
		r.send(r.sender(m), message.Message{Announcement: &message.Announcement{View: r.control.View}})
	}
	if !r.IsMember() || m.Join.Observer || m.Join.DiskStalled || positionOf(r.control.View, m.From) >= 0 {
		return
	}
	known, ok := r.detector.joiners[m.From]
	if !ok || !r.isFresh(known) {
		known.first = r.now
	}
	known.member, known.view, known.at = r.sender(m), m.View, r.now
	r.detector.joiners[m.From] = known
	if m.View >= r.control.View.Number && !r.isProposer() {
		r.passOnJoin(m)
	}
}

// passOnJoin tells the head of a joiner that may not know its address.
func (r *Replica) passOnJoin(m *message.Message) {
	head := r.control.View.Members[0]
	if head.Identity == r.control.Identity {
		return
	}
	passed := r.addressed(head, message.Message{Join: m.Join})
	passed.From, passed.FromAddress, passed.FromZone = m.From, m.FromAddress, m.FromZone
	r.out.Immediate = append(r.out.Immediate, passed)
}

// freshJoiners are those that asked a moment ago and know the present view: they hear the members too. One that comes with the address of a member that is still heard is
// not taken in beside it, as only one process can have the address.
func (r *Replica) freshJoiners(suspects []string) []message.Member {
	var out []message.Member
	for identity, j := range r.detector.joiners {
		if !r.isFresh(j) {
			delete(r.detector.joiners, identity)
			continue
		}
		if j.view < r.control.View.Number {
			continue
		}
		holder, taken := lo.Find(r.control.View.Members, func(m message.Member) bool { return m.Address == j.member.Address })
		if taken && !slices.Contains(suspects, holder.Identity) {
			continue
		}
		member := j.member
		member.Since = r.control.View.Number + 1
		out = append(out, member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Identity < out[j].Identity })
	return out
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
