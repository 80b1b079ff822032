package singleton

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// model consists of two instances, the leader's lease manager, the log, and a receiver of effects. Each event that may
// be late or lost is explored as on time, as late and as lost, in every order. An instance without events for a while
// represents an instance that is frozen, partitioned or slow.
type model struct {
	fault         plantedFault
	settings      Settings
	shorterLease  bool // the next leader has half the lease duration in its settings
	withEffects   bool // effects are sent and the leader does not change; else the reverse: both give too many states
	ticks         Time
	state         *State
	proposed      []Command // not committed yet
	manager       *LeaseManager
	holders       [2]*Holder
	sentAt        [2]Time               // of the heartbeats and their responses
	heartbeats    [2]*Heartbeat         // in flight
	responses     [2]*HeartbeatResponse // in flight
	effects       []Effect              // in flight
	guard         *FencingGuard
	latestToken   FencingToken // the highest token of an effect that was carried out
	leaderChanges int
	violation     string // of an invariant; empty: none
}

// plantedFault is a fault in the implementation that the exploration has to find.
type plantedFault int

const (
	noFault plantedFault = iota
	noFencing
	noDriftMargin         // the holder assumes that clocks run equally fast
	renewsWithoutProgress // a heartbeat without progress renews the lease
	renewsEndingLease     // a lease is renewed although its expiration is in the log
	leaseFromResponse     // the holder counts the lease from when the response arrived
	actsAfterRelease      // the holder keeps acting on a released lease
	shortensLeaseAtOnce   // a shorter lease duration is committed while longer leases run
	ignoresLongerLease    // a leader with a shorter lease duration ignores the longer leases that its predecessor granted
)

// role is the only role of the model.
const role = "w"

const longestLease = 8

// In each tick a true clock advances by 3. The lease manager's clock, which is fast, advances by 4, and an instance's,
// which is slow, by 2: each is off by a third.
func (m *model) managerNow() Time { return 4 * m.ticks }
func (m *model) holderNow() Time  { return 2 * m.ticks }

func newModel(sc scenario) *model {
	m := &model{
		fault:        sc.fault,
		withEffects:  sc.withEffects,
		shorterLease: sc.shorterLease,
		settings:     Settings{Roles: []string{role}, LeaseDuration: longestLease, MaxClockDrift: 1.0 / 3},
		state:        NewState(),
		guard:        &FencingGuard{},
	}
	if sc.fault == noDriftMargin {
		m.settings.MaxClockDrift = 0
	}
	m.state.Apply(Command{Kind: CommandSetLeaseDuration, LeaseDuration: m.settings.LeaseDuration})
	m.state.Apply(Command{Kind: CommandGrant, Role: role, Instance: "0", Incarnation: 1})
	if sc.desiresOther {
		m.state.Apply(Command{Kind: CommandSetDesiredHolder, Role: role, Instance: "1"})
	}
	m.manager = NewLeaseManager(m.settings, m.state, 0)
	for i := range m.holders {
		m.holders[i] = NewHolder(HolderOptions{Settings: m.settings, Name: fmt.Sprint(i), Incarnation: 1})
		_, response := m.manager.HandleHeartbeat(0, m.holders[i].Heartbeat(), m.state)
		m.holders[i].HandleResponse(0, response)
	}
	return m
}

// Parts of a model. A copy shares with the original the parts that the event does not change.
const (
	copyState = 1 << iota
	copyManager
	copyGuard
	copyHolder // of the first instance; shifted by one for the second
)

func (m *model) clone(parts int) *model {
	c := *m
	if parts&copyState != 0 {
		c.state = &State{Assignments: maps.Clone(m.state.Assignments), Expirations: maps.Clone(m.state.Expirations),
			LeaseDuration: m.state.LeaseDuration}
	}
	if parts&copyManager != 0 {
		a := *m.manager
		a.instances, a.leases, a.penalizedUntil = maps.Clone(a.instances), maps.Clone(a.leases), maps.Clone(a.penalizedUntil)
		a.seenExpirations, a.lastExpiration = maps.Clone(a.seenExpirations), maps.Clone(a.lastExpiration)
		c.manager = &a
	}
	if parts&copyGuard != 0 {
		c.guard = &FencingGuard{Latest: maps.Clone(m.guard.Latest)}
	}
	for i, h := range m.holders {
		if parts&(copyHolder<<i) != 0 {
			c.holders[i] = h.clone()
		}
	}
	c.proposed, c.effects = slices.Clone(m.proposed), slices.Clone(m.effects)
	return &c
}

func (h *Holder) clone() *Holder {
	c := *h
	c.leases = map[string]*localLease{}
	for role, l := range h.leases {
		copied := *l
		c.leases[role] = &copied
	}
	return &c
}

// hash identifies a model by all that its future behavior depends on: times by how long ago they were, as far as that
// matters, tokens by how far they are behind the latest, steps by how far they are ahead of those that the lease
// manager knows.
func (m *model) hash() uint64 {
	d := digest{buf: make([]byte, 0, 256), token: m.state.Assignments[role].Token, steps: m.manager.leases[role].steps}
	m.hashLeader(&d)
	for i := range m.holders {
		m.hashInstance(&d, i)
	}
	d.mark('e')
	for _, e := range m.effects {
		d.addToken(e.Token)
	}
	return xxhash.Sum64(d.buf)
}

func (m *model) hashLeader(d *digest) {
	assignment, lease, now := m.state.Assignments[role], m.manager.leases[role], m.managerNow()
	d.buf = append(d.buf, assignment.Holder+"/"...)
	d.add(len(assignment.DesiredHolder))
	d.addToken(lease.token)
	d.addAge(lease.lastProgress, now)
	d.add(int(max(0, lease.notBefore-now)), int(m.state.LeaseDuration), int(m.settings.LeaseDuration),
		int(max(0, m.manager.inheritedLeasesEnd-now)))
	d.addToken(m.latestToken)
	d.add(m.leaderChanges)
	d.addBool(lease.ending)
	for _, c := range m.proposed {
		d.mark('/')
		d.buf = append(append(d.buf, c.Kind...), c.Instance...)
		d.addToken(c.Token)
		d.add(int(c.LeaseDuration))
	}
}

func (m *model) hashInstance(d *digest, i int) {
	h, now := m.holders[i], m.holderNow()
	d.mark('#')
	if known := m.manager.instances[h.opts.Name]; known != nil {
		d.addAge(known.receivedAt, m.managerNow())
	}
	d.mark('h')
	if l := h.leases[role]; l != nil {
		d.addToken(l.token)
		d.addAge(l.confirmedAt, now)
		d.add(int(max(0, l.expiresAt-now)))
		d.addSteps(l.steps)
		d.addBool(l.releasing)
		d.addBool(l.released)
	}
	d.mark('b')
	if heartbeat := m.heartbeats[i]; heartbeat != nil {
		d.addAge(m.sentAt[i], now)
		d.add(len(heartbeat.Leases))
		for _, l := range heartbeat.Leases {
			d.addToken(l.Token)
			d.addSteps(l.Steps)
			d.addBool(l.Released)
		}
	}
	d.mark('a')
	if response := m.responses[i]; response != nil {
		d.addAge(m.sentAt[i], now)
		d.add(len(response.Leases), len(response.Reason))
		for _, l := range response.Leases {
			d.addToken(l.Token)
			d.add(int(l.Remaining))
			d.addBool(l.Release)
		}
	}
}

// digest collects the input of a hash.
type digest struct {
	buf   []byte
	token FencingToken // the latest
	steps uint64       // that the lease manager knows
}

func (d *digest) mark(section byte) { d.buf = append(d.buf, section) }

func (d *digest) add(numbers ...int) {
	for _, n := range numbers {
		d.buf = append(d.buf, byte(n))
	}
}

func (d *digest) addBool(b bool)          { d.buf = strconv.AppendBool(d.buf, b) }
func (d *digest) addToken(t FencingToken) { d.add(int(d.token - t)) }
func (d *digest) addSteps(steps uint64)   { d.add(int(steps - d.steps)) }
func (d *digest) addAge(moment, now Time) { d.add(int(min(now-moment, longestLease))) }

// activeLeases returns the leases on which an instance would act.
func (m *model) activeLeases(i int) map[string]FencingToken {
	l := m.holders[i].leases[role]
	if m.fault == actsAfterRelease && l != nil && m.holderNow() < l.expiresAt {
		return map[string]FencingToken{role: l.token}
	}
	return m.holders[i].ActiveLeases(m.holderNow())
}

// propose appends commands that are not proposed already. It keeps three proposals at most, to bound the number of
// models.
func (m *model) propose(commands ...Command) {
	for _, c := range commands {
		if len(m.proposed) < 3 && !slices.Contains(m.proposed, c) {
			m.proposed = append(m.proposed, c)
		}
	}
}

// successor is a model after one more event.
type successor struct {
	event string
	model *model
}

// successors returns the models that follow a model after each event that is possible now.
func (m *model) successors() []successor {
	all := append(m.leaderEvents(), m.instanceEvents(0)...)
	all = append(all, m.instanceEvents(1)...)
	return append(all, m.effectArrivals()...)
}

// after returns the model after an event that changes some of its parts. It checks that at most one instance acts.
func (m *model) after(event string, parts int, change func(c *model)) successor {
	c := m.clone(parts)
	change(c)
	if x, y := c.activeLeases(0), c.activeLeases(1); len(x) > 0 && len(y) > 0 {
		c.violation = fmt.Sprintf("two instances act at the same time, with tokens %d and %d", x[role], y[role])
	}
	return successor{event, c}
}

func (m *model) leaderEvents() []successor {
	all := []successor{
		m.after("time passes", 0, func(c *model) { c.ticks++ }),
		m.after("the lease manager ticks", copyManager, func(c *model) { c.propose(c.manager.Tick(c.managerNow(), c.state)...) }),
	}
	if len(m.proposed) > 0 {
		all = append(all, m.after("the log is committed", copyState, (*model).commit))
	}
	maxLeaderChanges := 1
	if m.shorterLease {
		maxLeaderChanges = 2
	}
	if m.leaderChanges < maxLeaderChanges && !m.withEffects {
		all = append(all, m.after("the leader changes, proposals are lost", 0, (*model).changeLeader))
	}
	return all
}

func (m *model) commit() {
	for _, c := range m.proposed {
		m.state.Apply(c) // a stale one changes nothing
	}
	m.proposed = nil
}

func (m *model) changeLeader() {
	if m.shorterLease {
		m.settings.LeaseDuration = longestLease / 2
	}
	if m.fault == ignoresLongerLease {
		m.state = &State{Assignments: m.state.Assignments, Expirations: m.state.Expirations}
	}
	m.proposed = nil
	m.manager = NewLeaseManager(m.settings, m.state, m.managerNow())
	m.leaderChanges++
	if m.fault == shortensLeaseAtOnce {
		m.manager.inheritedLeasesEnd = m.managerNow()
	}
}

func (m *model) instanceEvents(i int) (all []successor) {
	name := m.holders[i].opts.Name
	if m.heartbeats[i] == nil { // a response that is still in flight is lost
		all = append(all, m.after(name+" sends a heartbeat", 0, func(c *model) { c.sendHeartbeat(i) }))
	}
	if m.heartbeats[i] != nil {
		all = append(all, m.after(name+"'s heartbeat arrives", copyManager, func(c *model) { c.receiveHeartbeat(i) }))
	}
	if m.responses[i] != nil {
		all = append(all, m.after(name+"'s response arrives", copyHolder<<i, func(c *model) { c.receiveResponse(i) }))
	}
	if l := m.holders[i].leases[role]; l != nil && len(m.effects) < 2 && l.steps < m.manager.leases[role].steps+2 {
		all = append(all, m.after(name+" completes a step", copyHolder<<i, func(c *model) { c.completeStep(i) }))
	}
	return all
}

func (m *model) sendHeartbeat(i int) {
	heartbeat := m.holders[i].Heartbeat()
	m.heartbeats[i], m.responses[i], m.sentAt[i] = &heartbeat, nil, m.holderNow()
}

func (m *model) receiveHeartbeat(i int) {
	if m.fault == renewsEndingLease {
		l := m.manager.leases[role]
		l.ending = false
		m.manager.leases[role] = l
	}
	commands, response := m.manager.HandleHeartbeat(m.managerNow(), *m.heartbeats[i], m.state)
	m.propose(commands...)
	if m.fault == renewsWithoutProgress {
		for k := range response.Leases {
			response.Leases[k].Remaining = m.settings.LeaseDuration
		}
	}
	m.heartbeats[i], m.responses[i] = nil, &response
}

func (m *model) receiveResponse(i int) {
	sentAt := m.sentAt[i]
	if m.fault == leaseFromResponse {
		sentAt = m.holderNow()
	}
	m.holders[i].HandleResponse(sentAt, *m.responses[i])
	m.responses[i] = nil
}

func (m *model) completeStep(i int) {
	if !m.holders[i].BeginStep(m.holderNow(), role) {
		return
	}
	if e, ok := m.holders[i].NextEffect(m.holderNow(), role); ok && m.withEffects {
		m.effects = append(m.effects, e)
	}
	m.holders[i].EndStep(role, true)
}

// effectArrivals returns the arrivals of the effects in flight, in any order.
func (m *model) effectArrivals() (all []successor) {
	for k, e := range m.effects {
		all = append(all, m.after(fmt.Sprint("effect ", e, " arrives"), copyGuard, func(c *model) {
			c.effects = slices.Delete(c.effects, k, k+1)
			c.receiveEffect(e)
		}))
	}
	return all
}

func (m *model) receiveEffect(e Effect) {
	if m.guard.Admit(e) != nil && m.fault != noFencing {
		return
	}
	if e.Token < m.latestToken {
		m.violation = fmt.Sprintf("an effect of token %d is carried out after one of %d", e.Token, m.latestToken)
	}
	m.latestToken = max(m.latestToken, e.Token)
}
