package replica

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"

	"pumiceline/internal/message"
)

// testTick is the interval at which a testCluster ticks its members, as the coordinator does.
const testTick = 50 * time.Millisecond

// testCluster is a group of replicas. The test delivers their messages at once and in order, or drops them.
type testCluster struct {
	members     []*Replica
	now         time.Duration
	queue       []message.Message // sent but not delivered yet
	responses   []message.ConfigResponse
	transcript  []string                      // one line per delivered message of interest
	unreachable []int                         // members to which no message is delivered
	dropMessage func(m *message.Message) bool // reports whether a message is lost
}

func newTestCluster(t *testing.T, count int) *testCluster {
	t.Helper()
	return newTolerantCluster(t, count, 1)
}

// newTolerantCluster makes a cluster with the given tolerance for lost members.
func newTolerantCluster(t *testing.T, count, tolerance int) *testCluster {
	t.Helper()
	c := &testCluster{}
	seeds := lo.Times(count, address)
	for i := range count {
		options := Options{
			Self: message.Member{Address: address(i)}, Seeds: seeds, Tolerance: tolerance,
			LeaseDuration: 2 * time.Second, FirstStart: true,
		}
		c.members = append(c.members, New(options, testValidator, 0, message.ControlState{}, message.ChainState{}))
	}
	return c
}

// newClusterWithoutThird makes a cluster of three members that acknowledged a change and then lost its third member.
func newClusterWithoutThird(t *testing.T) *testCluster {
	t.Helper()
	c := newTestCluster(t, 3)
	c.advance(2 * time.Second)
	c.put(0, 0, testDocument(5, "x"))
	c.unreachable = []int{2}
	c.advance(2*time.Second, 2)
	return c
}

// testDocument returns a configuration document. Its first byte is the version; text distinguishes documents.
func testDocument(version byte, text string) string { return string([]byte{version}) + text }

// testValidator accepts every change based on the current version. A change's digest is the document itself.
func testValidator(state *message.ChainState, request *message.ConfigRequest) ValidationResult {
	for _, change := range state.History {
		if string(change.Digest) == string(request.Body) {
			return ValidationResult{Status: http.StatusOK}
		}
	}
	if request.IfMatch != fmt.Sprint(state.Version) {
		return ValidationResult{Status: http.StatusPreconditionFailed}
	}
	change := message.Change{Version: uint64(request.Body[0]), Base: state.Version, Digest: request.Body}
	return ValidationResult{Status: http.StatusOK, Apply: true, Change: change, Document: request.Body}
}

func address(i int) string { return fmt.Sprintf("m%d", i) }

func identities(members []message.Member) []string {
	names := lo.Map(members, func(m message.Member, _ int) string { return string(m.Identity) })
	slices.Sort(names)
	return names
}

// addMachine adds a machine with an empty disk at a new address, with some members as its seeds. It returns the
// machine's index.
func (c *testCluster) addMachine(seeds ...int) int {
	index := len(c.members)
	options := c.members[0].options
	options.FirstStart = false
	options.Self = message.Member{Address: address(index), Identity: message.MemberID("fresh-" + address(index))}
	options.Seeds = lo.Map(seeds, func(i, _ int) string { return address(i) })
	c.members = append(c.members, New(options, testValidator, c.now, message.ControlState{}, message.ChainState{}))
	return index
}

// restart restarts a member from the state on its disk.
func (c *testCluster) restart(index int) {
	old := c.members[index]
	options := old.options
	options.FirstStart = false
	c.members[index] = New(options, testValidator, c.now, old.control, old.chain)
}

// restartWithEmptyDisk restarts a member at the same address with an empty disk, and therefore under a new identity.
func (c *testCluster) restartWithEmptyDisk(index int, identity message.MemberID) {
	options := c.members[index].options
	options.FirstStart = false
	options.Self.Identity = identity
	c.members[index] = New(options, testValidator, c.now, message.ControlState{}, message.ChainState{})
}

// advance advances the time in ticks and delivers all messages. Paused members neither tick nor receive messages.
func (c *testCluster) advance(duration time.Duration, paused ...int) {
	for passed := time.Duration(0); passed < duration; passed += testTick {
		c.now += testTick
		for i, member := range c.members {
			if !slices.Contains(paused, i) {
				c.collect(member.Tick(c.now))
			}
		}
		c.deliver(paused...)
	}
}

// collect queues the messages of an output, as if its records had been synced.
func (c *testCluster) collect(out Output) {
	c.queue = append(c.queue, out.Immediate...)
	c.queue = append(c.queue, out.AfterSync...)
}

// deliver delivers all queued messages, and those sent in response.
func (c *testCluster) deliver(paused ...int) {
	for len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		if c.dropMessage != nil && c.dropMessage(&m) {
			continue
		}
		if m.ConfigResponse != nil {
			c.responses = append(c.responses, *m.ConfigResponse)
			continue
		}
		for i, member := range c.members {
			if address(i) == m.ToAddress && !slices.Contains(paused, i) && !slices.Contains(c.unreachable, i) {
				received := m
				c.recordTranscript(&received)
				c.collect(member.Step(c.now, &received))
			}
		}
	}
}

// recordTranscript adds a line for a message of chain replication, view confirmation or view agreement.
func (c *testCluster) recordTranscript(m *message.Message) {
	from, to := strings.TrimPrefix(string(m.From), "seed-"), strings.TrimPrefix(string(m.To), "seed-")
	record := func(format string, arguments ...any) {
		c.transcript = append(c.transcript, fmt.Sprintf("%s -> %s: ", from, to)+fmt.Sprintf(format, arguments...))
	}
	switch {
	case m.Replicate != nil && m.Replicate.Change != nil:
		record("change %d", m.Replicate.Sequence)
	case m.Replicate != nil && m.Replicate.Snapshot != nil:
		record("snapshot %d", m.Replicate.Sequence)
	case m.Committed != nil && from != to:
		record("committed %d", m.Committed.Sequence)
	case m.ConfirmRequest != nil:
		record("confirm")
	case m.AcceptResponse != nil:
		record("accepted")
	}
}

// put sends a member an operator's change based on a version, and delivers all messages.
func (c *testCluster) put(at int, base uint64, document string) {
	c.request(at, &message.ConfigRequest{Method: http.MethodPut, IfMatch: fmt.Sprint(base), Body: []byte(document)})
}

// get sends a member an operator's read, and delivers all messages.
func (c *testCluster) get(at int) { c.request(at, &message.ConfigRequest{Method: http.MethodGet}) }

// request submits an operator's request to a member as the member's API does, and delivers all messages.
func (c *testCluster) request(at int, request *message.ConfigRequest) {
	member := c.members[at]
	request.ID = uint64(len(c.responses) + 1)
	m := &message.Message{
		From: member.Identity(), FromAddress: address(at), To: member.Identity(), View: member.View().Number,
		ConfigRequest: request,
	}
	c.collect(member.Step(c.now, m))
	c.deliver()
}
