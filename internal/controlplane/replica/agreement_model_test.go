package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pumiceline/internal/message"
)

// agreementModel runs only the agreement on view 2. The members repeatedly propose different views while messages are
// lost, duplicated and reordered, and members restart from their synced state.
type agreementModel struct {
	random        *rand.Rand
	members       []*Replica
	disks         []message.ControlState
	inFlight      []message.Message
	losesPromises bool // injected defect: a restart loses the member's promises and acceptances
	decided       map[string]bool
}

const (
	modelSteps = 400
	modelSeeds = 600
)

func newAgreementModel(seed uint64, count int) *agreementModel {
	m := &agreementModel{random: rand.New(rand.NewPCG(seed, 1)), decided: map[string]bool{}}
	seeds := lo.Times(count, address)
	for i := range count {
		options := Options{
			Self: message.Member{Address: address(i)}, Seeds: seeds, Tolerance: 1,
			LeaseDuration: time.Second, FirstStart: true,
		}
		member := New(options, testValidator, 0, message.ControlState{}, message.ChainState{})
		m.members = append(m.members, member)
		m.disks = append(m.disks, *member.takeOutput().Control)
	}
	return m
}

// value returns a view for a member to propose: the initial one, made distinguishable by a zone.
func (m *agreementModel) value(proposer int) message.View {
	view := InitialView([]string{address(0), address(1), address(2)})
	view.Number = 2
	view.Members[0].Zone = fmt.Sprintf("%d-%d", proposer, m.random.IntN(1000))
	return view
}

// applyOutput carries out an output. At random the member restarts after the immediate messages, before the sync.
func (m *agreementModel) applyOutput(index int, out Output) {
	m.inFlight = append(m.inFlight, out.Immediate...)
	if m.random.IntN(20) == 0 {
		m.restart(index)
		return
	}
	if out.Control != nil {
		m.disks[index] = *out.Control
	}
	m.inFlight = append(m.inFlight, out.AfterSync...)
}

func (m *agreementModel) restart(index int) {
	disk := m.disks[index]
	if m.losesPromises {
		disk.HighestProposal, disk.AcceptedProposal = message.ProposalNumber{}, message.ProposalNumber{}
		disk.AcceptedView = message.View{}
	}
	m.members[index] = New(m.members[index].options, testValidator, 0, disk, message.ChainState{})
	m.members[index].takeOutput()
}

func (m *agreementModel) step() {
	if len(m.inFlight) == 0 || m.random.IntN(12) == 0 {
		index := m.random.IntN(len(m.members))
		if member := m.members[index]; member.View().Number == 1 {
			member.prepare(m.value(index))
			m.applyOutput(index, member.takeOutput())
		}
		return
	}
	at := m.random.IntN(len(m.inFlight))
	delivered := m.inFlight[at]
	if m.random.IntN(6) > 0 { // otherwise it is duplicated
		m.inFlight = append(m.inFlight[:at:at], m.inFlight[at+1:]...)
	}
	if m.random.IntN(10) == 0 || delivered.ViewAnnouncement != nil {
		return // lost
	}
	for index, member := range m.members {
		if address(index) != delivered.ToAddress {
			continue
		}
		out := member.Step(0, &delivered)
		if view := member.View(); view.Number == 2 {
			m.decided[view.Members[0].Zone] = true
		}
		m.applyOutput(index, out)
	}
}

func (m *agreementModel) run() {
	for range modelSteps {
		m.step()
	}
}

func TestAgreement_DecidesOneViewDespiteLossAndRestarts(t *testing.T) {
	decided := 0
	for seed := range uint64(modelSeeds) {
		for _, count := range []int{3, 5} {
			model := newAgreementModel(seed, count)
			model.run()
			require.LessOrEqual(t, len(model.decided), 1, "seed %d, %d members: %v", seed, count, model.decided)
			decided += len(model.decided)
		}
	}
	assert.Greater(t, decided, modelSeeds, "most runs must decide a view")
}

// The model detects a violation: members that lose their promises in a restart decide two views.
func TestAgreementModel_DetectsLostPromises(t *testing.T) {
	for seed := range uint64(modelSeeds) {
		model := newAgreementModel(seed, 3)
		model.losesPromises = true
		model.run()
		if len(model.decided) > 1 {
			t.Logf("seed %d: %v", seed, model.decided)
			return
		}
	}
	t.Fatal("no seed led to two decided views")
}
